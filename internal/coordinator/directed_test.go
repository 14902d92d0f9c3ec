package coordinator_test

import (
	"fmt"
	"strings"
	"time"

	"sardinelock.dev/sardinelock/internal/coordinator"
	"sardinelock.dev/sardinelock/internal/identifier"
)

// runDirected lets a history happen in a world whose scheduler always makes the
// last choice: of what is under way on a broken connection everything arrives.
func runDirected(o worldOptions, directed func(*world)) *world {
	w := newWorld(func(n int) int { return n - 1 }, o)
	w.trace = new(strings.Builder)
	for _, p := range w.processes() {
		p.setOffset(w, 0)
	}
	w.settle(time.Second)
	directed(w)
	w.logf("violation: %s", w.oracle.violation)
	return w
}

// newSubmission adds a submission that is made now in a partition.
func (w *world) newSubmission(p identifier.Partition, key string, tasks int, timeout time.Duration) *submission {
	s := &submission{key: key, timeout: timeout}
	s.id = w.newID(w.now, func(x identifier.Partition) bool { return x == p })
	for i := range tasks {
		s.payload = append(s.payload, []byte(fmt.Sprintf("%d/%d", w.ids, i)))
	}
	w.oracle.addSubmission(s)
	return s
}

// ownerOf returns the entry that takes the requests of a partition; nil if none does.
func (w *world) ownerOf(p identifier.Partition, among []*process) *process {
	for _, e := range among {
		if e.entry.Owns(p) {
			return e
		}
	}
	return nil
}

// split moves processes to another side of the network. Nobody notices but by the
// silence of the others.
func (w *world) split(side int, ps ...*process) {
	for _, p := range ps {
		p.split = side
	}
	for _, c := range w.conns {
		c.silent = c.ends[0].split != c.ends[1].split
	}
}

// until lets the world go on in small steps until a condition holds.
func (w *world) until(d time.Duration, done func() bool) bool {
	const step = 5 * time.Millisecond
	for end := w.now.Add(d); w.now.Before(end); {
		w.quiesce()
		if done() {
			return true
		}
		w.now = w.now.Add(step)
		for _, p := range w.processes() {
			if p.acts() {
				w.tick(p)
			}
		}
	}
	return false
}

// splitOwner cuts the owner of a partition and one agent off from all others. When
// another entry has taken over and some more time has passed, a new submission
// reaches both.
func splitOwner(w *world, after time.Duration) {
	old := w.entries[0]
	var p identifier.Partition
	for !old.entry.Owns(p) {
		p++
	}
	// The owner has heard every witness just now.
	w.until(200*time.Millisecond, func() bool { return old.entry.Lease(w.now).Remaining > worldLease*9/10 })
	w.split(1, old, w.agents[0])
	if !w.until(3*time.Second, func() bool { return w.ownerOf(p, w.entries[1:]) != nil }) {
		return
	}
	w.until(after, func() bool { return false })
	// More tasks than either has credits at agents that do not answer, so that both
	// place some of the same at those that do.
	s := w.newSubmission(p, "", 80, time.Second)
	w.submitTo(old, s, coordinator.RequestSubmit)
	w.submitTo(w.ownerOf(p, w.entries[1:]), s, coordinator.RequestSubmit)
	w.until(time.Second, func() bool { return w.oracle.violation != "" })
}

// lateStart leaves a start in the socket buffer of a paused agent until the window
// has passed and another submission has the request key.
func lateStart(w *world) {
	const key = "plate"
	p := identifier.KeyPartition(key)
	first := w.newSubmission(p, key, 6, time.Second)
	for _, a := range w.agents {
		a.paused = true
	}
	w.submitTo(w.ownerOf(p, w.entries), first, coordinator.RequestSubmit)
	late := w.agents[0]
	for _, a := range w.agents[1:] {
		w.kill(a)
	}
	w.settle(worldWindow + 2*time.Second)
	w.submitTo(w.ownerOf(p, w.entries), w.newSubmission(p, key, 1, time.Second), coordinator.RequestSubmit)
	w.settle(500 * time.Millisecond)
	w.wake(late)
	w.settle(time.Second)
}

// block breaks the connection of two processes and keeps them from another.
func (w *world) block(a, b *process) {
	before := w.blocked
	w.blocked = func(x, y *process) bool {
		return x == a && y == b || x == b && y == a || before != nil && before(x, y)
	}
	for _, c := range w.conns {
		if !c.cut && w.blocked(c.ends[0], c.ends[1]) {
			w.cutConn(c)
		}
	}
	w.quiesce()
}

