// Package reclaimer tunes the garbage collector to the allocation rate of a process.
//
// Go's collector lets garbage grow to a percentage of the live heap (GOGC), 100% by
// default. An idle process wastes that memory, while a process under load needs it to
// avoid constant collection. A [Reclaimer] sets the percentage by the allocation rate:
// the garbage of a fixed period may accumulate, up to the default percentage. It raises
// the percentage at once and lowers it in steps, so that repeated bursts do not each
// start with a low percentage. Once a burst has ended, unused memory is returned to
// the operating system.
package reclaimer

import (
	"os"
	"runtime/debug"
	"runtime/metrics"
	"time"

	"sardinelock.dev/sardinelock/internal/timer"
)

const (
	// checkInterval is the interval at which the allocation rate is checked.
	checkInterval = 250 * time.Millisecond
	// garbagePeriod is the period whose garbage may accumulate: there are at most four
	// collections per second while the percentage is below the default.
	garbagePeriod = 250 * time.Millisecond
	// minPercent and maxPercent bound the GC percentage. The upper bound is Go's default.
	minPercent = 20
	maxPercent = 100
	// minGarbage is the garbage that may always accumulate, in bytes; otherwise a small
	// process would collect often.
	minGarbage = 2 << 20
	// step is the most by which one check lowers the percentage, and its smallest change.
	step = 5
)

// Usage is the memory usage of a process, in bytes.
type Usage struct {
	Allocated uint64 // Allocated is the total allocated since the process started.
	Live      uint64 // Live is the live heap, stacks and globals at the latest collection.
}

// Reclaimer sets the GC percentage of one process.
type Reclaimer struct {
	percent    int
	previous   Usage
	previousAt time.Time // previousAt is when previous was read; zero before the first check.
	// atTarget is set if the percentage is within a step of the latest target.
	atTarget bool
	released bool // released is set once memory was released after the latest burst.
	// Usage, SetPercent and Release call the runtime; tests replace them.
	Usage      func() Usage
	SetPercent func(percent int)
	Release    func() // Release returns unused memory to the operating system.
}

// New returns a reclaimer for this process.
func New() *Reclaimer {
	return &Reclaimer{
		percent:    maxPercent,
		Usage:      readUsage,
		SetPercent: func(percent int) { debug.SetGCPercent(percent) },
		Release:    debug.FreeOSMemory,
	}
}

// Subscribe makes the reclaimer check at each interval, unless the environment
// configures the collector (GOGC or GOMEMLIMIT).
func (r *Reclaimer) Subscribe(timers *timer.Service) {
	if os.Getenv("GOGC") != "" || os.Getenv("GOMEMLIMIT") != "" {
		return
	}
	timers.Subscribe(checkInterval, r.Check)
}

// Check reads the usage, adjusts the percentage and releases memory if due.
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

// adjust raises the percentage to the wanted one at once, or lowers it by a step.
func (r *Reclaimer) adjust(wanted int) {
	percent := max(wanted, r.percent-step)
	r.atTarget = percent < r.percent+step && percent > r.percent-step
	if r.atTarget {
		return
	}
	r.percent = percent
	r.SetPercent(percent)
}

// releaseWhenIdle releases unused memory once a burst has ended and the percentage has
// reached its target.
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

// targetPercent returns the GC percentage that allows the given garbage, within its
// bounds.
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
