package reclaimer

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestPercentFollowsRate simulates a process that is idle, busy and idle again: the
// percentage rises at the first check under load and falls in steps.
func TestPercentFollowsRate(t *testing.T) {
	const live = 20 << 20
	now := time.Unix(1, 0)
	usage := Usage{Live: live}
	var done []int // done has the percentages that were set, and 0 for a release.
	r := New()
	r.Usage = func() Usage { return usage }
	r.SetPercent = func(percent int) { done = append(done, percent) }
	r.Release = func() { done = append(done, 0) }
	r.Check(now)
	check := func(times int, bytesPerSecond uint64) {
		for range times {
			now = now.Add(time.Second)
			usage.Allocated += bytesPerSecond
			r.Check(now)
		}
	}
	check(20, live/100)
	check(3, 2*live)
	check(9, live/100)
	check(2, 100*live)
	want := []int{95, 90, 85, 80, 75, 70, 65, 60, 55, 50, 45, 40, 35, 30, 25, 20, 0, 50, 45, 40, 35, 30, 25, 20, 0, 100}
	if diff := cmp.Diff(want, done); diff != "" {
		t.Errorf("percentages and releases (-want +got):\n%s", diff)
	}
	usage.Live = 4 << 20
	check(40, 0)
	if got := r.percent; got != 50 {
		t.Errorf("a small idle process has a GC percentage of %d, want 50, which is 2 MiB", got)
	}
}

// TestReadUsage checks that the runtime has the metrics: reading a removed one panics,
// because its value is not a number.
func TestReadUsage(t *testing.T) {
	if u := readUsage(); u.Allocated == 0 {
		t.Error("nothing was allocated")
	}
}
