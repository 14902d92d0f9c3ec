// Package enroller decides how a region's roster of agents changes.
//
// The roster lists the member agents, which may be given tasks; the witnesses, which
// are the members that leases depend on; and the departed agents, whose records may
// still be needed. A new owner of a partition asks all of them which tasks they have
// started, so a departed agent is removed from the roster only when no entry can use
// it any more and the deduplication window has passed since. Witnesses change in two
// steps: the previous witnesses stay listed until every entry uses the new ones, and
// until then a new owner needs a majority of both sets.
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
	// UnreachableTimeout is how long a member may be unreachable before it is removed.
	UnreachableTimeout time.Duration
	// WitnessUnreachableTimeout is how long a witness may be unreachable before
	// another member replaces it.
	WitnessUnreachableTimeout time.Duration
	// Window is the deduplication window.
	Window time.Duration
	// Witnesses is the target number of witnesses. It must be odd.
	Witnesses int
}

// Input holds the state that Propose decides on.
type Input struct {
	Current registrar.RegionRoster
	// Connected are the agents of the region that are connected, sorted by name.
	Connected []registrar.Member
	// UnreachableFor returns how long a member that is not connected has been unreachable.
	UnreachableFor func(messenger.Peer) time.Duration
	// MinVersionInUse is the lowest roster version that any entry of the region uses.
	MinVersionInUse uint64
	// Now is the wall-clock time.
	Now time.Time
}

// Propose returns the roster that should replace the current one, and false if
// nothing has to change.
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
	changed = updateDeparted(&next, &limits, &in) || changed
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

// removeMembers moves members that have been unreachable for too long to the departed
// list. A witness stays a member until another agent has replaced it.
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

// updateDeparted sets the settling time of departed agents that no entry can use any
// more, and deletes those whose deduplication window has passed since then.
func updateDeparted(r *registrar.Roster, limits *Limits, in *Input) bool {
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
		// A takeover looks up witnesses in the departed list, so witnesses stay in it.
		return !d.SettledAt.IsZero() && in.Now.Sub(d.SettledAt) > limits.Window && !r.IsWitness(d.Peer)
	})
	return changed || len(r.Departed) != before
}

// changeWitnesses completes a change of witnesses that every entry has adopted, or
// begins a new one. Only one change is in progress at a time.
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

// chooseWitnesses keeps the reachable witnesses and adds connected members of the data
// centres with the fewest witnesses until the target number is reached. It keeps the
// current witnesses if no agent qualifies.
func chooseWitnesses(r *registrar.Roster, limits *Limits, in *Input) []messenger.Peer {
	var chosen []messenger.Peer
	for _, w := range r.Witnesses {
		if !r.IsRemoved(w) && (isConnected(in, w) || in.UnreachableFor(w) < limits.WitnessUnreachableTimeout) {
			chosen = append(chosen, w)
		}
	}
	var candidates []registrar.Member
	for _, m := range in.Connected {
		if !slices.Contains(chosen, m.Peer) && !r.IsRemoved(m.Peer) {
			candidates = append(candidates, m)
		}
	}
	for len(chosen) < limits.Witnesses && len(candidates) > 0 {
		i := fewestInDataCentre(r, chosen, candidates)
		chosen = append(chosen, candidates[i].Peer)
		candidates = slices.Delete(candidates, i, i+1)
	}
	if len(chosen) == 0 {
		return r.Witnesses
	}
	slices.Sort(chosen)
	return chosen
}

// fewestInDataCentre returns the index of the first candidate whose data centre has
// the fewest of the witnesses chosen so far.
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
