package coordinator

import (
	"slices"
	"strings"
	"time"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/placer"
	"sardinelock.dev/sardinelock/internal/recoverer"
	"sardinelock.dev/sardinelock/internal/registrar"
)

// agentLink is the state of a connected agent.
type agentLink struct {
	peer             messenger.Peer
	member           registrar.Member
	pending          *messenger.Frame // The frame for the next Take; nil if nothing is queued.
	unsent           *unsentFrames    // Shared by all links: those with a pending frame.
	settlements      []messenger.Settlement
	admitted         bool                // Set once an Admit was sent, until the agent is expelled.
	expelled         bool                // Set once an Expel was sent.
	capacity         *messenger.Capacity // The latest one received; nil before the first.
	credit           *messenger.Credit   // The latest one received; nil before the first.
	lastPing         uint64
	outstandingPings []sentPing    // Pings without an echo, oldest first.
	agentClock       time.Duration // The agent's monotonic clock in its latest contact.
	agentClockAt     time.Time     // Local time at which that contact arrived.
}

// sentPing records the time at which a ping was sent.
type sentPing struct {
	number uint64
	at     time.Time
}

// pendingFrame returns the frame for the agent that the next Take sends, creating it if
// there is none.
func (a *agentLink) pendingFrame() *messenger.Frame {
	if a.pending == nil {
		a.pending = &messenger.Frame{}
		a.unsent.links = append(a.unsent.links, a)
	}
	return a.pending
}

// unsentFrames lists the agents with a pending frame, so that flushing does not visit
// every agent.
type unsentFrames struct {
	links []*agentLink
}

// takeSorted returns the links sorted by peer name and clears the list.
func (g *unsentFrames) takeSorted() []*agentLink {
	out := g.links
	g.links = nil
	slices.SortFunc(out, func(a, b *agentLink) int { return strings.Compare(string(a.peer), string(b.peer)) })
	return out
}

// queueSettlement adds a settlement to the next frame without causing a frame to be
// sent.
func (a *agentLink) queueSettlement(s identifier.Submission) {
	a.settlements = append(a.settlements, messenger.Settlement{Submission: s})
}

// takePing returns when the echoed ping was sent, and forgets it and all older pings.
// It returns false if the ping is not outstanding.
func (a *agentLink) takePing(number uint64) (time.Time, bool) {
	for i := len(a.outstandingPings) - 1; i >= 0; i-- {
		if a.outstandingPings[i].number == number {
			at := a.outstandingPings[i].at
			a.outstandingPings = slices.Delete(a.outstandingPings, 0, i+1)
			return at, true
		}
	}
	return time.Time{}, false
}

func (c *Coordinator) agentUp(now time.Time, h messenger.Hello) {
	c.rosterCheck.trigger()
	if h.Region != c.self.Region {
		return
	}
	a := &agentLink{
		peer:   h.Peer,
		unsent: &c.unsent,
		member: registrar.Member{Peer: h.Peer, DataCentre: h.DataCentre, Rack: h.Rack},
	}
	c.agents[h.Peer] = a
	c.agentOrder = insertPeer(c.agentOrder, h.Peer)
	delete(c.disconnectedSince, h.Peer)
	for p, epoch := range h.Epochs {
		if p < identifier.Partitions {
			c.observeEpoch(now, identifier.Partition(p), epoch)
		}
	}
	c.owner.AgentUp(h.Peer)
	c.fence(a, c.Owned())
	c.admit(now, a)
	if roster := c.registrar.Roster(c.self.Region); slices.Contains(roster.DeclaredDead(), a.peer) {
		c.expel(now, a)
	}
	a.pendingFrame().Routes = &messenger.Routes{Entries: c.regionEntries()}
}

func (c *Coordinator) agentDown(now time.Time, peer messenger.Peer) {
	c.rosterCheck.trigger()
	delete(c.agents, peer)
	c.endRecordTransfers(peer)
	c.agentOrder = removePeer(c.agentOrder, peer)
	c.disconnectedSince[peer] = now
	c.leaser.Forget(peer)
	c.owner.AgentDown(now, peer)
	c.placer.AgentDown(now, peer)
}

