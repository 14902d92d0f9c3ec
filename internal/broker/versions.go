package broker

import (
	"maps"
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
)

// firstDelayDivisor gives the share of the request delay that applies to an entry without
// any catalogue, as a divisor: it cannot serve.
const firstDelayDivisor = 4

// maxDelayDoublings bounds the delay after requests that had no effect.
const maxDelayDoublings = 3

// versionTracker decides when an entry requests the catalogue from another entry. Every
// entry reads the platform's store itself, so a catalogue, which may be large, is passed on
// only to an entry that has waited for it.
type versionTracker struct {
	// delay is how long a newer version must be known before it is requested. Another entry
	// is asked after as long again, and later ones after longer times, since the answer may be
	// in transit on a slow link.
	delay time.Duration
	// peers holds the version in force at each connected entry.
	peers    map[messenger.Peer]uint64
	own      uint64    // own is the version in force when the wait began.
	since    time.Time // since is when the wait began; zero while no newer version is known.
	attempts int       // attempts counts the requests since the wait began.
}

func (v *versionTracker) heard(peer messenger.Peer, version uint64) {
	v.peers[peer] = max(v.peers[peer], version)
}

func (v *versionTracker) gone(peer messenger.Peer) { delete(v.peers, peer) }

// request returns the entry to ask and the version to ask for, or an empty peer if nothing
// is to be requested now.
func (v *versionTracker) request(now time.Time, own uint64) (messenger.Peer, uint64) {
	newest := own
	for _, version := range v.peers {
		newest = max(newest, version)
	}
	if newest == own {
		v.since = time.Time{}
		return "", 0
	}
	if v.since.IsZero() || own != v.own {
		v.own, v.since, v.attempts = own, now, 0
	}
	delay := v.delay << min(v.attempts, maxDelayDoublings)
	if own == 0 && v.attempts == 0 {
		delay /= firstDelayDivisor
	}
	if now.Sub(v.since) < delay {
		return "", 0
	}
	holders := slices.Sorted(maps.Keys(v.peers))
	holders = slices.DeleteFunc(holders, func(p messenger.Peer) bool { return v.peers[p] != newest })
	peer := holders[v.attempts%len(holders)]
	v.attempts++
	v.since = now
	return peer, newest
}
