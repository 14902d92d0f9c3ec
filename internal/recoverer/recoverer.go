// Package recoverer decides when an entry that has become the owner of partitions
// may start their tasks, and tracks which submissions a former owner may have
// accepted without the new owner knowing their outcome.
//
// A partition that had another owner is taken over in steps. The new owner sends
// its epoch to every agent that may hold records of the partition. Each agent
// answers with the tasks that it has started and refuses lower epochs from then on.
// Once a majority of the witnesses has answered and a lease duration has passed
// since, the former owner can no longer start or refuse anything, and the partition
// becomes active.
//
// A former owner may have accepted ids that no agent has reported. While an agent
// that may hold records has not answered, such an id may have run. Once all have
// answered, it is known not to have run; but the former owner may have answered
// not-run for it, so it must not run later either. Ids made after the takeover
// cannot have been accepted by a former owner.
package recoverer

import (
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
)

// Limits are the settings of a recoverer.
type Limits struct {
	// LeaseDuration is the duration of the owners' leases.
	LeaseDuration time.Duration
	// MaxClockSkew is by how much the wall clocks of two processes may differ.
	MaxClockSkew time.Duration
	// Window is the deduplication window.
	Window time.Duration
}

// Rules holds the checks that the safety of a takeover depends on. Tests replace
// them one at a time to show that each is needed.
type Rules struct {
	// Majority returns how many of n witnesses must have acknowledged an epoch.
	Majority func(n int) int
	// WaitOver reports whether a wait that ends at the given time is over.
	WaitOver func(now, end time.Time) bool
	// RecordsComplete reports whether all records are known while n agents have not
	// answered.
	RecordsComplete func(n int) bool
}

// DefaultRules returns the rules used in production.
func DefaultRules() Rules {
	return Rules{
		Majority:        func(n int) int { return n/2 + 1 },
		WaitOver:        func(now, end time.Time) bool { return !now.Before(end) },
		RecordsComplete: func(n int) bool { return n == 0 },
	}
}

// Phase is the state of a partition at an entry.
type Phase string

// The phases of a partition at an entry.
const (
	PhaseNone    Phase = "none"    // The entry does not own the partition.
	PhaseFencing Phase = "fencing" // Too few witnesses have acknowledged the epoch.
	PhaseWaiting Phase = "waiting" // The lease of the former owner may not have expired yet.
	PhaseActive  Phase = "active"  // Tasks may be started.
	PhaseStopped Phase = "stopped" // The partition is being handed over; no tasks are started.
)

// FormerOutcome is the possible outcome of an id under a former owner.
type FormerOutcome string

// The possible outcomes of an id that no agent has reported.
const (
	FormerOutcomeNone    FormerOutcome = "none"    // No former owner can have accepted the id.
	FormerOutcomeNotRun  FormerOutcome = "refused" // The id did not run; a former owner may have answered not-run.
	FormerOutcomeUnknown FormerOutcome = "unknown" // The id may have run.
)

// Status is the state of a partition as reported to operators.
type Status struct {
	Phase Phase
	Epoch uint64
	// MissingAgents are the agents whose records are not known, sorted.
	MissingAgents []messenger.Peer
	// UncertainBefore is the time before which ids may have been accepted by a former
	// owner; zero if there are no such ids.
	UncertainBefore time.Time
}

// Recoverer holds the state of every partition at one entry.
type Recoverer struct {
	limits  Limits
	rules   Rules
	terms   [identifier.Partitions]ownershipTerm
	pending []*takeover // pending holds the takeovers that are not complete.
	// declaredDead holds the agents that an operator has declared dead, sorted.
	declaredDead []messenger.Peer
}

// ownershipTerm is the state of one partition while the entry owns it.
type ownershipTerm struct {
	phase    Phase // phase is "" while the entry does not own the partition, which equals PhaseNone.
	epoch    uint64
	takeover *takeover // takeover is nil unless the partition was taken over without a handover.
	// uncertainty is what the former owner passed on with a handover.
	uncertainty Uncertainty
	// activeSince is when the partition became active; zero until then, and for a
	// partition that had no former owner.
	activeSince time.Time
}

// Uncertainty says which ids of a partition may have been accepted by a former owner
// without the present owner knowing. An owner passes it on with a handover.
type Uncertainty struct {
	// Before is the time before which ids may have been accepted by a former owner;
	// zero if there are no such ids.
	Before time.Time
	// RecordsIncomplete is set while some agent's records are not known; the ids may
	// have run then.
	RecordsIncomplete bool
}

