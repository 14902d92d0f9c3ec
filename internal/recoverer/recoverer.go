// Package recoverer decides when an entry that has come to own partitions may
// start their tasks, and what it does not know about their past.
//
// A partition that had another owner is taken over in steps. The new owner sends
// its epoch to every agent that may hold records of the partition, and each agent
// answers with what it has started and refuses lower epochs from then on. When a
// majority of the witnesses has answered and the lease time has passed since, the
// old owner cannot start or refuse anything any more and the partition is active.
//
// Ids that the old owner may have accepted and that nobody reported have a past.
// While an agent that may hold records has not answered, they may have run. Once
// all have answered, they did not run; but the old owner may have said so, and
// then they must not run later either. Ids made after the takeover have no past.
package recoverer

import (
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
)

// Limits are the settings of a recoverer.
type Limits struct {
	// Lease is the lease time of owners.
	LeaseDuration time.Duration
	// ClockDifference is by how much the wall clocks of two processes may differ.
	MaxClockSkew time.Duration
	// Window is the deduplication window.
	Window time.Duration
}

// Rules has the checks that the safety of a takeover rests on. Tests replace
// them one at a time to show that each is needed.
type Rules struct {
	// Majority returns how many of n witnesses must have acknowledged an epoch.
	Majority func(n int) int
	// Waited reports whether the wait that ends at the given time is over.
	WaitOver func(now, end time.Time) bool
	// Complete reports whether every record is known while n agents have not answered.
	RecordsComplete func(n int) bool
}

// DefaultRules returns the rules of production.
func DefaultRules() Rules {
	return Rules{
		Majority:        func(n int) int { return n/2 + 1 },
		WaitOver:        func(now, end time.Time) bool { return !now.Before(end) },
		RecordsComplete: func(n int) bool { return n == 0 },
	}
}

// Phase is how far an entry has come with a partition.
type Phase string

// The phases of a partition at an entry.
const (
	PhaseNone    Phase = "none"    // The entry does not own the partition.
	PhaseFencing Phase = "fencing" // Too few witnesses have acknowledged the epoch.
	PhaseWaiting Phase = "waiting" // The lease of the former owner may still run.
	PhaseActive  Phase = "active"  // Tasks may be started.
	PhaseStopped Phase = "stopped" // The partition is being handed over; nothing is started.
)

// Past says what may have become of an id under a former owner.
type FormerOutcome string

// The kinds of past of an id that no agent has reported.
const (
	FormerOutcomeNone    FormerOutcome = "none"    // No former owner can have had the id.
	FormerOutcomeNotRun  FormerOutcome = "refused" // The id did not run; a former owner may have said so.
	FormerOutcomeUnknown FormerOutcome = "unknown" // The id may have run.
)

// Status is what operators see of a partition.
type Status struct {
	Phase Phase
	Epoch uint64
	// Missing are the agents whose records are not known, sorted.
	MissingAgents []messenger.Peer
	// PastBefore is the end of the ids that have a past; zero if there are none.
	UncertainBefore time.Time
}

// Recoverer holds the state of every partition at one entry.
type Recoverer struct {
	limits  Limits
	rules   Rules
	tenures [identifier.Partitions]tenure
	open    []*takeover // open has the takeovers that wait for something.
	// declared are the agents that an operator has declared dead, sorted.
	declared []messenger.Peer
}

// tenure is what the entry has of one partition.
type tenure struct {
	phase    Phase // phase is "" like PhaseNone until the entry first owns the partition.
	epoch    uint64
	takeover *takeover // takeover is nil for a partition without an uncertain past.
	// inherited is what came with a handover.
	inherited Uncertainty
	// activeSince is when the partition became active; zero before, and for one
	// that nobody owned before.
	activeSince time.Time
}

// Inheritance is what an owner that hands a partition over knows of its past.
type Uncertainty struct {
	// Before is the end of the ids that have a past; zero if there are none.
	Before time.Time
	// Incomplete means that some agent's records are not known.
	RecordsIncomplete bool
}

// New returns a recoverer that owns nothing.
func New(limits Limits, rules Rules) *Recoverer {
	return &Recoverer{limits: limits, rules: rules}
}

// Phase returns the phase of a partition.
func (r *Recoverer) Phase(p identifier.Partition) Phase {
	if phase := r.tenures[p].phase; phase != "" {
		return phase
	}
	return PhaseNone
}

// Epoch returns the epoch under which the entry owns the partition.
func (r *Recoverer) Epoch(p identifier.Partition) uint64 { return r.tenures[p].epoch }

// Status returns what operators see of a partition.
func (r *Recoverer) Status(now time.Time, p identifier.Partition) Status {
	t := &r.tenures[p]
	s := Status{Phase: r.Phase(p), Epoch: t.epoch}
	s.UncertainBefore = r.Uncertainty(now, p).Before
	if t.takeover != nil {
		s.MissingAgents = slices.Clone(t.takeover.missing)
	}
	return s
}

// Recovering reports whether a takeover is not active yet.
func (r *Recoverer) Recovering() bool {
	return slices.ContainsFunc(r.open, func(t *takeover) bool { return !t.active && r.inUse(t) })
}

// BeginFresh starts the tenure of partitions that nobody owned before, or whose
// past is known in full.
func (r *Recoverer) BeginFresh(partitions []messenger.PartitionEpoch) {
	for _, p := range partitions {
		r.tenures[p.Partition] = tenure{phase: PhaseActive, epoch: p.Epoch}
	}
}

// BeginHandover starts the tenure of a partition that its former owner passed on
// after it had stopped.
func (r *Recoverer) BeginHandover(now time.Time, p messenger.PartitionEpoch, in Uncertainty) {
	r.tenures[p.Partition] = tenure{phase: PhaseActive, epoch: p.Epoch, inherited: in, activeSince: now}
}

// End ends the tenure of a partition.
func (r *Recoverer) End(p identifier.Partition) { r.tenures[p] = tenure{} }

// Stop stops an active partition for a handover, and Resume makes it active again
// under the given epoch.
func (r *Recoverer) Stop(p identifier.Partition) { r.tenures[p].phase = PhaseStopped }

// Resume makes a stopped partition active again under a new epoch.
func (r *Recoverer) Resume(now time.Time, p identifier.Partition, epoch uint64) {
	r.tenures[p].phase = PhaseActive
	r.tenures[p].epoch = epoch
	r.tenures[p].activeSince = now
}

// ActiveSince returns when an active partition became so; the zero time if nobody
// owned it before.
func (r *Recoverer) ActiveSince(p identifier.Partition) time.Time { return r.tenures[p].activeSince }

// Inheritance returns what is known of a partition's past.
func (r *Recoverer) Uncertainty(now time.Time, p identifier.Partition) Uncertainty {
	t := &r.tenures[p]
	in := t.inherited
	if k := t.takeover; k != nil && k.active {
		in.Before = latest(in.Before, k.pastBefore)
		in.RecordsIncomplete = in.RecordsIncomplete || !r.rules.RecordsComplete(len(k.missing))
	}
	if now.Sub(in.Before) > r.limits.Window {
		return Uncertainty{}
	}
	return in
}

// Past returns what may have become of an id that nobody reported.
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

// Tick applies the passing of time. It reports whether a partition became active.
func (r *Recoverer) Tick(now time.Time) bool {
	activated := false
	for _, t := range r.open {
		wasActive := t.active
		r.advance(now, t)
		activated = activated || t.active != wasActive
	}
	r.open = slices.DeleteFunc(r.open, func(t *takeover) bool { return r.done(now, t) })
	return activated
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
