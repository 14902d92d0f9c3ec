package enroller

import (
	"slices"

	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/registrar"
)

// Bequeath returns the roster that follows when an agent leaves whose records
// another member has, and false if one of the two is no member.
func Bequeath(current registrar.Roster, agent, heir messenger.Peer) (registrar.Roster, bool) {
	i, ok := slices.BinarySearchFunc(current.Members, agent, compareMember)
	if !ok || agent == heir || !current.HasMember(heir) {
		return current, false
	}
	next := current
	next.Version++
	next.Members = slices.Delete(slices.Clone(current.Members), i, i+1)
	next.Departed = append(slices.Clone(current.Departed),
		registrar.Departed{Peer: agent, Version: next.Version, Successor: heir})
	return next, true
}
