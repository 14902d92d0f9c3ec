// Package guard decides at an agent which tasks may start.
//
// The guard is the last check before an upstream: every start passes it, one at
// a time. It holds the highest epoch seen of each partition, a record of every
// submission of which a task has started, the announcement of the upstream, and
// the starts that wait for a free slot. It does no I/O: events come in with a
// time, and what is to be done is collected until [Guard.Take].
//
// A record outlives its tasks by the deduplication window, so that a late or
// repeated start is recognised. A refusal is proof that the task did not start
// and will not start under the epoch of the refused start.
package guard

import (
	"time"

	"sardinelock.dev/sardinelock/internal/creditor"
	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/invoker"
	"sardinelock.dev/sardinelock/internal/messenger"
)

// Limits are the settings of a guard.
type Limits struct {
	// Window is how long a record is kept after its last use. It must be longer
	// than any start-by budget.
	Window time.Duration
	// MaxRecords bounds the records; at the bound new submissions are refused.
	MaxRecords int
	// MaxWaiting bounds the starts that wait for a slot.
	MaxWaiting int
	// HoldFor is how long a result may wait for others of its job, so that they go
	// in one message. Zero sends each at once.
	HoldFor time.Duration
	// Credits are the settings of the division of slots between entries.
	Credits creditor.Limits
}

// TaskRef names one task of a submission.
type TaskRef struct {
	Submission identifier.Submission
	Index      uint16
}

// Invocation asks the agent to call the upstream.
type Invocation struct {
	Ref     TaskRef
	Path    string
	Payload []byte
	// EndBy is when the call must be cancelled.
	EndBy time.Time
}

// Send is a frame for one entry.
type Send struct {
	To    messenger.Peer
	Frame *messenger.Frame
}

// Output is what the agent has to do, in order within each field.
type Output struct {
	Invocations []Invocation
	Aborts      []TaskRef
	Sends       []Send
}

// Guard is the state of one agent.
type Guard struct {
	limits  Limits
	started time.Time // started is the zero of the agent's clock.

	upstream invoker.Announcement
	expires  time.Time // expires is when the announcement lapses; zero if there is none.
	state    messenger.UpstreamState

	epochs  [identifier.Partitions]uint64
	holders [identifier.Partitions]messenger.Peer
	records map[identifier.Submission]*record
	entries map[messenger.Peer]*link
	order   []messenger.Peer // order lists the connected entries in order of arrival.

	resources resources

	waiting []pending
	running int // running is at most upstream.Slots at the time of each start.
	out     Output
}

// link is what the guard keeps for a connected entry.
type link struct {
	frame     *messenger.Frame // frame gathers what goes out at the next Take; nil if nothing does.
	held      []heldResult
	heldSince time.Time // heldSince is when the oldest of held was added.
	backlog   int       // backlog is how many tasks wait at the entry, as it last said.
	ping      uint64
	echoed    uint64
}

// pending is a start that waits for a slot.
type pending struct {
	from    messenger.Peer
	ref     TaskRef
	epoch   uint64
	path    string
	startBy time.Duration
	endBy   time.Duration
	task    messenger.TaskStart
	work    time.Duration // work is what is left of the job, as the entry expects.
	rank    time.Duration // rank orders the starts that wait; the least goes first.
}

// New returns a guard without an upstream. The given time is the zero of the
// agent's clock.
func New(now time.Time, limits Limits) *Guard {
	return &Guard{
		limits:  limits,
		started: now,
		state:   messenger.UpstreamAbsent,
		records: make(map[identifier.Submission]*record),
		entries: make(map[messenger.Peer]*link),

		resources: newResources(limits.Credits),
	}
}

// Clock converts a time to the agent's clock.
func (g *Guard) Clock(now time.Time) time.Duration { return now.Sub(g.started) }

// Epochs returns a copy of the highest epochs seen, indexed by partition.
func (g *Guard) Epochs() []uint64 {
	out := make([]uint64, identifier.Partitions)
	copy(out, g.epochs[:])
	return out
}

// Running returns the number of tasks that run.
func (g *Guard) Running() int { return g.running }

// Waiting returns the number of starts that wait for a slot.
func (g *Guard) Waiting() int { return len(g.waiting) }

// Upstream returns the announcement and its state.
func (g *Guard) Upstream() (invoker.Announcement, messenger.UpstreamState) {
	return g.upstream, g.state
}

// EntryUp adds a connection to an entry.
func (g *Guard) EntryUp(_ time.Time, entry messenger.Peer) {
	if _, ok := g.entries[entry]; !ok {
		g.order = append(g.order, entry)
	}
	g.entries[entry] = &link{}
	g.resources.credits.EntryUp(entry)
	g.frameTo(entry).Capacity = g.capacity()
}

