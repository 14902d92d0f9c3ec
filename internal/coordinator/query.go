package coordinator

import (
	"time"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/owner"
	"sardinelock.dev/sardinelock/internal/placer"
	"sardinelock.dev/sardinelock/internal/recoverer"
)

// QueueTime is how long a job waited for its first start.
type QueueTime struct {
	Service  string
	Duration time.Duration
}

// OwnerOf returns the owner of a partition according to the rows that this entry has
// read.
func (c *Coordinator) OwnerOf(p identifier.Partition) messenger.Peer {
	return c.registrar.Partition(p).Owner
}

// JobStatus returns the status of a job that this entry holds.
func (c *Coordinator) JobStatus(s identifier.Submission) (owner.Status, bool) {
	return c.owner.Status(s)
}

// Undecided reports whether this entry owns the partition of a submission but cannot
// tell yet whether the job exists, because the partition is being taken over or handed
// over.
func (c *Coordinator) Undecided(s identifier.Submission) bool {
	phase := c.recoverer.Phase(s.Partition())
	return phase != recoverer.PhaseNone && phase != recoverer.PhaseActive
}

// CancelJob cancels a job of this entry that has no answer.
func (c *Coordinator) CancelJob(now time.Time, s identifier.Submission) { c.owner.CancelAny(now, s) }

// OpenJobs returns this entry's jobs without an answer for a service and a team. An
// empty name matches all.
func (c *Coordinator) OpenJobs(service, team string) []identifier.Submission {
	return c.owner.OpenJobs(service, team)
}

// JobCounts returns the number of jobs held here and how many of them have no answer.
func (c *Coordinator) JobCounts() (kept, open int) { return c.owner.Jobs() }

// Usage returns the resource usage of each service and team at this entry.
func (c *Coordinator) Usage() []owner.Usage { return c.owner.Usage() }

// Upstreams returns the state of each upstream that this entry knows.
func (c *Coordinator) Upstreams() []placer.UpstreamStatus { return c.placer.Upstreams() }

// Queued returns the number of tasks that wait for a slot.
func (c *Coordinator) Queued() int { return c.placer.Queued() }

// PeerCounts returns the number of connected agents and entries.
func (c *Coordinator) PeerCounts() (agents, entries int) { return len(c.agents), len(c.entries) }

// SetHolds replaces the holds by which operators keep upstreams from receiving new work.
func (c *Coordinator) SetHolds(holds placer.Holds) { c.placer.SetHolds(holds) }

// SetPlacementLimits replaces the limits of the placer.
func (c *Coordinator) SetPlacementLimits(l placer.Limits) { c.placer.SetLimits(l) }

// SetTeams sets the quotas of teams.
func (c *Coordinator) SetTeams(quotas []placer.Quota) { c.placer.SetTeams(quotas) }

// Ejections returns how often the placer has ejected an upstream on its own.
func (c *Coordinator) Ejections() uint64 { return c.placer.Ejections() }

// Restore ends the ejection of an upstream by the placer. It reports whether the
// upstream was ejected.
func (c *Coordinator) Restore(now time.Time, peer messenger.Peer) bool {
	for _, u := range c.placer.Upstreams() {
		if u.Peer == peer && u.EjectReason != "" {
			return c.placer.Restore(now, peer)
		}
	}
	return false
}

// recordFirstSend records how long a job waited, if this is the first time that tasks
// of it are sent.
func (c *Coordinator) recordFirstSend(now time.Time, j *owner.Job) {
	if waited, first := c.owner.FirstSend(now, j.Submission); first {
		c.out.QueueTimes = append(c.out.QueueTimes, QueueTime{Service: j.Service, Duration: waited})
	}
}
