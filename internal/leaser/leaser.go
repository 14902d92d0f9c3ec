// Package leaser decides whether an entry may start tasks now.
//
// A few agents of the region are its witnesses. An entry holds its lease while a
// majority of them has answered it within the lease time and none has reported a
// higher epoch for its partitions. The time of an answer counts from when the
// question was sent, on the entry's own monotonic clock: an answer that waited in
// a buffer while the entry was paused proves nothing about now. A new owner waits
// until a majority of the same witnesses has acknowledged its epoch and the lease
// time has passed since, so some witness either told the old owner or was last
// heard by it a whole lease ago. No write renews a lease, so owners go on while
// the platform's services are down.
package leaser

import (
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
)

// Limits are the settings of a leaser.
type Limits struct {
	// Lease is how long an answer of a witness counts.
	LeaseDuration time.Duration
	// Margin is taken off the lease at the holder, for clocks that run at
	// different rates. A new owner waits for the whole lease.
	Margin time.Duration
}

// Rules has the checks that the safety of leases rests on. Tests replace them
// one at a time to show that each is needed.
type Rules struct {
	// Held reports whether a lease that ends at the given time is held.
	Held func(now, until time.Time) bool
	// Majority returns how many of n witnesses are needed; n is positive.
	Majority func(n int) int
}

// DefaultRules returns the rules of production.
func DefaultRules() Rules {
	return Rules{
		Held:     func(now, until time.Time) bool { return now.Before(until) },
		Majority: func(n int) int { return n/2 + 1 },
	}
}

// Leaser is the lease of one entry.
type Leaser struct {
	limits    Limits
	rules     Rules
	witnesses []messenger.Peer // witnesses is sorted; while it is empty no lease is held.
	confirmed map[messenger.Peer]time.Time
	asked     map[messenger.Peer]time.Time // asked has the time of the latest question to each witness.
	until     time.Time                    // until is the end of the lease as of the latest count.
	scratch   []time.Time
}

// New returns a leaser without witnesses.
func New(limits Limits, rules Rules) *Leaser {
	return &Leaser{
		limits:    limits,
		rules:     rules,
		confirmed: make(map[messenger.Peer]time.Time),
		asked:     make(map[messenger.Peer]time.Time),
	}
}

// SetWitnesses replaces the witnesses. The lease then rests on the new ones alone.
func (l *Leaser) SetWitnesses(witnesses []messenger.Peer) {
	if slices.Equal(l.witnesses, witnesses) {
		return
	}
	l.witnesses = slices.Clone(witnesses)
	l.until = time.Time{}
	l.count()
}

// Asked records that a question was sent to an agent.
func (l *Leaser) Asked(now time.Time, agent messenger.Peer) {
	if l.isWitness(agent) {
		l.asked[agent] = now
	}
}

// Confirmed records an answer of an agent to a question sent at the given time.
func (l *Leaser) Confirmed(agent messenger.Peer, sent time.Time) {
	if sent.After(l.confirmed[agent]) {
		l.confirmed[agent] = sent
	}
}

// Forget drops what is known of an agent that is gone.
func (l *Leaser) Forget(agent messenger.Peer) {
	delete(l.confirmed, agent)
	delete(l.asked, agent)
}

// Held reports whether the lease is held.
func (l *Leaser) Held(now time.Time) bool {
	if l.rules.Held(now, l.until) && now.Before(l.until.Add(-l.term()/2)) {
		return true
	}
	l.count()
	return l.rules.Held(now, l.until)
}

// Until returns the end of the lease as far as is known; it may be in the past.
func (l *Leaser) Until() time.Time {
	l.count()
	return l.until
}

// Due returns the witnesses to ask so that the lease goes on: those whose latest
// answer is older than a third of the lease and who were not asked since.
func (l *Leaser) Due(now time.Time) []messenger.Peer {
	var out []messenger.Peer
	third := l.limits.LeaseDuration / 3
	for _, w := range l.witnesses {
		if now.Sub(l.confirmed[w]) >= third && now.Sub(l.asked[w]) >= third {
			out = append(out, w)
		}
	}
	return out
}

func (l *Leaser) term() time.Duration { return l.limits.LeaseDuration - l.limits.Margin }

func (l *Leaser) isWitness(agent messenger.Peer) bool {
	_, ok := slices.BinarySearch(l.witnesses, agent)
	return ok
}

// count sets the end of the lease from the answer that completes a majority.
func (l *Leaser) count() {
	l.until = time.Time{}
	if len(l.witnesses) == 0 {
		return
	}
	l.scratch = l.scratch[:0]
	for _, w := range l.witnesses {
		l.scratch = append(l.scratch, l.confirmed[w])
	}
	slices.SortFunc(l.scratch, func(a, b time.Time) int { return b.Compare(a) })
	oldest := l.scratch[l.rules.Majority(len(l.witnesses))-1]
	if !oldest.IsZero() {
		l.until = oldest.Add(l.term())
	}
}
