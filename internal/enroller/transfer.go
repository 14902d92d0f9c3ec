package enroller

import (
	"slices"

	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/registrar"
)

// TransferRecords returns the roster in which an agent that has transferred its
// records to a successor has departed. It returns the current roster and false if the
// agent or the successor is not a member, or if they are the same.
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
