// Package enroller decides how a region's roster of agents changes.
//
// The roster has the agents that tasks may be given to, the witnesses among them
// that leases rest on, and the agents that left and whose records may still
// matter. A new owner of a partition asks all of them what they have started, so
// an agent leaves the roster's memory only when no entry can still use it and the
// deduplication window has passed since. Witnesses change in two steps: the former
// ones stay named until every entry relies on the new ones, and until then a new
// owner needs a majority of both.
package enroller

import (
	"cmp"
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/registrar"
)

// Limits are the settings of an enroller.
type Limits struct {
	// GoneAfter is how long a member may be out of reach before it leaves.
	UnreachableTimeout time.Duration
	// WitnessGoneAfter is how long a witness may be out of reach before another
	// member takes its place.
	WitnessUnreachableTimeout time.Duration
	// Window is the deduplication window.
	Window time.Duration
	// Witnesses is the number of witnesses wanted; it is odd.
	Witnesses int
}

// Input is what a decision rests on.
type Input struct {
	Current registrar.RegionRoster
	// Connected are the agents of the region that are connected, sorted by name.
	Connected []registrar.Member
	// GoneFor returns how long a member that is not connected has been out of reach.
	UnreachableFor func(messenger.Peer) time.Duration
	// Adopted is the lowest roster version that any entry of the region relies on.
	MinVersionInUse uint64
	// Now is the wall-clock time.
	Now time.Time
}

// Propose returns the roster that should replace the current one, and false if
// the current one is right.
func Propose(limits Limits, in Input) (registrar.Roster, bool) {
	next := registrar.Roster{
		Version:           in.Current.Version + 1,
		Members:           slices.Clone(in.Current.Members),
		Departed:          slices.Clone(in.Current.Departed),
		Witnesses:         slices.Clone(in.Current.Witnesses),
		PreviousWitnesses: in.Current.PreviousWitnesses,
		WitnessVersion:    in.Current.WitnessVersion,
	}
	changed := addMembers(&next, in.Connected)
	changed = removeMembers(&next, &limits, &in) || changed
	changed = settleDeparted(&next, &limits, &in) || changed
	changed = changeWitnesses(&next, &limits, &in) || changed
	return next, changed
}

func addMembers(r *registrar.Roster, connected []registrar.Member) bool {
	changed := false
	for _, m := range connected {
		i, ok := slices.BinarySearchFunc(r.Members, m.Peer, compareMember)
		if ok || r.IsRemoved(m.Peer) {
			continue
		}
		r.Members = slices.Insert(r.Members, i, m)
		r.Departed = slices.DeleteFunc(r.Departed, func(d registrar.Departed) bool { return d.Peer == m.Peer })
		changed = true
	}
	return changed
}

// removeMembers moves members that are gone to the departed. A witness stays
// until another has taken its place.
func removeMembers(r *registrar.Roster, limits *Limits, in *Input) bool {
	before := len(r.Members)
	r.Members = slices.DeleteFunc(r.Members, func(m registrar.Member) bool {
		if isConnected(in, m.Peer) || r.IsWitness(m.Peer) || in.UnreachableFor(m.Peer) < limits.UnreachableTimeout {
			return false
		}
		r.Departed = append(r.Departed, registrar.Departed{Peer: m.Peer, Version: r.Version})
		return true
	})
	return len(r.Members) != before
}

// settleDeparted notes which departed agents no entry can use any more, and
// forgets those of which the window has passed since.
func settleDeparted(r *registrar.Roster, limits *Limits, in *Input) bool {
	changed := false
	for i := range r.Departed {
		d := &r.Departed[i]
		if d.SettledAt.IsZero() && in.MinVersionInUse >= d.Version {
			d.SettledAt = in.Now
			changed = true
		}
	}
	before := len(r.Departed)
	r.Departed = slices.DeleteFunc(r.Departed, func(d registrar.Departed) bool {
		// What a takeover counts a witness by is here, so that a witness stays.
		return !d.SettledAt.IsZero() && in.Now.Sub(d.SettledAt) > limits.Window && !r.IsWitness(d.Peer)
	})
	return changed || len(r.Departed) != before
}

// changeWitnesses ends a change of witnesses that every entry has adopted, or
// begins one. A change is not begun while another is under way.
func changeWitnesses(r *registrar.Roster, limits *Limits, in *Input) bool {
	if len(r.PreviousWitnesses) > 0 {
		if in.MinVersionInUse < r.WitnessVersion {
			return false
		}
		r.PreviousWitnesses = nil
		return true
	}
	wanted := chooseWitnesses(r, limits, in)
	if slices.Equal(wanted, r.Witnesses) {
		return false
	}
	r.PreviousWitnesses = r.Witnesses
	r.Witnesses = wanted
	r.WitnessVersion = r.Version
	return true
}

// chooseWitnesses keeps the witnesses that can be reached and fills up with
// members of the data centres that have the fewest.
func chooseWitnesses(r *registrar.Roster, limits *Limits, in *Input) []messenger.Peer {
	var out []messenger.Peer
	for _, w := range r.Witnesses {
		if !r.IsRemoved(w) && (isConnected(in, w) || in.UnreachableFor(w) < limits.WitnessUnreachableTimeout) {
			out = append(out, w)
		}
	}
	var candidates []registrar.Member
	for _, m := range in.Connected {
		if !slices.Contains(out, m.Peer) && !r.IsRemoved(m.Peer) {
			candidates = append(candidates, m)
		}
	}
	for len(out) < limits.Witnesses && len(candidates) > 0 {
		i := fewestInDataCentre(r, out, candidates)
		out = append(out, candidates[i].Peer)
		candidates = slices.Delete(candidates, i, i+1)
	}
	if len(out) == 0 {
		return r.Witnesses
	}
	slices.Sort(out)
	return out
}

// fewestInDataCentre returns the candidate whose data centre has the fewest of
// the witnesses chosen so far; the first one if several have.
func fewestInDataCentre(r *registrar.Roster, chosen []messenger.Peer, candidates []registrar.Member) int {
	count := func(m registrar.Member) int {
		n := 0
		for _, peer := range chosen {
			i, ok := slices.BinarySearchFunc(r.Members, peer, compareMember)
			if ok && r.Members[i].DataCentre == m.DataCentre {
				n++
			}
		}
		return n
	}
	best := 0
	for i := range candidates {
		if count(candidates[i]) < count(candidates[best]) {
			best = i
		}
	}
	return best
}

func isConnected(in *Input, peer messenger.Peer) bool {
	_, ok := slices.BinarySearchFunc(in.Connected, peer, compareMember)
	return ok
}

func compareMember(m registrar.Member, peer messenger.Peer) int {
	return cmp.Compare(m.Peer, peer)
}
