// Package coordinator implements all decisions of an entry, without its I/O.
//
// It joins the controllers of an entry: the registrar holds the table rows that the
// entries share, the recoverer tracks which partitions are active here, the leaser
// tells whether tasks may be started now, the owner holds the jobs, and the placer
// assigns tasks to agents. Events arrive with a time: requests, frames from peers,
// results of platform calls, and ticks. The resulting actions are collected until
// [Coordinator.Take]. In production the control thread of an entry drives the
// coordinator; in tests a scheduler with virtual time does.
package coordinator

import (
	"cmp"
	"time"

	"sardinelock.dev/sardinelock/internal/claimer"
	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/leaser"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/owner"
	"sardinelock.dev/sardinelock/internal/placer"
	"sardinelock.dev/sardinelock/internal/recoverer"
	"sardinelock.dev/sardinelock/internal/registrar"
	"sardinelock.dev/sardinelock/internal/storer"
)

// Send is a frame for one peer.
type Send struct {
	To    messenger.Peer
	Frame *messenger.Frame
}

// TicketAnswer is the answer to a request of this entry.
type TicketAnswer struct {
	Ticket uint64
	Answer *messenger.Answer
}

// Output lists the actions that the entry has to carry out.
type Output struct {
	Sends   []Send
	Answers []TicketAnswer
	Reads   []registrar.Read
	Writes  []registrar.Write
	// RoutesChanged reports that owners or entries have changed.
	RoutesChanged bool
	// QueueTimes has one element for each job whose first task is sent.
	QueueTimes []QueueTime
}

// Coordinator is the control state of one entry.
type Coordinator struct {
	self    registrar.Entry // The desired content of the entry's own row.
	limits  Limits
	rules   Rules
	started time.Time // Time of the first tick.
	now     time.Time // Time of the event that is being applied.

	registrar *registrar.Registrar
	leaser    *leaser.Leaser
	recoverer *recoverer.Recoverer
	owner     *owner.Owner
	placer    *placer.Placer

	agents     map[messenger.Peer]*agentLink
	agentOrder []messenger.Peer // The connected agents, sorted.
	entries    map[messenger.Peer]*entryLink
	entryOrder []messenger.Peer // The connected entries, sorted.
	// disconnectedSince has, for each roster member without a connection, the time
	// since which it has had none.
	disconnectedSince map[messenger.Peer]time.Time
	// unreachableSince has, for each entry in the table, the time from which it counts
	// as unreachable while it is not connected: when its row was first read, when its
	// connection ended, or the end of a pause of this process.
	unreachableSince map[messenger.Peer]time.Time
	// highestEpoch has the highest epoch of each partition that any source has
	// reported.
	highestEpoch [identifier.Partitions]uint64
	// takenOverAt has the time at which another entry last took each partition over
	// from this one.
	takenOverAt [identifier.Partitions]time.Time

	requests        requests
	recordTransfers map[messenger.Peer]*recordTransfer // By the agent that shuts down.
	handovers       handovers
	draining        bool
	partitionsLost  bool // A partition was lost or stopped since the last Take.
	entriesPingedAt time.Time
	rosterCheck     periodicCheck           // Comparison of the roster with the connected agents.
	ownersCheck     periodicCheck           // Comparison of the owners with the live entries.
	preferredOwners claimer.PreferredOwners // The owner that each partition should have among the live entries.
	unsent          unsentFrames            // The agents with a pending frame.
	paths           map[string]string       // HTTP path of each service at its upstreams.
	out             Output
}

// New returns a coordinator that owns nothing.
func New(self registrar.Entry, limits Limits, rules Rules) *Coordinator {
	limits = limits.withDefaults(self.Region)
	c := &Coordinator{
		self:              self,
		limits:            limits,
		rules:             rules,
		registrar:         registrar.New(self, limits.Registrar, rules.Registrar),
		leaser:            leaser.New(limits.Leaser, rules.Leaser),
		recoverer:         recoverer.New(limits.Recoverer, rules.Recoverer),
		owner:             owner.New(limits.Owner),
		placer:            placer.New(limits.Placer),
		agents:            make(map[messenger.Peer]*agentLink),
		entries:           make(map[messenger.Peer]*entryLink),
		disconnectedSince: make(map[messenger.Peer]time.Time),
		unreachableSince:  make(map[messenger.Peer]time.Time),
		requests:          newRequests(limits.AnswerGracePeriod),
		recordTransfers:   make(map[messenger.Peer]*recordTransfer),
		handovers:         newHandovers(),
		paths:             make(map[string]string),
	}
	c.owner.Rules.HoldsPartition = func(p identifier.Partition) bool { return c.Owns(p) && c.leaser.Held(c.now) }
	c.owner.RequestsExpected = c.mayStillBeRequested
	return c
}

