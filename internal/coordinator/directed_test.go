package coordinator_test

import (
	"fmt"
	"strings"
	"time"

	"sardinelock.dev/sardinelock/internal/coordinator"
	"sardinelock.dev/sardinelock/internal/identifier"
)

// runDirected runs a history in a simulation whose scheduler always makes the last
// choice, so that all messages in flight on a broken connection arrive.
func runDirected(o simulationOptions, directed func(*simulation)) *simulation {
	sim := newSimulation(func(n int) int { return n - 1 }, o)
	sim.trace = new(strings.Builder)
	for _, p := range sim.processes() {
		p.setClockOffset(sim, 0)
	}
	sim.runFor(time.Second)
	directed(sim)
	sim.logf("violation: %s", sim.oracle.violation)
	return sim
}

// newSubmission adds a submission to a partition, with an id of the current time.
func (sim *simulation) newSubmission(p identifier.Partition, key string, tasks int, timeout time.Duration) *submission {
	s := &submission{key: key, timeout: timeout}
	s.id = sim.newID(sim.now, func(x identifier.Partition) bool { return x == p })
	for i := range tasks {
		s.payloads = append(s.payloads, []byte(fmt.Sprintf("%d/%d", sim.ids, i)))
	}
	sim.oracle.addSubmission(s)
	return s
}

// ownerOf returns the entry that accepts the requests of a partition; nil if none does.
func (sim *simulation) ownerOf(p identifier.Partition, among []*process) *process {
	for _, e := range among {
		if e.entry.Owns(p) {
			return e
		}
	}
	return nil
}

// moveToSide moves processes to another side of the network. Connections between sides
// deliver nothing, and neither end is notified.
func (sim *simulation) moveToSide(side int, ps ...*process) {
	for _, p := range ps {
		p.side = side
	}
	for _, c := range sim.conns {
		c.silent = c.ends[0].side != c.ends[1].side
	}
}

// stepUntil advances the simulation in small steps until a condition holds.
func (sim *simulation) stepUntil(d time.Duration, done func() bool) bool {
	const step = 5 * time.Millisecond
	for end := sim.now.Add(d); sim.now.Before(end); {
		sim.quiesce()
		if done() {
			return true
		}
		sim.now = sim.now.Add(step)
		for _, p := range sim.processes() {
			if p.active() {
				sim.tick(p)
			}
		}
	}
	return false
}

// isolateOwner isolates the owner of a partition and one agent from all other
// processes. Some time after another entry has taken over, the same new submission
// reaches both owners.
func isolateOwner(sim *simulation, after time.Duration) {
	old := sim.entries[0]
	var p identifier.Partition
	for !old.entry.Owns(p) {
		p++
	}
	// Wait until the owner has a recent confirmation by every witness.
	sim.stepUntil(200*time.Millisecond, func() bool { return old.entry.Lease(sim.now).Remaining > testLease*9/10 })
	sim.moveToSide(1, old, sim.agents[0])
	if !sim.stepUntil(3*time.Second, func() bool { return sim.ownerOf(p, sim.entries[1:]) != nil }) {
		return
	}
	sim.stepUntil(after, func() bool { return false })
	// The submission has more tasks than either owner has credits at unreachable
	// agents, so that both assign some of the same tasks to reachable ones.
	s := sim.newSubmission(p, "", 80, time.Second)
	sim.submitTo(old, s, coordinator.RequestSubmit)
	sim.submitTo(sim.ownerOf(p, sim.entries[1:]), s, coordinator.RequestSubmit)
	sim.stepUntil(time.Second, func() bool { return sim.oracle.violation != "" })
}

// lateStart leaves a start in the socket buffer of a paused agent until the window has
// passed and another submission has used the request key.
func lateStart(sim *simulation) {
	const key = "plate"
	p := identifier.KeyPartition(key)
	first := sim.newSubmission(p, key, 6, time.Second)
	for _, a := range sim.agents {
		a.paused = true
	}
	sim.submitTo(sim.ownerOf(p, sim.entries), first, coordinator.RequestSubmit)
	late := sim.agents[0]
	for _, a := range sim.agents[1:] {
		sim.kill(a)
	}
	sim.runFor(testWindow + 2*time.Second)
	sim.submitTo(sim.ownerOf(p, sim.entries), sim.newSubmission(p, key, 1, time.Second), coordinator.RequestSubmit)
	sim.runFor(500 * time.Millisecond)
	sim.resume(late)
	sim.runFor(time.Second)
}

// block breaks the connection of two processes and prevents new ones between them.
func (sim *simulation) block(a, b *process) {
	before := sim.blocked
	sim.blocked = func(x, y *process) bool {
		return x == a && y == b || x == b && y == a || before != nil && before(x, y)
	}
	for _, c := range sim.conns {
		if !c.broken && sim.blocked(c.ends[0], c.ends[1]) {
			sim.breakConn(c)
		}
	}
	sim.quiesce()
}

