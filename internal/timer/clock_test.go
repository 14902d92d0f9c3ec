package timer

import (
	"testing"
	"time"
)

// TestClock checks that the clock advances from its start by the elapsed time alone.
func TestClock(t *testing.T) {
	start := time.Date(2026, 5, 4, 3, 2, 1, 0, time.UTC)
	elapsed := time.Duration(0)
	c := Clock{Start: start, Elapsed: func() time.Duration { return elapsed }}
	for _, elapsed = range []time.Duration{0, time.Second, time.Hour} {
		if got, want := c.Now(), start.Add(elapsed); !got.Equal(want) {
			t.Errorf("after %s the clock is at %s, want %s", elapsed, got, want)
		}
		const step = -time.Minute
		if got := c.OffsetOf(start.Add(elapsed + step)); got != step {
			t.Errorf("the wall clock is %s ahead, want %s", got, step)
		}
	}
}