// EntryDown removes the connection to an entry. Its starts that wait are
// dropped: the entry asks for the records when it is back.
func (g *Guard) EntryDown(_ time.Time, entry messenger.Peer) {
	delete(g.entries, entry)
	g.entryGone(entry)
	for i, p := range g.order {
		if p == entry {
			g.order = append(g.order[:i], g.order[i+1:]...)
			break
		}
	}
	kept := g.waiting[:0]
	for _, p := range g.waiting {
		if p.from != entry {
			kept = append(kept, p)
		}
	}
	g.waiting = kept
}

// Receive applies a frame from an entry.
func (g *Guard) Receive(now time.Time, from messenger.Peer, f *messenger.Frame) {
	l := g.entries[from]
	if l == nil {
		return
	}
	if f.Contact != nil {
		l.ping = max(l.ping, f.Contact.Ping)
	}
	if f.Fence != nil {
		g.fence(from, f.Fence)
	}
	g.receiveBacklog(l, f)
	for i := range f.Starts {
		g.start(now, from, &f.Starts[i])
	}
	for i := range f.Cancels {
		g.cancel(now, from, &f.Cancels[i])
	}
	for i := range f.Settled {
		g.settle(&f.Settled[i])
	}
	g.startWaiting(now)
}

// Announce applies an announcement of the upstream.
func (g *Guard) Announce(now time.Time, a invoker.Announcement) {
	before := *g.capacity()
	g.upstream = a
	g.expires = now.Add(time.Duration(a.TimeToLive))
	g.state = messenger.UpstreamServing
	if a.Leaving {
		g.state = messenger.UpstreamLeaving
	}
	if !sameCapacity(&before, g.capacity()) {
		g.broadcastCapacity()
	}
	g.startWaiting(now)
}

// Tick applies the passing of time.
func (g *Guard) Tick(now time.Time) {
	if g.state == messenger.UpstreamServing && now.After(g.expires) {
		g.state = messenger.UpstreamAbsent
		g.broadcastCapacity()
	}
	g.startWaiting(now)
	g.forget(now)
}

// Ended applies the end of a call of the upstream.
func (g *Guard) Ended(now time.Time, ref TaskRef, result messenger.TaskResult) {
	g.running--
	g.giveBack(ref)
	r := g.records[ref.Submission]
	if r != nil {
		r.end(now, result)
	}
	g.sendResult(now, ref.Submission, result)
	g.startWaiting(now)
}

// Take returns what is to be done and clears it.
func (g *Guard) Take(now time.Time) Output {
	g.release(now)
	g.addCredits()
	for _, entry := range g.order {
		l := g.entries[entry]
		if l.frame == nil && l.ping == l.echoed {
			continue
		}
		f := g.frameTo(entry)
		f.Contact = &messenger.Contact{Echo: l.ping, Clock: g.Clock(now)}
		l.echoed = l.ping
		l.frame = nil
		g.out.Sends = append(g.out.Sends, Send{To: entry, Frame: f})
	}
	out := g.out
	g.out = Output{}
	return out
}

// fence raises epochs and answers with the records of the partitions.
func (g *Guard) fence(from messenger.Peer, f *messenger.Fence) {
	for _, p := range f.Partitions {
		if int(p.Partition) >= identifier.Partitions {
			continue
		}
		if p.Epoch >= g.epochs[p.Partition] {
			g.epochs[p.Partition] = p.Epoch
			g.holders[p.Partition] = from
		}
		answer := messenger.Fenced{Partition: p.Partition, Epoch: g.epochs[p.Partition]}
		answer.Records = g.recordsOf(p.Partition)
		frame := g.frameTo(from)
		frame.Fenced = append(frame.Fenced, answer)
	}
}

// start checks one start and runs, queues or refuses each of its tasks.
func (g *Guard) start(now time.Time, from messenger.Peer, s *messenger.Start) {
	for _, t := range s.Tasks {
		p := pending{
			from:    from,
			ref:     TaskRef{Submission: s.Submission, Index: t.Index},
			epoch:   s.Epoch,
			path:    s.Path,
			startBy: s.StartBy,
			endBy:   s.EndBy,
			task:    t,
			work:    s.Work,
		}
		refusal := g.check(now, &p)
		if refusal == "" && len(g.waiting) >= g.limits.MaxWaiting {
			refusal = messenger.RefusalFull
		}
		if refusal != "" {
			g.refuse(&p, refusal)
			continue
		}
		g.accept(now, p)
	}
}

// check returns why a start must be refused now, or "" if it may go ahead.
func (g *Guard) check(now time.Time, p *pending) messenger.Refusal {
	partition := p.ref.Submission.Partition()
	r := g.records[p.ref.Submission]
	switch {
	case p.epoch < g.epochs[partition]:
		return messenger.RefusalStaleEpoch
	case r != nil && r.started(p.ref.Index):
		return messenger.RefusalDuplicate
	case r != nil && r.cancelled:
		return messenger.RefusalCancelled
	case g.Clock(now) > p.startBy:
		return messenger.RefusalExpired
	case g.state == messenger.UpstreamLeaving:
		return messenger.RefusalLeaving
	case g.state == messenger.UpstreamAbsent || now.After(g.expires):
		return messenger.RefusalLapsed
	case r == nil && len(g.records) >= g.limits.MaxRecords:
		return messenger.RefusalMemory
	}
	return ""
}

