package timer

import "time"

// Clock tells the time of one process. It reads the wall clock once and counts
// on from there by the monotonic clock, so that a step of the wall clock changes
// no decision: an id that was refused as too old does not become young again
// after its record was dropped. It is as far off as the wall clock was at the
// start, for the life of the process.
type Clock struct {
	Start   time.Time            // Start is the wall-clock time at which the clock began.
	Elapsed func() time.Duration // Elapsed returns the monotonic time since Start.
}

// NewClock returns a clock that begins now.
func NewClock() Clock {
	start := time.Now()
	return Clock{Start: start, Elapsed: func() time.Duration { return time.Since(start) }}
}

// Now returns the time on the clock.
func (c Clock) Now() time.Time { return c.Start.Add(c.Elapsed()) }

// Ahead returns how far the wall clock is ahead of this clock.
func (c Clock) OffsetOf(wall time.Time) time.Duration {
	// Without monotonic readings the wall-clock times are compared.
	return wall.Round(0).Sub(c.Now().Round(0))
}
