package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// NewSteadyClock returns a clock that begins now and counts the time in which the
// machine was suspended as well, which the monotonic clock does not. A process that
// holds leases on others' behalf must notice that time.
func NewBootTimeClock() Clock {
	start := sinceBoot()
	return Clock{Start: time.Now(), Elapsed: func() time.Duration { return sinceBoot() - start }}
}

func sinceBoot() time.Duration {
	var ts unix.Timespec
	// The call fails only for a clock that the system does not have, or a bad pointer.
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err)
	}
	return time.Duration(ts.Nano())
}