// startWaiting starts waiting tasks while slots are free. Each is checked again:
// what held when it arrived may no longer hold.
func (g *Guard) startWaiting(now time.Time) {
	n := 0
	for n < len(g.waiting) {
		p := &g.waiting[n]
		if refusal := g.check(now, p); refusal != "" {
			g.refuse(p, refusal)
			g.resources.credits.Ended(p.from)
			g.close(p.ref.Submission)
			n++
			continue
		}
		if g.running >= g.upstream.Slots || !g.fits(p) {
			break
		}
		g.run(now, p)
		n++
	}
	g.waiting = append(g.waiting[:0], g.waiting[n:]...)
}

// run records the start of a task and asks for the call.
func (g *Guard) run(now time.Time, p *pending) {
	partition := p.ref.Submission.Partition()
	g.epochs[partition] = p.epoch
	g.holders[partition] = p.from
	r := g.records[p.ref.Submission]
	if r == nil {
		r = &record{}
		g.records[p.ref.Submission] = r
	}
	r.start(now, p.ref.Index)
	g.running++
	g.take(p)
	g.out.Invocations = append(g.out.Invocations, Invocation{
		Ref:     p.ref,
		Path:    p.path,
		Payload: p.task.Payload,
		EndBy:   g.started.Add(p.endBy),
	})
}

func (g *Guard) refuse(p *pending, refusal messenger.Refusal) {
	g.addResult(p.from, p.ref.Submission, messenger.TaskResult{
		Index:   p.ref.Index,
		Kind:    messenger.ResultRefused,
		Refusal: refusal,
	})
}

// cancel stops the running tasks of a submission and bars the others.
func (g *Guard) cancel(now time.Time, from messenger.Peer, c *messenger.Cancel) {
	if c.Epoch < g.epochs[c.Submission.Partition()] {
		return
	}
	r := g.records[c.Submission]
	if r == nil {
		r = &record{}
		g.records[c.Submission] = r
	}
	r.cancelled = true
	r.used = now
	for _, index := range r.running {
		g.out.Aborts = append(g.out.Aborts, TaskRef{Submission: c.Submission, Index: index})
	}
	frame := g.frameTo(from)
	frame.CancelAcks = append(frame.CancelAcks, messenger.CancelAck{
		Submission: c.Submission,
		Started:    r.startedTasks(),
	})
}

func (g *Guard) settle(s *messenger.Settlement) {
	if r := g.records[s.Submission]; r != nil {
		r.dropPayloads()
	}
}

// sendResult sends a result to the holder of the submission's partition.
func (g *Guard) sendResult(now time.Time, s identifier.Submission, result messenger.TaskResult) {
	to := g.holders[s.Partition()]
	if g.entries[to] != nil && !g.hold(now, to, s, result) {
		g.addResult(to, s, result)
	}
}

func (g *Guard) addResult(to messenger.Peer, s identifier.Submission, result messenger.TaskResult) {
	if g.entries[to] == nil {
		return
	}
	f := g.frameTo(to)
	if n := len(f.Results); n > 0 && f.Results[n-1].Submission == s {
		f.Results[n-1].Tasks = append(f.Results[n-1].Tasks, result)
		return
	}
	f.Results = append(f.Results, messenger.Result{Submission: s, Tasks: []messenger.TaskResult{result}})
}

// frameTo returns the frame that gathers what goes to a connected entry.
func (g *Guard) frameTo(entry messenger.Peer) *messenger.Frame {
	l := g.entries[entry]
	if l.frame == nil {
		l.frame = &messenger.Frame{}
	}
	return l.frame
}

func (g *Guard) capacity() *messenger.Capacity {
	return &messenger.Capacity{
		State:        g.state,
		Services:     g.upstream.Services,
		Slots:        g.upstream.Slots,
		Connections:  g.upstream.Connections,
		MemoryBytes:  g.upstream.MemoryBytes,
		Accelerators: g.upstream.Accelerators,
	}
}

func (g *Guard) broadcastCapacity() {
	for _, entry := range g.order {
		g.frameTo(entry).Capacity = g.capacity()
	}
}

func sameCapacity(a, b *messenger.Capacity) bool {
	if len(a.Services) != len(b.Services) {
		return false
	}
	for i := range a.Services {
		if a.Services[i] != b.Services[i] {
			return false
		}
	}
	return a.State == b.State && a.Slots == b.Slots && a.Connections == b.Connections &&
		a.MemoryBytes == b.MemoryBytes && a.Accelerators == b.Accelerators
}
