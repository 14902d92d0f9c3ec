// Package budgeter implements a retry budget: it limits retries to a share of the work.
//
// A budget earns a fraction of a token with every unit of work and spends one for
// every retry. While it is empty, retries are delayed by a backoff that doubles with
// each attempt and has jitter, so that an outage does not end in a retry storm. The
// package does no I/O and draws its jitter from a seed.
package budgeter

import (
	"math/rand/v2"
	"time"
)

// Limits are the settings of a budget.
type Limits struct {
	// Ratio is the number of retries that one unit of work earns.
	Ratio float64
	// Burst is the maximum of tokens, and so the number of retries that a full budget
	// allows in succession.
	Burst float64
	// Backoff is the mean delay of the first attempt when the budget is empty. It doubles
	// with every attempt, up to MaxBackoff.
	Backoff    time.Duration
	MaxBackoff time.Duration
}

// Budgeter is the state of one budget.
type Budgeter struct {
	limits Limits
	tokens float64 // at most limits.Burst
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

// Earn adds the tokens for units of work.
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

// Backoff returns the delay before an attempt; attempts count from 0. The delay is
// uniformly distributed from half to one and a half times its mean.
func (b *Budgeter) Backoff(attempt int) time.Duration {
	mean := b.limits.Backoff << min(max(attempt, 0), 20)
	if mean > b.limits.MaxBackoff || mean <= 0 {
		mean = b.limits.MaxBackoff
	}
	return time.Duration(float64(mean) * (0.5 + b.random.Float64()))
}

// Totals returns the total units of work and the total retries.
func (b *Budgeter) Totals() (work, retries uint64) { return b.earned, b.spent }
