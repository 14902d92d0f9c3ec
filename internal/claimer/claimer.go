// Package claimer decides which entry should own which partition.
//
// Every entry computes the same wanted owner of a partition from the set of live
// entries, by rendezvous hashing, so that a change of the set moves few
// partitions. An entry claims those partitions that it should own and whose owner
// is gone, and hands over those that another entry should own. Views may differ
// for a while; the conditional write of the partition's row decides.
package claimer

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
)

// Home returns the region that a partition belongs to. The list of regions is the
// same in the settings of every process and does not change.
func HomeRegion(p identifier.Partition, regions []string) string {
	if len(regions) == 0 {
		return ""
	}
	return regions[int(p)%len(regions)]
}

// Want returns the entry among the live ones that should own the partition, or
// "" if there is none. The order of the live entries does not matter.
func PreferredOwner(p identifier.Partition, live []messenger.Peer) messenger.Peer {
	var best messenger.Peer
	var bestScore uint64
	for _, peer := range live {
		score := score(p, peer)
		if best == "" || score > bestScore || (score == bestScore && peer < best) {
			best, bestScore = peer, score
		}
	}
	return best
}

// Wanted remembers the wanted owners of the latest set of live entries. The zero
// value is ready.
type PreferredOwners struct {
	live   []messenger.Peer
	owners [identifier.Partitions]messenger.Peer
}

// Owner returns [Want] of the partition. The live entries must be sorted.
func (w *PreferredOwners) Owner(p identifier.Partition, live []messenger.Peer) messenger.Peer {
	if !slices.Equal(w.live, live) {
		w.live = slices.Clone(live)
		for p := range identifier.Partition(identifier.Partitions) {
			w.owners[p] = PreferredOwner(p, live)
		}
	}
	return w.owners[p]
}

func score(p identifier.Partition, peer messenger.Peer) uint64 {
	var d xxhash.Digest
	d.Reset()
	// A digest's writes never fail.
	_, _ = d.WriteString(string(peer))
	_, _ = d.Write([]byte{byte(p >> 8), byte(p)})
	return d.Sum64()
}
