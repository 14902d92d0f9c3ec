// Package reclaimer bounds the garbage that a process keeps in memory.
//
// Go's collector lets garbage grow to a share of what is live, 100% by default. A
// process that does little makes no garbage worth that memory, while a process
// under load needs it so that it does not collect without end. A [Reclaimer] sets
// the share by the rate of allocation: the garbage of a fixed time may be kept, up
// to the default share. It raises the share at once and lowers it in steps, so that
// bursts do not begin with a small one again and again. Once a burst has ended, memory
// that nothing uses goes back to the system.
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
	checkInterval = 250 * time.Millisecond
	// keepFor is the time whose garbage is kept: there are four collections a second
	// at most while the share is below the default. The value is chosen.
	garbagePeriod = 250 * time.Millisecond
	// minPercent and maxPercent bound the share of garbage. The upper one is Go's
	// default, the lower one is chosen.
	minPercent = 20
	maxPercent = 100
	// minGarbage is what may be kept in any case, in bytes: a small process would
	// collect often otherwise. The value is chosen.
	minGarbage = 2 << 20
	// step is by how much each check lowers the share, and the least change.
	step = 5
)

// Usage is what a process has allocated.
type Usage struct {
	Allocated uint64 // Allocated counts the bytes since the process began.
	Live      uint64 // Live is what the latest collection found in use, and what it scanned besides.
}

// Reclaimer sets the share of garbage of one process.
type Reclaimer struct {
	percent    int
	previous   Usage
	previousAt time.Time // at is when before was read; zero if it was not yet.
	// settled means that the share is what the latest check wanted, to within a step.
	atTarget bool
	released bool // released means that memory was given back since the latest burst.
	// Usage, SetPercent and Release are the seams to the runtime.
	Usage      func() Usage
	SetPercent func(percent int)
	Release    func() // Release gives unused memory back.
}

// New returns a reclaimer of this process.
func New() *Reclaimer {
	return &Reclaimer{
		percent:    maxPercent,
		Usage:      readUsage,
		SetPercent: func(percent int) { debug.SetGCPercent(percent) },
		Release:    debug.FreeOSMemory,
	}
}

// Subscribe makes the reclaimer check at each period, unless the environment sets
// the collector (GOGC or GOMEMLIMIT): whoever sets it has decided.
func (r *Reclaimer) Subscribe(timers *timer.Service) {
	if os.Getenv("GOGC") != "" || os.Getenv("GOMEMLIMIT") != "" {
		return
	}
	timers.Subscribe(checkInterval, r.Check)
}

// Check reads the usage and sets the share if it differs enough.
func (r *Reclaimer) Check(now time.Time) {
	usage, before, since := r.Usage(), r.previous, now.Sub(r.previousAt)
	first := r.previousAt.IsZero()
	r.previous, r.previousAt = usage, now
	if first || since <= 0 {
		return
	}
	garbage := float64(usage.Allocated-before.Allocated) * garbagePeriod.Seconds() / since.Seconds()
	r.adjust(targetPercent(garbage, usage.Live))
	r.releaseWhenIdle(garbage <= minGarbage)
}

// steer raises the share to the wanted one at once and lowers it by a step.
func (r *Reclaimer) adjust(wanted int) {
	percent := max(wanted, r.percent-step)
	r.atTarget = percent < r.percent+step && percent > r.percent-step
	if r.atTarget {
		return
	}
	r.percent = percent
	r.SetPercent(percent)
}

// rest gives unused memory back once a burst has ended and the share has settled.
func (r *Reclaimer) releaseWhenIdle(idle bool) {
	if !idle {
		r.released = false
		return
	}
	if r.atTarget && !r.released {
		r.released = true
		r.Release()
	}
}

// share returns the percentage of what is live that holds the garbage.
func targetPercent(garbage float64, live uint64) int {
	if live == 0 {
		return maxPercent
	}
	return int(min(max(100*max(garbage, minGarbage)/float64(live), minPercent), maxPercent))
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
