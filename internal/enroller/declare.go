package enroller

import (
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/registrar"
)

// Declare returns the roster after an operator has declared agents dead, and the
// agents that the roster does not list. If there are any of these, the returned
// roster must not be written.
//
// Agents that are declared dead stop being members and never become members again:
// each name belongs to one run of a process. They stay in the departed list, so that
// a takeover knows that their records are missing. They also stay in the witness
// sets, because former owners may rely on these sets; a takeover does not wait for
// them there.
func Declare(current registrar.Roster, dead []messenger.Peer, now time.Time) (next registrar.Roster, unknown []messenger.Peer) {
	next = current
	next.Version++
	next.Members = slices.Clone(current.Members)
	next.Departed = slices.Clone(current.Departed)
	for _, peer := range dead {
		if !declareDead(&next, peer, now) {
			unknown = append(unknown, peer)
		}
	}
	return next, unknown
}

// declareDead declares one agent dead. It returns false if the roster does not list it.
func declareDead(r *registrar.Roster, peer messenger.Peer, now time.Time) bool {
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
