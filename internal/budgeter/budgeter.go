// Package budgeter keeps retries a bounded share of the work.
//
// A budget earns a fraction of a token with every unit of work and pays one for
// every retry. While it is empty, retries are put off by a back-off that doubles
// with each attempt and is jittered, so that an outage does not end in a storm.
// The package does no I/O and draws its jitter from a seed.
package budgeter

import (
	"math/rand/v2"
	"time"
)

// Limits are the settings of a budget.
type Limits struct {
	// Ratio is the number of retries that one unit of work earns.
	Ratio float64
	// Burst is the number of retries that an idle budget allows; it is also the
	// most that is saved up.
	Burst float64
	// Backoff is the mean pause before the first retry that is put off. It doubles
	// with every attempt up to MaxBackoff.
	Backoff    time.Duration
	MaxBackoff time.Duration
}

// Budgeter is the state of one budget.
type Budgeter struct {
	limits Limits
	tokens float64 // tokens is at most limits.Burst.
	random *rand.Rand
	earned uint64
	spent  uint64
}

// New returns a full budget.
func New(limits Limits, seed uint64) *Budgeter {
	return &Budgeter{
		limits: limits,
		tokens: limits.Burst,
		random: rand.New(rand.NewPCG(seed, seed)),
	}
}

// Earn adds units of work.
func (b *Budgeter) Earn(work int) {
	b.earned += uint64(work)
	b.tokens = min(b.limits.Burst, b.tokens+float64(work)*b.limits.Ratio)
}

// Spend takes a token for a retry and reports whether there was one.
func (b *Budgeter) Spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	b.spent++
	return true
}

// Pause returns how long to wait before the attempt of the given number, counted
// from 0. It is spread evenly over half to one and a half of its mean.
func (b *Budgeter) Backoff(attempt int) time.Duration {
	mean := b.limits.Backoff << min(max(attempt, 0), 20)
	if mean > b.limits.MaxBackoff || mean <= 0 {
		mean = b.limits.MaxBackoff
	}
	return time.Duration(float64(mean) * (0.5 + b.random.Float64()))
}

// Totals returns the units of work and the retries so far.
func (b *Budgeter) Totals() (work, retries uint64) { return b.earned, b.spent }
