package timer

import "time"

// Clock is the clock of one process. It reads the wall clock once, at its start, and
// adds the time that has passed on a monotonic clock. A step of the wall clock therefore
// changes no decision: an id that was rejected as too old does not become valid again
// after its record was deleted. An error of the wall clock at the start remains for the
// life of the process.
type Clock struct {
	Start   time.Time            // Start is the wall-clock time at which the clock began.
	Elapsed func() time.Duration // Elapsed returns the monotonic time since Start.
}

// NewClock returns a clock that starts now.
func NewClock() Clock {
	start := time.Now()
	return Clock{Start: start, Elapsed: func() time.Duration { return time.Since(start) }}
}

// Now returns the time on the clock.
func (c Clock) Now() time.Time { return c.Start.Add(c.Elapsed()) }

// OffsetOf returns how far a wall-clock time is ahead of this clock.
func (c Clock) OffsetOf(wall time.Time) time.Duration {
	// Round strips the monotonic readings, by which Sub would otherwise compare.
	return wall.Round(0).Sub(c.Now().Round(0))
}
