// Package guard decides at an agent which tasks may start.
//
// The guard is the last check before an upstream: every start passes it, one at
// a time. It keeps the highest epoch seen for each partition, a record of every
// submission that has started a task here, the announcement of the upstream, and
// the starts that wait for a free slot. It does no I/O: methods apply events at a
// given time, and the resulting actions are collected until [Guard.Take].
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
	// Window is the deduplication window: how long a record is kept after its last
	// use. It must exceed the owners' window by the maximum clock skew and the
	// entries' start timeout, so that no id is accepted after its record has been
	// deleted.
	Window time.Duration
	// MaxRecordBytes bounds the memory of the records and of the results that their
	// owners may not have received. At the bound new work is refused; no record is
	// evicted.
	MaxRecordBytes int
	// RetainFor and RetainBytes bound the results that are kept after their owner
	// has received them, so that a new owner can answer if that owner fails.
	RetainFor   time.Duration
	RetainBytes int
	// MaxWaiting bounds the starts that wait for a slot.
	MaxWaiting int
	// MaxEchoDelay bounds how long the echo of a ping that came with starts waits for
	// their results. It must be much shorter than a lease. Zero sends it at once.
	MaxEchoDelay time.Duration
	// MaxResultDelay is how long a result may wait for others of its job, so that
	// they are sent in one message. Zero sends each at once.
	MaxResultDelay time.Duration
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
	// EndBy is the time at which the call must be cancelled.
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
	// Wake is when Take must be called again at the latest; zero if nothing waits.
	Wake time.Time
}

func (o *Output) wakeBy(t time.Time) {
	if o.Wake.IsZero() || t.Before(o.Wake) {
		o.Wake = t
	}
}

// Guard is the state of one agent.
type Guard struct {
	limits  Limits
	started time.Time // started is time zero of the agent's clock.

	upstream           invoker.Announcement
	announcementExpiry time.Time // announcementExpiry is zero if there is no announcement.
	state              messenger.UpstreamState

	admitted        bool // admitted is true while the agent is part of the roster.
	expelled        bool // expelled is set for good once an operator has declared the agent dead.
	epochs          [identifier.Partitions]uint64
	resultReceivers [identifier.Partitions]messenger.Peer // resultReceivers are the entries that get the results of each partition.
	records         *recordTable
	transferred     *recordTable // transferred has the records of agents that left, with this one as successor.
	transfer        recordTransfer
	entries         map[messenger.Peer]*connection
	entryOrder      []messenger.Peer // entryOrder lists the connected entries in the order in which they connected.

	resources resources
	waiting   startQueue
	running   int // running counts the tasks in progress; at each start it is at most upstream.Slots.
	// Rules are the checks of a start.
	Rules Rules
	out   Output
}

// New returns a guard without an upstream. The given time is time zero of the
// agent's clock.
func New(now time.Time, limits Limits) *Guard {
	return &Guard{
		limits:      limits,
		started:     now,
		state:       messenger.UpstreamAbsent,
		records:     newRecordTable(limits.MaxRecordBytes),
		transferred: newRecordTable(limits.MaxRecordBytes),
		entries:     make(map[messenger.Peer]*connection),
		Rules:       DefaultRules(),

		resources: newResources(limits.Credits),
	}
}

// Clock converts a time to the agent's clock.
func (g *Guard) Clock(now time.Time) time.Duration { return now.Sub(g.started) }

// Running returns the number of tasks that run.
func (g *Guard) Running() int { return g.running }

// Waiting returns the number of starts that wait for a slot.
func (g *Guard) Waiting() int { return g.waiting.len() }

// DelayedResults returns the number of results that wait to be sent with others.
func (g *Guard) DelayedResults() int {
	n := 0
	for _, entry := range g.entryOrder {
		n += len(g.entries[entry].delayed)
	}
	return n
}

// Admitted reports whether the agent is part of the roster.
func (g *Guard) Admitted() bool { return g.admitted }

// Expelled reports whether an operator has declared the agent dead.
func (g *Guard) Expelled() bool { return g.expelled }

// Records returns the number of records and their size in bytes.
func (g *Guard) Records() (count, bytes int) {
	return g.records.count + g.transferred.count, g.records.bytes + g.transferred.bytes
}

// Receive applies a frame from an entry.
func (g *Guard) Receive(now time.Time, from messenger.Peer, f *messenger.Frame) {
	c := g.entries[from]
	if c == nil {
		return
	}
	c.recordPing(now, f)
	if f.Admit != nil {
		g.admit(now, f.Admit)
	}
	if f.Expel != nil {
		g.expel(now)
	}
	for i := range f.RecordTransfers {
		g.receiveTransfer(now, from, &f.RecordTransfers[i])
	}
	for i := range f.RecordTransferStatuses {
		g.applyTransferStatus(from, &f.RecordTransferStatuses[i])
	}
	if f.Fence != nil {
		g.fence(now, from, f.Fence)
	}
	g.receiveBacklog(c, f)
	for i := range f.Starts {
		g.start(now, from, &f.Starts[i])
	}
	for i := range f.Cancels {
		g.cancel(now, from, &f.Cancels[i])
	}
	for i := range f.Settled {
		g.settle(now, &f.Settled[i])
	}
	g.startWaiting(now)
}

// Tick applies the passing of time.
func (g *Guard) Tick(now time.Time) {
	if g.state == messenger.UpstreamServing && now.After(g.announcementExpiry) {
		g.state = messenger.UpstreamAbsent
		g.broadcastCapacity()
	}
	g.refuseWaiting(now)
	g.startWaiting(now)
	g.records.releaseRetained(g.Clock(now), g.limits.RetainBytes)
	g.records.expire(g.Clock(now), g.limits.Window)
	g.transferred.expire(g.Clock(now), g.limits.Window)
}

// Ended applies the end of a call to the upstream.
func (g *Guard) Ended(now time.Time, ref TaskRef, result messenger.TaskResult) {
	g.running--
	g.releaseTask(ref)
	if r := g.records.get(ref.Submission.Partition(), ref.Submission); r != nil {
		g.records.bytes += r.end(g.Clock(now), result)
	}
	g.sendResult(now, ref.Submission, result)
	g.startWaiting(now)
}

// Take returns what is to be done and clears it.
func (g *Guard) Take(now time.Time) Output {
	g.sendDelayed(now)
	g.addCredits()
	for _, entry := range g.entryOrder {
		c := g.entries[entry]
		if c.frame == nil && c.ping == c.echoed {
			continue
		}
		c.markEchoDue(now)
		if until, ok := g.echoDelay(now, c); ok {
			g.out.wakeBy(until)
			continue
		}
		f := g.frameTo(entry)
		f.Contact = &messenger.Contact{Echo: c.ping, Clock: g.Clock(now), Raised: g.takeRaised(c)}
		c.clearSent()
		g.out.Sends = append(g.out.Sends, Send{To: entry, Frame: f})
	}
	out := g.out
	g.out = Output{}
	return out
}
