package recoverer

import (
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/registrar"
)

// takeover is the takeover of a set of partitions that the entry gained together.
type takeover struct {
	witnesses [][]messenger.Peer // witnesses holds one or two sets; a majority of each must answer.
	missing   []messenger.Peer   // missing holds the agents whose records are not known, sorted.
	unfenced  []messenger.Peer   // unfenced holds the witnesses that have not answered, sorted.
	fencedAt  time.Time          // fencedAt is when a majority of each set had answered; zero until then.
	active    bool
	// uncertainBefore is set when the takeover becomes active.
	uncertainBefore time.Time
}

// BeginTakeover starts the ownership of partitions whose former owner has failed
// or left without a handover. The roster is the one that the write of the new owner
// was conditional on.
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
		if d.Successor == "" { // A successor is itself a member or departed.
			t.missing = append(t.missing, d.Peer)
		}
	}
	t.missing = sorted(t.missing)
	t.unfenced = sorted(slices.Concat(t.witnesses...))
	for _, p := range partitions {
		r.terms[p.Partition] = ownershipTerm{phase: PhaseFencing, epoch: p.Epoch, takeover: t}
	}
	r.pending = append(r.pending, t)
	r.advance(now, t)
}

// SetDeclaredDead replaces the agents that an operator has declared dead. A takeover
// does not wait for their answers as witnesses.
func (r *Recoverer) SetDeclaredDead(agents []messenger.Peer) { r.declaredDead = agents }

// UnfencedWitnesses returns the witnesses that a partition in phase fencing waits
// for: at least one of them must answer or be declared dead. It is nil in other
// phases.
func (r *Recoverer) UnfencedWitnesses(p identifier.Partition) []messenger.Peer {
	t := &r.terms[p]
	if t.phase != PhaseFencing || t.takeover == nil {
		return nil
	}
	var out []messenger.Peer
	for _, set := range t.takeover.witnesses {
		if r.answeredCount(t.takeover, set) < r.rules.Majority(len(set)) {
			out = append(out, r.awaitedWitnesses(t.takeover, set)...)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// AwaitsRecords reports whether a takeover waits for an agent's records or for its
// answer as a witness.
func (r *Recoverer) AwaitsRecords(agent messenger.Peer) bool {
	return slices.ContainsFunc(r.pending, func(t *takeover) bool {
		_, missing := slices.BinarySearch(t.missing, agent)
		_, unfenced := slices.BinarySearch(t.unfenced, agent)
		return missing || unfenced
	})
}

// Fenced applies an agent's answer to a fence. The agent counts as having answered
// for a takeover once a single answer covers all partitions of the takeover.
func (r *Recoverer) Fenced(now time.Time, agent messenger.Peer, answer []messenger.Fenced) {
	if !r.AwaitsRecords(agent) {
		return
	}
	var answered [identifier.Partitions]bool
	for i := range answer {
		answered[answer[i].Partition] = true
	}
	for _, t := range r.pending {
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
	for p := range r.terms {
		if r.terms[p].takeover == t && !marked[p] {
			return false
		}
	}
	return true
}

// hasPartitions reports whether the entry still owns a partition of the takeover.
func (r *Recoverer) hasPartitions(t *takeover) bool {
	for p := range r.terms {
		if r.terms[p].takeover == t {
			return true
		}
	}
	return false
}

// advance moves a takeover through all phases whose conditions are met.
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
	// Twice the clock skew, because it adds up: the clock of the caller that made the
	// id may differ from the former owner's, and that one from this entry's.
	t.uncertainBefore = now.Add(2 * r.limits.MaxClockSkew)
	r.setPhase(t, PhaseActive)
	for p := range r.terms {
		if r.terms[p].takeover == t {
			r.terms[p].activeSince = now
		}
	}
}

func (r *Recoverer) setPhase(t *takeover, phase Phase) {
	for p := range r.terms {
		if r.terms[p].takeover == t {
			r.terms[p].phase = phase
		}
	}
}

// hasMajorities reports whether no former owner can renew its lease any more: in each
// set of witnesses, a majority has answered, or all that are not declared dead have.
// A majority of those not declared dead would not suffice. With all of them, a former
// owner has a majority only if a majority of the whole set was declared dead while
// alive.
func (r *Recoverer) hasMajorities(t *takeover) bool {
	for _, set := range t.witnesses {
		// A region without witnesses never had an agent that could start anything.
		if len(set) > 0 && r.answeredCount(t, set) < r.rules.Majority(len(set)) && len(r.awaitedWitnesses(t, set)) > 0 {
			return false
		}
	}
	return true
}

// answeredCount returns how many witnesses of a set have acknowledged the epoch.
func (r *Recoverer) answeredCount(t *takeover, set []messenger.Peer) int {
	n := 0
	for _, w := range set {
		if _, unfenced := slices.BinarySearch(t.unfenced, w); !unfenced {
			n++
		}
	}
	return n
}

// awaitedWitnesses returns the witnesses of a set that have not answered and are not
// declared dead.
func (r *Recoverer) awaitedWitnesses(t *takeover, set []messenger.Peer) []messenger.Peer {
	var out []messenger.Peer
	for _, w := range set {
		_, unfenced := slices.BinarySearch(t.unfenced, w)
		if _, dead := slices.BinarySearch(r.declaredDead, w); unfenced && !dead {
			out = append(out, w)
		}
	}
	return out
}

// isComplete reports whether the takeover waits for nothing more.
func (r *Recoverer) isComplete(now time.Time, t *takeover) bool {
	if !r.hasPartitions(t) {
		return true
	}
	return t.active && (len(t.missing) == 0 || now.Sub(t.uncertainBefore) > r.limits.Window)
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