// withDefaults sets the fields that are zero to their defaults.
func (l Limits) withDefaults(region string) Limits {
	if len(l.Regions) == 0 {
		l.Regions = []string{region}
	}
	l.HandoverBytes = cmp.Or(l.HandoverBytes, DefaultHandoverBytes)
	l.HandoverPieceBytes = cmp.Or(l.HandoverPieceBytes, DefaultHandoverPieceBytes)
	return l
}

// SetPath sets the HTTP path of a service at its upstreams.
func (c *Coordinator) SetPath(service, path string) { c.paths[service] = path }

// PeerUp adds a connection.
func (c *Coordinator) PeerUp(now time.Time, h messenger.Hello) {
	if h.Role == messenger.RoleEntry {
		c.entryUp(now, h)
		return
	}
	c.agentUp(now, h)
}

// PeerDown removes a connection.
func (c *Coordinator) PeerDown(now time.Time, peer messenger.Peer) {
	if _, ok := c.agents[peer]; ok {
		c.agentDown(now, peer)
	}
	if _, ok := c.entries[peer]; ok {
		c.entryDown(now, peer)
	}
}

// Receive applies a frame from a peer.
func (c *Coordinator) Receive(now time.Time, from messenger.Peer, f *messenger.Frame) {
	c.beginEvent(now)
	if a := c.agents[from]; a != nil {
		c.receiveAgent(now, a, f)
		return
	}
	if e := c.entries[from]; e != nil {
		c.receiveEntry(now, e, f)
	}
}

// StoreRead applies the outcome of a read.
func (c *Coordinator) StoreRead(now time.Time, id uint64, r storer.Range, err error) {
	c.beginEvent(now)
	c.registrar.StoreRead(now, id, r, err)
	c.applyRows(now)
}

// StoreWritten applies the outcome of a write.
func (c *Coordinator) StoreWritten(now time.Time, id uint64, o storer.Outcome, err error) {
	c.beginEvent(now)
	c.registrar.StoreWritten(now, id, o, err)
	c.applyRows(now)
}

// Drain makes the entry hand over its partitions and accept none until Undrain. Drained
// reports when it has finished. Partitions that no other entry can take stay here and
// are served. Requests that reach the entry are forwarded to the owners.
func (c *Coordinator) Drain(now time.Time) { c.setDraining(now, true) }

// Undrain lets the entry own partitions again. The other entries hand over those that
// it should own. A handover that this entry has already started is completed first.
func (c *Coordinator) Undrain(now time.Time) { c.setDraining(now, false) }

func (c *Coordinator) setDraining(now time.Time, draining bool) {
	if c.draining == draining {
		return
	}
	c.beginEvent(now)
	c.draining = draining
	c.self.Draining = draining
	c.ownersCheck.trigger()
	c.propose(now)
}

// Drained reports whether the entry has no pending requests and no partitions that
// another entry could take.
func (c *Coordinator) Drained(now time.Time) bool {
	if c.requests.waiting() > 0 {
		return false
	}
	_, open := c.owner.Jobs()
	return open == 0 && c.owner.Waiting() == 0 && (len(c.Owned()) == 0 || len(c.liveEntries(now)) == 0)
}

// Tick applies the passing of time.
func (c *Coordinator) Tick(now time.Time) {
	c.beginEvent(now)
	if c.started.IsZero() {
		c.started = now
	}
	c.registrar.Tick(now)
	c.owner.Tick(now)
	if c.recoverer.Tick(now) {
		c.releaseHeld(now)
	}
	c.expireRequests(now)
	c.routeRequests(now)
	c.pingWitnesses(now)
	c.pingEntries(now)
	c.tickHandover(now)
	c.propose(now)
}

// Take runs the controllers on the events since the last call, and returns and clears
// the collected actions.
func (c *Coordinator) Take(now time.Time) Output {
	c.beginEvent(now)
	c.releaseLostTasks(now)
	c.applyOwner(now)
	c.refuseHeldBack(now)
	if c.leaser.Held(now) {
		c.dispatch(now)
		c.applyOwner(now)
	}
	c.flushAgents(now)
	c.flushEntries()
	rows := c.registrar.Take()
	c.out.Reads = append(c.out.Reads, rows.Reads...)
	c.out.Writes = append(c.out.Writes, rows.Writes...)
	out := c.out
	c.out = Output{}
	return out
}