// admit tells an agent that it is in the roster and makes it available to the placer.
func (c *Coordinator) admit(now time.Time, a *agentLink) {
	roster := c.registrar.Roster(c.self.Region)
	if a.admitted || !c.rules.Enrolled(roster.HasMember(a.peer)) {
		return
	}
	a.admitted = true
	epochs := make([]uint64, identifier.Partitions)
	for p := range epochs {
		epochs[p] = c.registrar.Partition(identifier.Partition(p)).Epoch
	}
	a.pendingFrame().Admit = &messenger.Admit{RosterVersion: roster.Version, Epochs: epochs}
	c.placer.AgentUp(now, a.peer, placer.Location{
		Region:     c.self.Region,
		DataCentre: a.member.DataCentre,
		Rack:       a.member.Rack,
	})
	if a.capacity != nil {
		c.placer.SetCapacity(now, a.peer, *a.capacity)
	}
	if a.credit != nil {
		c.placer.SetCredit(now, a.peer, a.credit.Limit)
	}
}

// expel tells a connected agent that an operator has declared it dead, and sends it no
// more work. Its records are still accepted.
func (c *Coordinator) expel(now time.Time, a *agentLink) {
	if a == nil || a.expelled {
		return
	}
	a.expelled = true
	a.pendingFrame().Expel = &messenger.Expel{RosterVersion: c.registrar.Roster(c.self.Region).Version}
	if a.admitted {
		a.admitted = false
		c.placer.AgentDown(now, a.peer)
	}
}

// fence sends an agent the epochs of partitions that this entry owns. An agent whose
// records are still missing here sends all of them in reply; any other sends only
// unsettled ones. All partitions that go out in one frame form one fence, which the
// agent answers as a whole.
func (c *Coordinator) fence(a *agentLink, partitions []messenger.PartitionEpoch) {
	if len(partitions) == 0 {
		return
	}
	f := a.pendingFrame()
	if f.Fence == nil {
		f.Fence = &messenger.Fence{Partitions: slices.Clone(partitions), UnsettledOnly: true}
	}
	for _, p := range partitions {
		if !slices.Contains(f.Fence.Partitions, p) {
			f.Fence.Partitions = append(f.Fence.Partitions, p)
		}
	}
	f.Fence.UnsettledOnly = f.Fence.UnsettledOnly && !c.recoverer.AwaitsRecords(a.peer)
}

// fenceAll sends every agent the epochs of partitions. Callers pass only partitions
// that were gained or resumed, because a fence makes an agent refuse the starts of its
// partitions that are queued there.
func (c *Coordinator) fenceAll(partitions []messenger.PartitionEpoch) {
	for _, peer := range c.agentOrder {
		c.fence(c.agents[peer], partitions)
	}
}

func (c *Coordinator) receiveAgent(now time.Time, a *agentLink, f *messenger.Frame) {
	if f.Contact != nil {
		c.receiveContact(now, a, f.Contact)
	}
	if f.Capacity != nil {
		a.capacity = f.Capacity
		c.placer.SetCapacity(now, a.peer, *f.Capacity)
	}
	if f.Credit != nil {
		a.credit = f.Credit
		c.placer.SetCredit(now, a.peer, f.Credit.Limit)
	}
	if len(f.Fenced) > 0 {
		c.receiveFenced(now, a, f.Fenced)
	}
	for i := range f.RecordTransfers {
		c.receiveRecordTransfer(a, f.RecordTransfers[i])
	}
	for i := range f.RecordTransferStatuses {
		c.receiveRecordTransferStatus(now, a, &f.RecordTransferStatuses[i])
	}
	for i := range f.Results {
		c.receiveResult(now, a, &f.Results[i])
	}
	for i := range f.CancelAcks {
		c.receiveCancelAck(now, a, &f.CancelAcks[i])
	}
}

