// Package claimer decides which entry should own which partition.
//
// Every entry computes the preferred owner of a partition from the set of live
// entries by rendezvous hashing, so that a change of the set moves few partitions.
// An entry claims the partitions of which it is the preferred owner and whose owner
// is not live, and hands over the partitions that have another preferred owner.
// Entries may temporarily disagree about the set of live entries; the conditional
// write of the partition's row decides then.
package claimer

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
)

// HomeRegion returns the region that a partition belongs to. The list of regions must
// be the same in the settings of every process and must not change.
func HomeRegion(p identifier.Partition, regions []string) string {
	if len(regions) == 0 {
		return ""
	}
	return regions[int(p)%len(regions)]
}

// PreferredOwner returns the live entry that should own the partition, or "" if no
// entry is live. The order of the live entries does not matter.
func PreferredOwner(p identifier.Partition, live []messenger.Peer) messenger.Peer {
	var best messenger.Peer
	var bestScore uint64
	for _, peer := range live {
		score := ownerScore(p, peer)
		if best == "" || score > bestScore || (score == bestScore && peer < best) {
			best, bestScore = peer, score
		}
	}
	return best
}

// PreferredOwners caches the preferred owners for the latest set of live entries. The
// zero value is ready to use.
type PreferredOwners struct {
	cachedFor []messenger.Peer
	owners    [identifier.Partitions]messenger.Peer
}

// Owner returns [PreferredOwner] of the partition. The live entries must be sorted.
func (o *PreferredOwners) Owner(p identifier.Partition, live []messenger.Peer) messenger.Peer {
	if !slices.Equal(o.cachedFor, live) {
		o.cachedFor = slices.Clone(live)
		for p := range identifier.Partition(identifier.Partitions) {
			o.owners[p] = PreferredOwner(p, live)
		}
	}
	return o.owners[p]
}

func ownerScore(p identifier.Partition, peer messenger.Peer) uint64 {
	var d xxhash.Digest
	d.Reset()
	// Writes to an xxhash.Digest never fail.
	_, _ = d.WriteString(string(peer))
	_, _ = d.Write([]byte{byte(p >> 8), byte(p)})
	return d.Sum64()
}
