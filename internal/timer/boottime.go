package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// NewBootTimeClock returns a clock that starts now and, unlike the monotonic clock, also
// counts the time in which the machine is suspended. A process that holds leases on
// behalf of others must notice that time.
func NewBootTimeClock() Clock {
	start := sinceBoot()
	return Clock{Start: time.Now(), Elapsed: func() time.Duration { return sinceBoot() - start }}
}

func sinceBoot() time.Duration {
	var ts unix.Timespec
	// The call fails only if the system has no such clock or the pointer is invalid.
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err)
	}
	return time.Duration(ts.Nano())
}