// lostClaim lets two entries that cannot hear each other claim the partitions of a
// dead one. The write of the first has no answer and no effect.
func lostClaim(w *world) {
	dead, deluded, owner := w.entries[0], w.entries[1], w.entries[2]
	var p identifier.Partition
	for !dead.entry.Owns(p) {
		p++
	}
	w.kill(dead)
	w.entries[0].paused = true
	w.block(deluded, owner)
	// After its claim is lost, the platform answers the deluded entry no more.
	w.lose = func(c *storeCall) bool {
		if c.from != deluded || c.write == nil || len(c.write.Transaction.Puts) < 2 {
			return false
		}
		w.stall = func(c *storeCall) bool { return c.from == deluded }
		return true
	}
	w.until(2*time.Second, func() bool { return w.ownerOf(p, []*process{owner}) != nil })
	w.until(time.Second, func() bool { return false })
	w.block(deluded, w.agents[0])
	w.block(owner, w.agents[2])
	s := w.newSubmission(p, "", 4, time.Second)
	w.submitTo(deluded, s, coordinator.RequestSubmit)
	w.submitTo(owner, s, coordinator.RequestSubmit)
	w.until(time.Second, func() bool { return w.oracle.violation != "" })
}

// notRunAgain submits a job that no upstream can run, and submits it again when
// the upstreams are back.
func notRunAgain(w *world) {
	w.leave(true)
	s := w.newSubmission(0, "", 1, 200*time.Millisecond)
	w.submitTo(w.entries[0], s, coordinator.RequestSubmit)
	w.settle(time.Second)
	w.leave(false)
	w.submitTo(w.entries[1], s, coordinator.RequestSubmit)
	w.settle(time.Second)
}

// leave lets all upstreams leave or come back.
func (w *world) leave(leaving bool) {
	for _, p := range w.agents {
		p.leaving = leaving
		w.announce(p)
		w.flush(p)
	}
	w.settle(200 * time.Millisecond)
}

// missingAgent lets an owner die together with the way to one agent that has
// started tasks, and submits the job again.
func missingAgent(w *world) {
	old := w.ownerOf(0, w.entries)
	s := w.newSubmission(0, "", 6, 3*time.Second)
	w.submitTo(old, s, coordinator.RequestSubmit)
	for len(w.agents[0].running) == 0 {
		ends := w.deliverable()
		w.deliver(ends[0])
	}
	w.split(1, w.agents[0])
	w.kill(old)
	if !w.until(3*time.Second, func() bool { return w.ownerOf(0, w.entries) != nil }) {
		return
	}
	w.submitTo(w.ownerOf(0, w.entries), s, coordinator.RequestSubmit)
	w.settle(4 * time.Second)
}

// crossedStart delays the starts of an owner until another entry has taken over
// and has answered that the job did not run.
func crossedStart(w *world) {
	old := w.ownerOf(0, w.entries)
	s := w.newSubmission(0, "", 6, time.Second)
	w.submitTo(old, s, coordinator.RequestSubmit)
	old.paused = true
	silence := func(silent bool) {
		for _, c := range w.conns {
			c.silent = silent && (c.ends[0] == old || c.ends[1] == old)
		}
	}
	silence(true)
	others := w.others(old)
	if !w.until(3*time.Second, func() bool { return w.ownerOf(0, others) != nil }) {
		return
	}
	w.submitTo(w.ownerOf(0, others), s, coordinator.RequestSubmit)
	w.settle(500 * time.Millisecond)
	silence(false)
	w.settle(time.Second)
}

// others returns the entries but for one.
func (w *world) others(p *process) []*process {
	var out []*process
	for _, e := range w.entries {
		if e != p {
			out = append(out, e)
		}
	}
	return out
}

// strangeAgent lets an agent that no roster has reach one owner alone, which has
// no other agent that takes tasks. The owner dies, and the job is submitted again.
func strangeAgent(w *world) {
	old := w.entries[1] // The first entry looks after the roster.
	var p identifier.Partition
	for !old.entry.Owns(p) {
		p++
	}
	stranger := w.birthAgent(len(w.agents))
	w.blocked = func(a, b *process) bool { return (a == stranger || b == stranger) && a != old && b != old }
	w.leave(true)
	w.agents = append(w.agents, stranger)
	w.settle(300 * time.Millisecond)
	s := w.newSubmission(p, "", 2, time.Second)
	w.submitTo(old, s, coordinator.RequestSubmit)
	w.settle(300 * time.Millisecond)
	w.kill(old)
	if !w.until(3*time.Second, func() bool { return w.ownerOf(p, w.entries) != nil }) {
		return
	}
	w.submitTo(w.ownerOf(p, w.entries), s, coordinator.RequestSubmit)
	w.settle(2 * time.Second)
}

// steppedBack runs a job, lets its records expire, steps the wall clocks of the
// entries back to the time of the job and submits it again.
func steppedBack(w *world) {
	const pause = worldWindow + 2*time.Second
	s := w.newSubmission(0, "", 2, time.Second)
	w.submitTo(w.ownerOf(0, w.entries), s, coordinator.RequestSubmit)
	w.settle(pause)
	for _, p := range w.entries {
		p.step = -pause
	}
	w.submitTo(w.ownerOf(0, w.entries), s, coordinator.RequestSubmit)
	w.settle(time.Second)
}
