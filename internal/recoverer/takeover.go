package recoverer

import (
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/registrar"
)

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

// BeginTakeover starts the tenure of partitions whose former owner is gone. The
// roster is the one that the change of owner was conditional on.
func (r *Recoverer) BeginTakeover(now time.Time, partitions []messenger.PartitionEpoch, roster registrar.Roster) {
	if len(partitions) == 0 {
		return
	}
	t := &takeover{
		witnesses: [][]messenger.Peer{slices.Clone(roster.Witnesses)},
	}
	if len(roster.PreviousWitnesses) > 0 {
		t.witnesses = append(t.witnesses, slices.Clone(roster.PreviousWitnesses))
	}
	for _, m := range roster.Members {
		t.missing = append(t.missing, m.Peer)
	}
	for _, d := range roster.Departed {
		if d.Successor == "" { // The heir of another is a member or departed itself.
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

// SetDeclared replaces the agents that an operator has declared dead. No takeover
// waits for what they say.
func (r *Recoverer) SetDeclaredDead(agents []messenger.Peer) { r.declared = agents }

// Fencing returns the witnesses that a partition in phase fencing waits for: one
// of them at least must answer or be declared dead. It is nil in other phases.
func (r *Recoverer) UnfencedWitnesses(p identifier.Partition) []messenger.Peer {
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
func (r *Recoverer) AwaitsRecords(agent messenger.Peer) bool {
	return slices.ContainsFunc(r.open, func(t *takeover) bool {
		_, missing := slices.BinarySearch(t.missing, agent)
		_, unfenced := slices.BinarySearch(t.unfenced, agent)
		return missing || unfenced
	})
}

// Fenced applies an agent's answer to the epochs that it was sent together. An
// agent has answered for a takeover once one answer covers all its partitions.
func (r *Recoverer) Fenced(now time.Time, agent messenger.Peer, answer []messenger.Fenced) {
	if !r.AwaitsRecords(agent) {
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
	if t.fencedAt.IsZero() || !r.rules.WaitOver(now, t.fencedAt.Add(r.limits.LeaseDuration)) {
		return
	}
	t.active = true
	// Each of two clocks may be off: that of the caller who made the id against
	// the former owner's, and the former owner's against this entry's.
	t.pastBefore = now.Add(2 * r.limits.MaxClockSkew)
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
