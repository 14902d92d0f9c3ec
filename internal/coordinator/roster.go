package coordinator

import (
	"time"

	"sardinelock.dev/sardinelock/internal/enroller"
	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/registrar"
	"sardinelock.dev/sardinelock/internal/storer"
)

// applyRoster adopts the roster that was read: leases depend on its witnesses from now
// on, and its members may be sent tasks.
func (c *Coordinator) applyRoster(now time.Time) {
	roster := c.registrar.Roster(c.self.Region)
	c.leaser.SetWitnesses(roster.Witnesses)
	c.self.RosterVersion = roster.Version
	c.checkRecordTransfers()
	declared := roster.DeclaredDead()
	c.recoverer.SetDeclaredDead(declared)
	for _, peer := range declared {
		c.expel(now, c.agents[peer])
	}
	for _, peer := range c.agentOrder {
		c.admit(now, c.agents[peer])
	}
	for _, m := range roster.Members {
		if _, ok := c.disconnectedSince[m.Peer]; !ok && c.agents[m.Peer] == nil {
			c.disconnectedSince[m.Peer] = now
		}
	}
	for peer := range c.disconnectedSince {
		if !roster.HasMember(peer) {
			delete(c.disconnectedSince, peer)
		}
	}
}

// maintainsRoster reports whether this entry maintains the roster: the first of the
// live entries of the region does. Two entries may both conclude this at the same time;
// their writes are conditional.
func (c *Coordinator) maintainsRoster(now time.Time) bool {
	live := c.liveEntries(now)
	return len(live) > 0 && live[0] == c.self.Peer
}

// rosterWrite returns the write of the new roster if it differs from the current one.
func (c *Coordinator) rosterWrite(now time.Time) (storer.Transaction, bool) {
	if !c.maintainsRoster(now) {
		return storer.Transaction{}, false
	}
	current := c.registrar.Roster(c.self.Region)
	next, changed := enroller.Propose(c.limits.Enroller, enroller.Input{
		Current:         current,
		Connected:       c.connectedAgents(),
		UnreachableFor:  func(peer messenger.Peer) time.Duration { return c.disconnectedFor(now, peer) },
		MinVersionInUse: c.lowestRosterInUse(),
		Now:             now,
	})
	if !changed {
		return storer.Transaction{}, false
	}
	return storer.Transaction{
		Conditions: []storer.Condition{registrar.RosterCondition(current)},
		Puts:       []storer.Put{registrar.RosterPut(c.self.Region, next)},
	}, true
}

func (c *Coordinator) connectedAgents() []registrar.Member {
	out := make([]registrar.Member, 0, len(c.agentOrder))
	for _, peer := range c.agentOrder {
		out = append(out, c.agents[peer].member)
	}
	return out
}

func (c *Coordinator) disconnectedFor(now time.Time, peer messenger.Peer) time.Duration {
	since, ok := c.disconnectedSince[peer]
	if !ok {
		return 0
	}
	return now.Sub(since)
}

// lowestRosterInUse returns the lowest roster version on which an entry of this region
// relies.
func (c *Coordinator) lowestRosterInUse() uint64 {
	lowest := c.self.RosterVersion
	for _, e := range c.registrar.Entries() {
		if e.Region == c.self.Region {
			lowest = min(lowest, e.RosterVersion)
		}
	}
	return lowest
}

// entryRemovalWrite returns the write that deletes the row of an entry that has
// terminated. The row tells on which witnesses the entry may still rely, so it stays
// until every partition of terminated entries has an owner that has fenced the former
// one.
func (c *Coordinator) entryRemovalWrite(now time.Time) (storer.Transaction, bool) {
	if !c.maintainsRoster(now) {
		return storer.Transaction{}, false
	}
	var removed messenger.Peer
	for _, e := range c.registrar.Entries() {
		switch {
		case e.Region != c.self.Region:
		case !c.suspected(now, e.Peer):
			if e.Recovering {
				return storer.Transaction{}, false
			}
		case c.ownsAny(e.Peer):
			return storer.Transaction{}, false
		default:
			removed = e.Peer
		}
	}
	if removed == "" {
		return storer.Transaction{}, false
	}
	return storer.Transaction{
		Conditions: []storer.Condition{c.registrar.EntryCondition(removed)},
		Deletes:    []string{registrar.EntryKey(removed)},
	}, true
}

func (c *Coordinator) ownsAny(peer messenger.Peer) bool {
	for p := range identifier.Partition(identifier.Partitions) {
		if c.registrar.Partition(p).Owner == peer {
			return true
		}
	}
	return false
}
