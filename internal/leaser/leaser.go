// Package leaser decides whether an entry holds the lease that it needs to start
// tasks.
//
// A few agents of the region are its witnesses. An entry holds its lease while a
// majority of them has answered its requests within the lease duration and none has
// reported a higher epoch for its partitions. An answer counts from the time at
// which its request was sent, on the entry's own monotonic clock: an answer that
// waited in a buffer while the entry was paused proves nothing about the present.
//
// A new owner waits until a majority of the same witnesses has acknowledged its
// epoch and a lease duration has passed since. Any two majorities share a witness.
// That witness has either reported the new epoch to the former owner, or its last
// confirmation there is older than the lease duration. A renewal writes nothing to
// the platform's table, so owners continue while the platform's services are down.
package leaser

import (
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
)

// Limits are the settings of a leaser.
type Limits struct {
	// LeaseDuration is how long an answer of a witness is valid.
	LeaseDuration time.Duration
	// Margin is subtracted from the lease duration at the holder, because clocks run
	// at different rates. A new owner waits for the whole lease duration.
	Margin time.Duration
}

// Rules holds the checks that the safety of leases depends on. Tests replace them
// one at a time to show that each is needed.
type Rules struct {
	// Held reports whether a lease that expires at the given time is held.
	Held func(now, until time.Time) bool
	// Majority returns how many of n witnesses are needed; n is positive.
	Majority func(n int) int
}

// DefaultRules returns the rules used in production.
func DefaultRules() Rules {
	return Rules{
		Held:     func(now, until time.Time) bool { return now.Before(until) },
		Majority: func(n int) int { return n/2 + 1 },
	}
}

// Leaser is the lease of one entry.
type Leaser struct {
	limits      Limits
	rules       Rules
	witnesses   []messenger.Peer // witnesses is sorted; while it is empty no lease is held.
	confirmedAt map[messenger.Peer]time.Time
	// askedAt holds the time of the latest request to each witness.
	askedAt map[messenger.Peer]time.Time
	// expiresAt is the expiry of the lease as of the latest update; zero if there is no
	// majority.
	expiresAt time.Time
	scratch   []time.Time
}

// New returns a leaser without witnesses.
func New(limits Limits, rules Rules) *Leaser {
	return &Leaser{
		limits:      limits,
		rules:       rules,
		confirmedAt: make(map[messenger.Peer]time.Time),
		askedAt:     make(map[messenger.Peer]time.Time),
	}
}

// SetWitnesses replaces the witnesses. From then on only answers of the new witnesses
// count.
func (l *Leaser) SetWitnesses(witnesses []messenger.Peer) {
	if slices.Equal(l.witnesses, witnesses) {
		return
	}
	l.witnesses = slices.Clone(witnesses)
	l.expiresAt = time.Time{}
	l.updateExpiry()
}

// Asked records that a request was sent to an agent.
func (l *Leaser) Asked(now time.Time, agent messenger.Peer) {
	if l.isWitness(agent) {
		l.askedAt[agent] = now
	}
}

// Confirmed records an answer of an agent to a request sent at the given time.
func (l *Leaser) Confirmed(agent messenger.Peer, sent time.Time) {
	if sent.After(l.confirmedAt[agent]) {
		l.confirmedAt[agent] = sent
	}
}

// Forget deletes the state of an agent that has left.
func (l *Leaser) Forget(agent messenger.Peer) {
	delete(l.confirmedAt, agent)
	delete(l.askedAt, agent)
}

// Held reports whether the lease is held.
func (l *Leaser) Held(now time.Time) bool {
	if l.rules.Held(now, l.expiresAt) && now.Before(l.expiresAt.Add(-l.heldDuration()/2)) {
		return true
	}
	l.updateExpiry()
	return l.rules.Held(now, l.expiresAt)
}

// Until returns the expiry of the lease, which may be in the past. It is zero if no
// majority of the witnesses has answered.
func (l *Leaser) Until() time.Time {
	l.updateExpiry()
	return l.expiresAt
}

// Due returns the witnesses to ask for a renewal of the lease. Both the latest
// confirmation of such a witness and the latest request to it are at least a third of
// the lease duration old.
func (l *Leaser) Due(now time.Time) []messenger.Peer {
	var out []messenger.Peer
	third := l.limits.LeaseDuration / 3
	for _, w := range l.witnesses {
		if now.Sub(l.confirmedAt[w]) >= third && now.Sub(l.askedAt[w]) >= third {
			out = append(out, w)
		}
	}
	return out
}

func (l *Leaser) heldDuration() time.Duration { return l.limits.LeaseDuration - l.limits.Margin }

func (l *Leaser) isWitness(agent messenger.Peer) bool {
	_, ok := slices.BinarySearch(l.witnesses, agent)
	return ok
}

// updateExpiry sets the expiry of the lease from the oldest confirmation among the
// majority with the latest confirmations.
func (l *Leaser) updateExpiry() {
	l.expiresAt = time.Time{}
	if len(l.witnesses) == 0 {
		return
	}
	l.scratch = l.scratch[:0]
	for _, w := range l.witnesses {
		l.scratch = append(l.scratch, l.confirmedAt[w])
	}
	slices.SortFunc(l.scratch, func(a, b time.Time) int { return b.Compare(a) })
	oldest := l.scratch[l.rules.Majority(len(l.witnesses))-1]
	if !oldest.IsZero() {
		l.expiresAt = oldest.Add(l.heldDuration())
	}
}
