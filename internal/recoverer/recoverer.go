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
	"sardinelock.dev/sardinelock/internal/registrar"
)

// Limits are the settings of a recoverer.
type Limits struct {
	// Lease is the lease time of owners.
	Lease time.Duration
	// ClockDifference is by how much the wall clocks of two processes may differ.
	ClockDifference time.Duration
	// Window is the deduplication window.
	Window time.Duration
}

// Rules has the checks that the safety of a takeover rests on. Tests replace
// them one at a time to show that each is needed.
type Rules struct {
	// Majority returns how many of n witnesses must have acknowledged an epoch.
	Majority func(n int) int
	// Waited reports whether the wait that ends at the given time is over.
	Waited func(now, end time.Time) bool
	// Complete reports whether every record is known while n agents have not answered.
	Complete func(n int) bool
}

// DefaultRules returns the rules of production.
func DefaultRules() Rules {
	return Rules{
		Majority: func(n int) int { return n/2 + 1 },
		Waited:   func(now, end time.Time) bool { return !now.Before(end) },
		Complete: func(n int) bool { return n == 0 },
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
type Past string

// The kinds of past of an id that no agent has reported.
const (
	PastNone    Past = "none"    // No former owner can have had the id.
	PastRefused Past = "refused" // The id did not run; a former owner may have said so.
	PastUnknown Past = "unknown" // The id may have run.
)

// Status is what operators see of a partition.
type Status struct {
	Phase Phase
	Epoch uint64
	// Missing are the agents whose records are not known, sorted.
	Missing []messenger.Peer
	// PastBefore is the end of the ids that have a past; zero if there are none.
	PastBefore time.Time
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
	inherited Inheritance
	// activeSince is when the partition became active; zero before, and for one
	// that nobody owned before.
	activeSince time.Time
}

// Inheritance is what an owner that hands a partition over knows of its past.
type Inheritance struct {
	// Before is the end of the ids that have a past; zero if there are none.
	Before time.Time
	// Incomplete means that some agent's records are not known.
	Incomplete bool
}

// takeover is a set of partitions that were gained together.
type takeover struct {
	witnesses [][]messenger.Peer // witnesses has one or two sets; a majority of each is needed.
	missing   []messenger.Peer   // missing has the agents whose records are not known, sorted.
	unfenced  []messenger.Peer   // unfenced has the witnesses that have not answered, sorted.
	fencedAt  time.Time          // fencedAt is when the majorities were complete; zero until then.
	active    bool
	// pastBefore is set when the takeover becomes active.
	pastBefore time.Time
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
	s.PastBefore = r.Inheritance(now, p).Before
	if t.takeover != nil {
		s.Missing = slices.Clone(t.takeover.missing)
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
func (r *Recoverer) BeginHandover(now time.Time, p messenger.PartitionEpoch, in Inheritance) {
	r.tenures[p.Partition] = tenure{phase: PhaseActive, epoch: p.Epoch, inherited: in, activeSince: now}
}

// BeginTakeover starts the tenure of partitions whose former owner is gone. The
// roster is the one that the change of owner was conditional on.
func (r *Recoverer) BeginTakeover(now time.Time, partitions []messenger.PartitionEpoch, roster registrar.Roster) {
	if len(partitions) == 0 {
		return
	}
	t := &takeover{
		witnesses: [][]messenger.Peer{slices.Clone(roster.Witnesses)},
	}
	if len(roster.Previous) > 0 {
		t.witnesses = append(t.witnesses, slices.Clone(roster.Previous))
	}
	for _, m := range roster.Members {
		t.missing = append(t.missing, m.Peer)
	}
	for _, d := range roster.Departed {
		if d.Heir == "" { // The heir of another is a member or departed itself.
			t.missing = append(t.missing, d.Peer)
		}
	}
	t.missing = sorted(t.missing)
	t.unfenced = sorted(slices.Concat(t.witnesses...))
	for _, p := range partitions {
		r.tenures[p.Partition] = tenure{phase: PhaseFencing, epoch: p.Epoch, takeover: t}
	}
	r.open = append(r.open, t)
	r.advance(now, t)
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
func (r *Recoverer) Inheritance(now time.Time, p identifier.Partition) Inheritance {
	t := &r.tenures[p]
	in := t.inherited
	if k := t.takeover; k != nil && k.active {
		in.Before = latest(in.Before, k.pastBefore)
		in.Incomplete = in.Incomplete || !r.rules.Complete(len(k.missing))
	}
	if now.Sub(in.Before) > r.limits.Window {
		return Inheritance{}
	}
	return in
}

// Past returns what may have become of an id that nobody reported.
func (r *Recoverer) Past(now time.Time, s identifier.Submission) Past {
	in := r.Inheritance(now, s.Partition())
	switch {
	case !s.Time().Before(in.Before):
		return PastNone
	case in.Incomplete:
		return PastUnknown
	}
	return PastRefused
}

// Fencing returns the witnesses that a partition in phase fencing waits for: one
// of them at least must answer or be declared dead. It is nil in other phases.
func (r *Recoverer) Fencing(p identifier.Partition) []messenger.Peer {
	t := &r.tenures[p]
	if t.phase != PhaseFencing || t.takeover == nil {
		return nil
	}
	var out []messenger.Peer
	for _, set := range t.takeover.witnesses {
		if r.answered(t.takeover, set) < r.rules.Majority(len(set)) {
			out = append(out, r.awaited(t.takeover, set)...)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Missing reports whether the records of an agent are awaited.
func (r *Recoverer) Missing(agent messenger.Peer) bool {
	return slices.ContainsFunc(r.open, func(t *takeover) bool {
		_, missing := slices.BinarySearch(t.missing, agent)
		_, unfenced := slices.BinarySearch(t.unfenced, agent)
		return missing || unfenced
	})
}

// Fenced applies an agent's answer to the epochs that it was sent together. An
// agent has answered for a takeover once one answer covers all its partitions.
func (r *Recoverer) Fenced(now time.Time, agent messenger.Peer, answer []messenger.Fenced) {
	if !r.Missing(agent) {
		return
	}
	var answered [identifier.Partitions]bool
	for i := range answer {
		answered[answer[i].Partition] = true
	}
	for _, t := range r.open {
		if !r.covers(t, &answered) {
			continue
		}
		t.missing = without(t.missing, agent)
		t.unfenced = without(t.unfenced, agent)
		r.advance(now, t)
	}
}

// covers reports whether every partition of the takeover is marked.
func (r *Recoverer) covers(t *takeover, marked *[identifier.Partitions]bool) bool {
	for p := range r.tenures {
		if r.tenures[p].takeover == t && !marked[p] {
			return false
		}
	}
	return true
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

// inUse reports whether a partition of the takeover is still owned.
func (r *Recoverer) inUse(t *takeover) bool {
	for p := range r.tenures {
		if r.tenures[p].takeover == t {
			return true
		}
	}
	return false
}

// advance moves a takeover to its next phase as far as it may go.
func (r *Recoverer) advance(now time.Time, t *takeover) {
	if t.active {
		return
	}
	if t.fencedAt.IsZero() && r.hasMajorities(t) {
		t.fencedAt = now
		r.setPhase(t, PhaseWaiting)
	}
	if t.fencedAt.IsZero() || !r.rules.Waited(now, t.fencedAt.Add(r.limits.Lease)) {
		return
	}
	t.active = true
	// Each of two clocks may be off: that of the caller who made the id against
	// the former owner's, and the former owner's against this entry's.
	t.pastBefore = now.Add(2 * r.limits.ClockDifference)
	r.setPhase(t, PhaseActive)
	for p := range r.tenures {
		if r.tenures[p].takeover == t {
			r.tenures[p].activeSince = now
		}
	}
}

func (r *Recoverer) setPhase(t *takeover, phase Phase) {
	for p := range r.tenures {
		if r.tenures[p].takeover == t {
			r.tenures[p].phase = phase
		}
	}
}

// SetDeclared replaces the agents that an operator has declared dead. No takeover
// waits for what they say.
func (r *Recoverer) SetDeclared(agents []messenger.Peer) { r.declared = agents }

// hasMajorities reports whether no former owner can have the lease much longer: of
// each set of witnesses a majority has answered, or all that are not declared dead.
// All of these and not most of them: a former owner then has a majority only if a
// majority of the whole set was declared dead and lives.
func (r *Recoverer) hasMajorities(t *takeover) bool {
	for _, set := range t.witnesses {
		// A region without witnesses never had an agent that could start anything.
		if len(set) > 0 && r.answered(t, set) < r.rules.Majority(len(set)) && len(r.awaited(t, set)) > 0 {
			return false
		}
	}
	return true
}

// answered returns how many witnesses of a set have acknowledged the epoch.
func (r *Recoverer) answered(t *takeover, set []messenger.Peer) int {
	n := 0
	for _, w := range set {
		if _, unfenced := slices.BinarySearch(t.unfenced, w); !unfenced {
			n++
		}
	}
	return n
}

// awaited returns the witnesses of a set that have not answered and are not
// declared dead.
func (r *Recoverer) awaited(t *takeover, set []messenger.Peer) []messenger.Peer {
	var out []messenger.Peer
	for _, w := range set {
		_, unfenced := slices.BinarySearch(t.unfenced, w)
		if _, dead := slices.BinarySearch(r.declared, w); unfenced && !dead {
			out = append(out, w)
		}
	}
	return out
}

// done reports whether nothing is left to wait for.
func (r *Recoverer) done(now time.Time, t *takeover) bool {
	if !r.inUse(t) {
		return true
	}
	return t.active && (len(t.missing) == 0 || now.Sub(t.pastBefore) > r.limits.Window)
}

// sorted returns the peers in order, each once.
func sorted(peers []messenger.Peer) []messenger.Peer {
	slices.Sort(peers)
	return slices.Compact(peers)
}

// without removes a peer from a sorted slice.
func without(peers []messenger.Peer, peer messenger.Peer) []messenger.Peer {
	i, ok := slices.BinarySearch(peers, peer)
	if !ok {
		return peers
	}
	return slices.Delete(peers, i, i+1)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
