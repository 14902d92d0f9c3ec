package enroller

import (
	"slices"

	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/registrar"
)

// Bequeath returns the roster that follows when an agent leaves whose records
// another member has, and false if one of the two is no member.
func TransferRecords(current registrar.Roster, agent, successor messenger.Peer) (registrar.Roster, bool) {
	i, ok := slices.BinarySearchFunc(current.Members, agent, compareMember)
	if !ok || agent == successor || !current.HasMember(successor) {
		return current, false
	}
	next := current
	next.Version++
	next.Members = slices.Delete(slices.Clone(current.Members), i, i+1)
	next.Departed = append(slices.Clone(current.Departed),
		registrar.Departed{Peer: agent, Version: next.Version, Successor: successor})
	return next, true
}