// New returns a recoverer for an entry that owns no partitions.
func New(limits Limits, rules Rules) *Recoverer {
	return &Recoverer{limits: limits, rules: rules}
}

// Phase returns the phase of a partition.
func (r *Recoverer) Phase(p identifier.Partition) Phase {
	if phase := r.terms[p].phase; phase != "" {
		return phase
	}
	return PhaseNone
}

// Epoch returns the epoch under which the entry owns the partition.
func (r *Recoverer) Epoch(p identifier.Partition) uint64 { return r.terms[p].epoch }

// Status returns the status of a partition.
func (r *Recoverer) Status(now time.Time, p identifier.Partition) Status {
	t := &r.terms[p]
	s := Status{Phase: r.Phase(p), Epoch: t.epoch}
	s.UncertainBefore = r.Uncertainty(now, p).Before
	if t.takeover != nil {
		s.MissingAgents = slices.Clone(t.takeover.missing)
	}
	return s
}

// Recovering reports whether any takeover of partitions is not active yet.
func (r *Recoverer) Recovering() bool {
	return slices.ContainsFunc(r.pending, func(t *takeover) bool { return !t.active && r.hasPartitions(t) })
}

// BeginFresh starts the ownership of partitions that had no former owner, or whose
// records are all known.
func (r *Recoverer) BeginFresh(partitions []messenger.PartitionEpoch) {
	for _, p := range partitions {
		r.terms[p.Partition] = ownershipTerm{phase: PhaseActive, epoch: p.Epoch}
	}
}

// BeginHandover starts the ownership of a partition that its former owner stopped
// and then handed over.
func (r *Recoverer) BeginHandover(now time.Time, p messenger.PartitionEpoch, in Uncertainty) {
	r.terms[p.Partition] = ownershipTerm{phase: PhaseActive, epoch: p.Epoch, uncertainty: in, activeSince: now}
}

// End ends the ownership of a partition.
func (r *Recoverer) End(p identifier.Partition) { r.terms[p] = ownershipTerm{} }

// Stop stops an active partition for a handover. [Recoverer.Resume] makes it active
// again.
func (r *Recoverer) Stop(p identifier.Partition) { r.terms[p].phase = PhaseStopped }

// Resume makes a stopped partition active again under a new epoch.
func (r *Recoverer) Resume(now time.Time, p identifier.Partition, epoch uint64) {
	r.terms[p].phase = PhaseActive
	r.terms[p].epoch = epoch
	r.terms[p].activeSince = now
}

// ActiveSince returns when an active partition became active; the zero time if it
// had no former owner.
func (r *Recoverer) ActiveSince(p identifier.Partition) time.Time { return r.terms[p].activeSince }

// Uncertainty returns which ids of a partition a former owner may have accepted. It is
// zero once all such ids are older than the deduplication window.
func (r *Recoverer) Uncertainty(now time.Time, p identifier.Partition) Uncertainty {
	t := &r.terms[p]
	in := t.uncertainty
	if k := t.takeover; k != nil && k.active {
		in.Before = latest(in.Before, k.uncertainBefore)
		in.RecordsIncomplete = in.RecordsIncomplete || !r.rules.RecordsComplete(len(k.missing))
	}
	if now.Sub(in.Before) > r.limits.Window {
		return Uncertainty{}
	}
	return in
}

// FormerOutcome returns the possible outcome of an id that no agent has reported.
func (r *Recoverer) FormerOutcome(now time.Time, s identifier.Submission) FormerOutcome {
	in := r.Uncertainty(now, s.Partition())
	switch {
	case !s.Time().Before(in.Before):
		return FormerOutcomeNone
	case in.RecordsIncomplete:
		return FormerOutcomeUnknown
	}
	return FormerOutcomeNotRun
}

// Tick advances the takeovers to the given time. It reports whether a partition
// became active.
func (r *Recoverer) Tick(now time.Time) bool {
	activated := false
	for _, t := range r.pending {
		wasActive := t.active
		r.advance(now, t)
		activated = activated || t.active != wasActive
	}
	r.pending = slices.DeleteFunc(r.pending, func(t *takeover) bool { return r.isComplete(now, t) })
	return activated
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