// receiveContact applies the epochs that an agent has raised before it counts the echo
// as a confirmation of the lease: an echo from an agent that knows a higher epoch of a
// partition proves nothing for that partition.
func (c *Coordinator) receiveContact(now time.Time, a *agentLink, m *messenger.Contact) {
	a.agentClock = m.Clock
	a.agentClockAt = now
	for _, raised := range m.Raised {
		if int(raised.Partition) < identifier.Partitions {
			c.observeEpoch(now, raised.Partition, raised.Epoch)
		}
	}
	if sent, ok := a.takePing(m.Echo); ok {
		c.leaser.Confirmed(a.peer, sent)
	}
}

func (c *Coordinator) receiveFenced(now time.Time, a *agentLink, answer []messenger.Fenced) {
	for i := range answer {
		f := &answer[i]
		if int(f.Partition) >= identifier.Partitions {
			return
		}
		c.observeEpoch(now, f.Partition, f.Epoch)
		if f.Epoch != c.recoverer.Epoch(f.Partition) || c.recoverer.Phase(f.Partition) == recoverer.PhaseStopped {
			// The state of a partition in handover comes from its export alone: a job
			// created from records would hide the exported one if the partition is
			// resumed.
			continue
		}
		for _, record := range f.Records {
			c.owner.Recover(now, a.peer, record)
		}
		c.owner.Reconciled(now, a.peer, f.Partition)
	}
	c.recoverer.Fenced(now, a.peer, answer)
	c.releaseHeld(now)
}

func (c *Coordinator) receiveResult(now time.Time, a *agentLink, r *messenger.Result) {
	for _, t := range r.Tasks {
		c.placer.Ended(now, placer.End{
			Agent:           a.peer,
			Submission:      r.Submission,
			Index:           t.Index,
			Kind:            t.Kind,
			Refusal:         t.Refusal,
			RunTime:         t.RunTime,
			PeakMemoryBytes: t.PeakMemoryBytes,
		})
	}
	c.owner.Result(now, a.peer, r)
}

// receiveCancelAck releases the slots of tasks that will not start.
func (c *Coordinator) receiveCancelAck(now time.Time, a *agentLink, ack *messenger.CancelAck) {
	c.placer.Cancelled(now, a.peer, ack.Submission, ack.Started)
}

// pingWitnesses sends a ping to each witness whose confirmation needs to be renewed.
func (c *Coordinator) pingWitnesses(now time.Time) {
	for _, w := range c.leaser.Due(now) {
		if a := c.agents[w]; a != nil {
			a.pendingFrame()
		}
	}
}

// flushAgents sends the pending frames. Every frame is also a ping.
func (c *Coordinator) flushAgents(now time.Time) {
	for _, a := range c.unsent.takeSorted() {
		peer := a.peer
		if c.agents[peer] != a {
			continue
		}
		f := a.pending
		a.pending = nil
		f.Settled = a.settlements
		a.settlements = nil
		a.lastPing++
		a.outstandingPings = append(a.outstandingPings, sentPing{number: a.lastPing, at: now})
		f.Contact = &messenger.Contact{Ping: a.lastPing}
		if backlog := c.placer.Backlog(peer); backlog > 0 && len(f.Starts) > 0 {
			f.Credit = &messenger.Credit{Backlog: backlog}
		}
		c.leaser.Asked(now, peer)
		c.out.Sends = append(c.out.Sends, Send{To: peer, Frame: f})
	}
}

func insertPeer(peers []messenger.Peer, peer messenger.Peer) []messenger.Peer {
	i, found := slices.BinarySearch(peers, peer)
	if found {
		return peers
	}
	return slices.Insert(peers, i, peer)
}

func removePeer(peers []messenger.Peer, peer messenger.Peer) []messenger.Peer {
	i, found := slices.BinarySearch(peers, peer)
	if !found {
		return peers
	}
	return slices.Delete(peers, i, i+1)
}
