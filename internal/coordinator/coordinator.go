// Package coordinator is the whole decision of an entry, without its I/O.
//
// It joins the controllers of an entry: the registrar knows the rows that entries
// share, the recoverer says which partitions are active here, the leaser says
// whether anything may be started now, the owner keeps the jobs, and the placer
// says which task goes where. Events come in with a time: requests, frames from
// peers, outcomes of calls of the platform, and ticks. What is to be done is
// collected until [Coordinator.Take]. The control thread of an entry drives it in
// production; in tests a scheduler with virtual time does.
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

// Output is what the entry has to do.
type Output struct {
	Sends   []Send
	Answers []TicketAnswer
	Reads   []registrar.Read
	Writes  []registrar.Write
	// RoutesChanged says that owners or entries differ from before.
	RoutesChanged bool
	// Waits are those of jobs of which a first task is sent.
	QueueTimes []QueueTime
}

// Coordinator is the control state of one entry.
type Coordinator struct {
	self    registrar.Entry // self is what the entry's row should say.
	limits  Limits
	rules   Rules
	started time.Time // started is the time of the first tick.
	now     time.Time // now is the time of the event that is being applied.

	registrar *registrar.Registrar
	leaser    *leaser.Leaser
	recoverer *recoverer.Recoverer
	owner     *owner.Owner
	placer    *placer.Placer

	agents     map[messenger.Peer]*agentLink
	agentOrder []messenger.Peer // agentOrder has the connected agents, sorted.
	entries    map[messenger.Peer]*entryLink
	entryOrder []messenger.Peer // entryOrder has the connected entries, sorted.
	// away has the time since which members of the roster are out of reach.
	disconnectedSince map[messenger.Peer]time.Time
	// sighted has the time at which each entry's row was first seen.
	unreachableSince map[messenger.Peer]time.Time
	// highest has the highest epoch of each partition that any source reported.
	highestEpoch [identifier.Partitions]uint64
	// superseded has when each partition was last taken over from this entry.
	takenOverAt [identifier.Partitions]time.Time

	requests        requests
	recordTransfers map[messenger.Peer]*recordTransfer // bequests has those of agents that leave through this entry.
	handovers       handovers
	draining        bool
	partitionsLost  bool // disowned means that a partition was lost or stopped since the last Take.
	entriesPingedAt time.Time
	rosterCheck     periodicCheck           // rosterPace is that of the comparison of the roster with the agents.
	ownersCheck     periodicCheck           // ownersPace is that of the comparison of owners with live entries.
	preferredOwners claimer.PreferredOwners // wanted has the owners that the live entries should be.
	unsent          unsentFrames            // gathered has the agents that a frame waits for.
	paths           map[string]string       // paths has the HTTP path of each service at its upstreams.
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

// withDefaults fills in what may be left out.
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

// Drain makes the entry hand over its partitions and take none, until Undrain.
// Drained reports when it is done. What no other entry may take stays and is
// served. Requests that reach the entry are passed on to the owners.
func (c *Coordinator) Drain(now time.Time) { c.setDraining(now, true) }

// Undrain lets the entry own partitions again. The others hand over those that it
// should own; a handover that it has begun itself is completed first.
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

// Drained reports whether the entry has no requests and, as far as another entry
// could take them, no partitions.
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

// Take runs the controllers on what has happened, returns what is to be done and
// clears it.
func (c *Coordinator) Take(now time.Time) Output {
	c.beginEvent(now)
	c.releaseLostTasks(now)
	c.applyOwner(now)
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
