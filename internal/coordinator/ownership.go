package coordinator

import (
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/claimer"
	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/recoverer"
	"sardinelock.dev/sardinelock/internal/registrar"
	"sardinelock.dev/sardinelock/internal/storer"
)

// Owns reports whether this entry owns the partition and accepts its requests.
func (c *Coordinator) Owns(p identifier.Partition) bool {
	return c.recoverer.Phase(p) == recoverer.PhaseActive
}

// Owned returns the partitions that this entry owns, in any phase.
func (c *Coordinator) Owned() []messenger.PartitionEpoch {
	var out []messenger.PartitionEpoch
	for p := range identifier.Partition(identifier.Partitions) {
		if c.recoverer.Phase(p) != recoverer.PhaseNone {
			out = append(out, messenger.PartitionEpoch{Partition: p, Epoch: c.recoverer.Epoch(p)})
		}
	}
	return out
}

// applyRows brings the state of this entry in line with the rows after they have
// changed.
func (c *Coordinator) applyRows(now time.Time) {
	rows := c.registrar.Take()
	c.out.Reads = append(c.out.Reads, rows.Reads...)
	c.out.Writes = append(c.out.Writes, rows.Writes...)
	if !rows.Changed {
		return
	}
	c.out.RoutesChanged = true
	c.ownersCheck.trigger()
	c.rosterCheck.trigger()
	c.applyEntryRows(now)
	c.placer.SetEntries(c.regionSize())
	c.applyRoster(now)
	c.applyPartitionRows(now)
	c.checkHandover(now)
	c.routeRequests(now)
	c.releaseHeld(now)
	c.announceRevision()
	c.propose(now)
}

func (c *Coordinator) applyEntryRows(now time.Time) {
	for _, e := range c.registrar.Entries() {
		if _, ok := c.unreachableSince[e.Peer]; !ok {
			c.unreachableSince[e.Peer] = now
		}
	}
	for peer := range c.unreachableSince {
		if _, ok := c.registrar.Entry(peer); !ok {
			delete(c.unreachableSince, peer)
		}
	}
	routes := c.regionEntries()
	for _, peer := range c.agentOrder {
		c.agents[peer].pendingFrame().Routes = &messenger.Routes{Entries: routes}
	}
}

// applyPartitionRows applies the loss and gain of partitions. A row with a lower epoch
// than one that was seen elsewhere is out of date and is ignored.
func (c *Coordinator) applyPartitionRows(now time.Time) {
	var handedOver, takenOver, firstOwned []messenger.PartitionEpoch
	for p := range identifier.Partition(identifier.Partitions) {
		row := c.registrar.Partition(p)
		c.observeEpoch(now, p, row.Epoch)
		if row.Epoch < c.highestEpoch[p] || row.Owner != c.self.Peer || row.Epoch == c.recoverer.Epoch(p) {
			continue
		}
		gained := messenger.PartitionEpoch{Partition: p, Epoch: row.Epoch}
		switch {
		case c.resumeReclaimed(now, gained, row.Handover), c.activateHandedOver(now, gained, row.Handover):
			handedOver = append(handedOver, gained)
		case row.Epoch == 1:
			firstOwned = append(firstOwned, gained)
		default:
			takenOver = append(takenOver, gained)
		}
	}
	c.recoverer.BeginFresh(firstOwned)
	c.recoverer.BeginTakeover(now, takenOver, c.registrar.Roster(c.self.Region).Roster)
	c.fenceAll(slices.Concat(handedOver, takenOver, firstOwned))
}

// observeEpoch applies an epoch of a partition that any source has reported. An entry
// that owns the partition under a lower epoch has lost it.
func (c *Coordinator) observeEpoch(now time.Time, p identifier.Partition, epoch uint64) {
	if epoch <= c.highestEpoch[p] {
		return
	}
	c.highestEpoch[p] = epoch
	if c.recoverer.Phase(p) == recoverer.PhaseNone || c.recoverer.Epoch(p) >= epoch {
		return
	}
	row := c.registrar.Partition(p)
	if row.Owner == c.self.Peer && row.Epoch == epoch {
		return
	}
	c.endOwnership(now, p)
}