// lostClaim makes two entries that are not connected to each other claim the partitions
// of a dead one. The write of the first is lost without an answer.
func lostClaim(sim *simulation) {
	dead, outdated, owner := sim.entries[0], sim.entries[1], sim.entries[2]
	var p identifier.Partition
	for !dead.entry.Owns(p) {
		p++
	}
	sim.kill(dead)
	sim.entries[0].paused = true
	sim.block(outdated, owner)
	// After the claim is lost, the platform no longer answers the outdated entry.
	sim.losesCall = func(c *storeCall) bool {
		if c.from != outdated || c.write == nil || len(c.write.Transaction.Puts) < 2 {
			return false
		}
		sim.stallsCall = func(c *storeCall) bool { return c.from == outdated }
		return true
	}
	sim.stepUntil(2*time.Second, func() bool { return sim.ownerOf(p, []*process{owner}) != nil })
	sim.stepUntil(time.Second, func() bool { return false })
	sim.block(outdated, sim.agents[0])
	sim.block(owner, sim.agents[2])
	s := sim.newSubmission(p, "", 4, time.Second)
	sim.submitTo(outdated, s, coordinator.RequestSubmit)
	sim.submitTo(owner, s, coordinator.RequestSubmit)
	sim.stepUntil(time.Second, func() bool { return sim.oracle.violation != "" })
}

// resubmitNotRun submits a job that no upstream can run, and submits it again when the
// upstreams are back.
func resubmitNotRun(sim *simulation) {
	sim.setAllLeaving(true)
	s := sim.newSubmission(0, "", 1, 200*time.Millisecond)
	sim.submitTo(sim.entries[0], s, coordinator.RequestSubmit)
	sim.runFor(time.Second)
	sim.setAllLeaving(false)
	sim.submitTo(sim.entries[1], s, coordinator.RequestSubmit)
	sim.runFor(time.Second)
}

// setAllLeaving makes all upstreams leave or come back.
func (sim *simulation) setAllLeaving(leaving bool) {
	for _, p := range sim.agents {
		p.leaving = leaving
		sim.announce(p)
		sim.flush(p)
	}
	sim.runFor(200 * time.Millisecond)
}

// unreachableAgent kills an owner and isolates one agent that has started tasks, and
// submits the job again.
func unreachableAgent(sim *simulation) {
	old := sim.ownerOf(0, sim.entries)
	s := sim.newSubmission(0, "", 6, 3*time.Second)
	sim.submitTo(old, s, coordinator.RequestSubmit)
	for len(sim.agents[0].running) == 0 {
		ends := sim.deliverable()
		sim.deliver(ends[0])
	}
	sim.moveToSide(1, sim.agents[0])
	sim.kill(old)
	if !sim.stepUntil(3*time.Second, func() bool { return sim.ownerOf(0, sim.entries) != nil }) {
		return
	}
	sim.submitTo(sim.ownerOf(0, sim.entries), s, coordinator.RequestSubmit)
	sim.runFor(4 * time.Second)
}

// delayedStart delays the starts of an owner until another entry has taken over and has
// answered that the job did not run.
func delayedStart(sim *simulation) {
	old := sim.ownerOf(0, sim.entries)
	s := sim.newSubmission(0, "", 6, time.Second)
	sim.submitTo(old, s, coordinator.RequestSubmit)
	old.paused = true
	setSilent := func(silent bool) {
		for _, c := range sim.conns {
			c.silent = silent && (c.ends[0] == old || c.ends[1] == old)
		}
	}
	setSilent(true)
	others := sim.others(old)
	if !sim.stepUntil(3*time.Second, func() bool { return sim.ownerOf(0, others) != nil }) {
		return
	}
	sim.submitTo(sim.ownerOf(0, others), s, coordinator.RequestSubmit)
	sim.runFor(500 * time.Millisecond)
	setSilent(false)
	sim.runFor(time.Second)
}

// others returns all entries except one.
func (sim *simulation) others(p *process) []*process {
	var out []*process
	for _, e := range sim.entries {
		if e != p {
			out = append(out, e)
		}
	}
	return out
}

// unenrolledAgent connects an agent that is in no roster to a single owner, all of
// whose other agents are leaving. The owner is killed, and the job is submitted again.
func unenrolledAgent(sim *simulation) {
	old := sim.entries[1] // The first entry maintains the roster.
	var p identifier.Partition
	for !old.entry.Owns(p) {
		p++
	}
	unenrolled := sim.startAgent(len(sim.agents))
	sim.blocked = func(a, b *process) bool { return (a == unenrolled || b == unenrolled) && a != old && b != old }
	sim.setAllLeaving(true)
	sim.agents = append(sim.agents, unenrolled)
	sim.runFor(300 * time.Millisecond)
	s := sim.newSubmission(p, "", 2, time.Second)
	sim.submitTo(old, s, coordinator.RequestSubmit)
	sim.runFor(300 * time.Millisecond)
	sim.kill(old)
	if !sim.stepUntil(3*time.Second, func() bool { return sim.ownerOf(p, sim.entries) != nil }) {
		return
	}
	sim.submitTo(sim.ownerOf(p, sim.entries), s, coordinator.RequestSubmit)
	sim.runFor(2 * time.Second)
}

// clockSteppedBack runs a job, lets its records expire, steps the wall clocks of the
// entries back to the time of the job and submits it again.
func clockSteppedBack(sim *simulation) {
	const pause = testWindow + 2*time.Second
	s := sim.newSubmission(0, "", 2, time.Second)
	sim.submitTo(sim.ownerOf(0, sim.entries), s, coordinator.RequestSubmit)
	sim.runFor(pause)
	for _, p := range sim.entries {
		p.clockStep = -pause
	}
	sim.submitTo(sim.ownerOf(0, sim.entries), s, coordinator.RequestSubmit)
	sim.runFor(time.Second)
}
