// Package reclaimer bounds the garbage that a process keeps in memory.
//
// Go's collector lets garbage grow to a share of what is live, 100% by default. A
// process that does little makes no garbage worth that memory, while a process
// under load needs it so that it does not collect without end. A [Reclaimer] sets
// the share by the rate of allocation: the garbage of a fixed time may be kept, up
// to the default share. It raises the share at once and lowers it in steps, so that
// bursts do not begin with a small one again and again.
package reclaimer

import (
	"os"
	"runtime/debug"
	"runtime/metrics"
	"time"

	"sardinelock.dev/sardinelock/internal/timer"
)

const (
	// checkEvery is the period at which the rate is looked at.
	checkEvery = 250 * time.Millisecond
	// keepFor is the time whose garbage is kept: there are four collections a second
	// at most while the share is below the default. The value is chosen.
	keepFor = 250 * time.Millisecond
	// minPercent and maxPercent bound the share of garbage. The upper one is Go's
	// default, the lower one is chosen.
	minPercent = 20
	maxPercent = 100
	// lowerBy is the step of each check while less would do.
	lowerBy = 5
)

// Usage is what a process has allocated.
type Usage struct {
	Allocated uint64 // Allocated counts the bytes since the process began.
	Live      uint64 // Live is what the latest collection found in use, and what it scanned besides.
}

// Reclaimer sets the share of garbage of one process.
type Reclaimer struct {
	percent int
	before  Usage
	at      time.Time // at is when before was read; zero if it was not yet.
	// Usage and SetPercent are the seams to the runtime.
	Usage      func() Usage
	SetPercent func(percent int)
}

// New returns a reclaimer of this process.
func New() *Reclaimer {
	return &Reclaimer{
		percent:    maxPercent,
		Usage:      readUsage,
		SetPercent: func(percent int) { debug.SetGCPercent(percent) },
	}
}

// Subscribe makes the reclaimer check at each period, unless the environment sets
// the collector (GOGC or GOMEMLIMIT): whoever sets it has decided.
func (r *Reclaimer) Subscribe(timers *timer.Service) {
	if os.Getenv("GOGC") != "" || os.Getenv("GOMEMLIMIT") != "" {
		return
	}
	timers.Subscribe(checkEvery, r.Check)
}

// Check reads the usage and sets the share if it differs.
func (r *Reclaimer) Check(now time.Time) {
	usage, before, since := r.Usage(), r.before, now.Sub(r.at)
	first := r.at.IsZero()
	r.before, r.at = usage, now
	if first || since <= 0 {
		return
	}
	percent := share(usage.Allocated-before.Allocated, since, usage.Live)
	percent = max(percent, r.percent-lowerBy)
	if percent != r.percent {
		r.percent = percent
		r.SetPercent(percent)
	}
}

// share returns the percentage of what is live that holds the garbage of keepFor.
func share(allocated uint64, since time.Duration, live uint64) int {
	if live == 0 {
		return maxPercent
	}
	garbage := float64(allocated) * keepFor.Seconds() / since.Seconds()
	return int(min(max(100*garbage/float64(live), minPercent), maxPercent))
}

// readUsage reads the usage from the runtime.
func readUsage() Usage {
	samples := []metrics.Sample{
		{Name: "/gc/heap/allocs:bytes"},
		{Name: "/gc/heap/live:bytes"},
		{Name: "/gc/scan/stack:bytes"},
		{Name: "/gc/scan/globals:bytes"},
	}
	metrics.Read(samples)
	u := Usage{Allocated: samples[0].Value.Uint64()}
	for _, s := range samples[1:] {
		u.Live += s.Value.Uint64()
	}
	return u
}