// endOwnership ends the ownership of a partition. Waiting requests are redirected to
// the new owner, which learns from the agents which tasks have started.
func (c *Coordinator) endOwnership(now time.Time, p identifier.Partition) {
	if c.recoverer.Phase(p) != recoverer.PhaseStopped {
		c.takenOverAt[p] = now
	}
	c.recoverer.End(p)
	c.partitionsLost = true
	for _, r := range c.owner.Release(now, p) {
		c.placer.Drop(r.Job.Submission)
		for _, w := range r.Waiters {
			c.redirect(w, Request{Kind: RequestSubmit, Job: r.Job})
		}
	}
	for _, h := range c.requests.takeHeld(p) {
		c.redirect(h.waiter, h.request)
	}
	c.out.RoutesChanged = true
}

// propose requests the most urgent write, if any is needed and none is in flight.
func (c *Coordinator) propose(now time.Time) {
	if !c.registrar.Idle() {
		return
	}
	c.self.Recovering = c.recoverer.Recovering()
	if row, ok := c.registrar.Entry(c.self.Peer); !ok || row != c.self {
		c.registrar.Propose(storer.Transaction{Puts: []storer.Put{registrar.EntryPut(c.self)}})
		return
	}
	if t, ok := c.handoverWrite(); ok {
		c.registrar.Propose(t)
		return
	}
	ownersDue := c.ownersCheck.due(now, ownersCheckInterval)
	if ownersDue {
		if t, ok := c.claimWrite(now); ok {
			c.registrar.Propose(t)
			return
		}
	}
	if t, ok := c.recordTransferWrite(); ok {
		c.registrar.Propose(t)
		return
	}
	if c.rosterCheck.due(now, rosterCheckInterval) {
		if t, ok := c.rosterWrite(now); ok {
			c.registrar.Propose(t)
			return
		}
		c.rosterCheck.recordClean(now)
	}
	if !ownersDue {
		return
	}
	c.ownersCheck.recordClean(now)
	if t, ok := c.entryRemovalWrite(now); ok {
		c.registrar.Propose(t)
		return
	}
	c.startHandover(now)
}

// claimWrite returns the write that takes over the partitions of this region that
// should be owned by this entry and have no owner, or one that is unreachable. The
// write is conditional on the roster, so that the agents to be fenced are known. It
// also renews this entry's row, which records the roster that the entry relies on and
// that it is recovering.
func (c *Coordinator) claimWrite(now time.Time) (storer.Transaction, bool) {
	var t storer.Transaction
	if c.draining {
		return t, false
	}
	live := c.liveEntries(now)
	self := c.self
	for p := range identifier.Partition(identifier.Partitions) {
		row := c.registrar.Partition(p)
		if !c.claimable(now, p, row) || c.preferredOwners.Owner(p, live) != c.self.Peer {
			continue
		}
		self.Recovering = self.Recovering || row.Epoch > 0
		t.Conditions = append(t.Conditions, registrar.PartitionCondition(p, row))
		t.Puts = append(t.Puts, registrar.PartitionPut(p, registrar.Ownership{
			Owner:  c.self.Peer,
			Epoch:  row.Epoch + 1,
			Region: c.self.Region,
		}))
	}
	if len(t.Puts) == 0 {
		return t, false
	}
	t.Conditions = append(t.Conditions, registrar.RosterCondition(c.registrar.Roster(c.self.Region)))
	t.Puts = append(t.Puts, registrar.EntryPut(self))
	return t, true
}

func (c *Coordinator) claimable(now time.Time, p identifier.Partition, row registrar.Partition) bool {
	if row.Owner == "" {
		return claimer.HomeRegion(p, c.limits.Regions) == c.self.Region
	}
	if row.Region != c.self.Region || row.Owner == c.self.Peer || !c.suspected(now, row.Owner) {
		return false
	}
	since := c.takenOverAt[p]
	return since.IsZero() || now.Sub(since) >= reclaimDelayFactor*c.limits.SuspicionTimeout
}

// reclaimDelayFactor is the number of suspicion timeouts for which an entry waits
// before it takes back a partition that was taken over from it. Otherwise two entries
// that reach the platform but not each other would take partitions from each other
// faster than either can serve them.
const reclaimDelayFactor = 10
