package coordinator

import (
	"time"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/recoverer"
)

// PartitionStatus is the status of a partition at one entry that operators see.
type PartitionStatus struct {
	Partition identifier.Partition
	Region    string
	Owner     messenger.Peer
	Epoch     uint64
	// Phase is the phase of the partition at this entry.
	Phase recoverer.Phase
	// Missing lists the agents whose records of the partition are not known.
	Missing []messenger.Peer
	// UncertainBefore is the end of the ids that a former owner may have handled; zero
	// if there are none.
	UncertainBefore time.Time
}

// LeaseStatus is the status of an entry's lease that operators see.
type LeaseStatus struct {
	Held bool
	// Remaining is how long the lease lasts without another confirmation by a witness.
	Remaining time.Duration
	// RowsAge is the time since the shared rows were last known to be current.
	RowsAge time.Duration
	// RosterVersion is the version of the roster that the entry relies on.
	RosterVersion uint64
}

// Partitions returns the status of every partition.
func (c *Coordinator) Partitions(now time.Time) []PartitionStatus {
	out := make([]PartitionStatus, identifier.Partitions)
	for p := range identifier.Partition(identifier.Partitions) {
		row := c.registrar.Partition(p)
		s := c.recoverer.Status(now, p)
		out[p] = PartitionStatus{
			Partition:       p,
			Region:          row.Region,
			Owner:           row.Owner,
			Epoch:           row.Epoch,
			Phase:           s.Phase,
			Missing:         s.MissingAgents,
			UncertainBefore: s.UncertainBefore,
		}
	}
	return out
}

// Lease returns the status of this entry's lease.
func (c *Coordinator) Lease(now time.Time) LeaseStatus {
	return LeaseStatus{
		Held:          c.leaser.Held(now),
		Remaining:     max(0, c.leaser.Until().Sub(now)),
		RowsAge:       now.Sub(c.registrar.ReadAt()),
		RosterVersion: c.self.RosterVersion,
	}
}

// Serving reports whether every partition of this region has an owner that can be
// reached, this entry may start tasks, and at least the given number of agents are
// serving.
func (c *Coordinator) Serving(now time.Time, agents int) bool {
	for p := range identifier.Partition(identifier.Partitions) {
		row := c.registrar.Partition(p)
		switch {
		case row.Owner == "":
			return false
		case row.Region != c.self.Region:
		case row.Owner == c.self.Peer:
			if !c.Owns(p) {
				return false
			}
		case c.entries[row.Owner] == nil:
			return false
		}
	}
	return c.leaser.Held(now) && c.placer.Serving() >= agents
}
