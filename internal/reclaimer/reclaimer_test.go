package reclaimer

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestShareFollowsRate lets a process rest, work and rest again: the share rises at
// the first check under load and falls in steps.
func TestShareFollowsRate(t *testing.T) {
	const live = 10 << 20
	now := time.Unix(1, 0)
	usage := Usage{Live: live}
	var set []int
	r := New()
	r.Usage = func() Usage { return usage }
	r.SetPercent = func(percent int) { set = append(set, percent) }
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
	check(3, live/100)
	check(2, 100*live)
	want := []int{95, 90, 85, 80, 75, 70, 65, 60, 55, 50, 45, 40, 35, 30, 25, 20, 50, 45, 40, 35, 100}
	if diff := cmp.Diff(want, set); diff != "" {
		t.Errorf("shares (-want +got):\n%s", diff)
	}
}

// TestReadUsage checks that the runtime still has the metrics: one that is gone
// reads as no number and panics.
func TestReadUsage(t *testing.T) {
	if u := readUsage(); u.Allocated == 0 {
		t.Error("nothing was allocated")
	}
}
