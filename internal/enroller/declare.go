package enroller

import (
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/registrar"
)

// Declare returns the roster that follows when an operator declares agents dead,
// and those of them that the roster does not know; if there are any, the roster is
// not to be written.
//
// The agents are members no more and are never again: their names are those of one
// run of a process. They stay among the departed, so that a takeover knows that
// their records are missing. They also stay in the sets of witnesses, since former
// owners may rely on these sets; a takeover does not wait for them there.
func Declare(current registrar.Roster, dead []messenger.Peer, now time.Time) (next registrar.Roster, unknown []messenger.Peer) {
	next = current
	next.Version++
	next.Members = slices.Clone(current.Members)
	next.Departed = slices.Clone(current.Departed)
	for _, peer := range dead {
		if !declare(&next, peer, now) {
			unknown = append(unknown, peer)
		}
	}
	return next, unknown
}

// declare declares one agent dead. It returns false if the roster does not know it.
func declare(r *registrar.Roster, peer messenger.Peer, now time.Time) bool {
	for i := range r.Departed {
		if d := &r.Departed[i]; d.Peer == peer {
			if d.DeclaredAt.IsZero() {
				d.DeclaredAt = now
			}
			return true
		}
	}
	i, ok := slices.BinarySearchFunc(r.Members, peer, compareMember)
	if !ok {
		return false
	}
	r.Members = slices.Delete(r.Members, i, i+1)
	r.Departed = append(r.Departed, registrar.Departed{Peer: peer, Version: r.Version, DeclaredAt: now})
	return true
}
