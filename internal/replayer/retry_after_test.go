package replayer

import (
	"slices"
	"testing"
	"time"
)

const (
	// minRetriedInTime is the least share of the callers that follow Retry-After whose job
	// must then be answered in time.
	minRetriedInTime = 0.85
	// maxSecondWave bounds the rejections in any two seconds after an overload, as a share of
	// those in its worst two seconds.
	maxSecondWave = 0.2
)

// TestRetryAfter checks that callers who follow Retry-After are answered in time, and that
// their retries do not cause a second wave of rejections.
func TestRetryAfter(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"burst-1.9", "overload-uneven"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := loadPattern(t, "testdata/"+name+".yaml")
			p.FollowRetryAfter = true
			r := Play(p, 1)
			t.Logf("%d rejected in all, %v by window; %d came back, %d served in time", r.Rejected, r.RejectedBy, r.Retried, r.RetriedInTime)
			if share := float64(r.RetriedInTime) / float64(r.Retried); share < minRetriedInTime {
				t.Errorf("%.3f of the callers that retried were answered in time, below %.2f", share, minRetriedInTime)
			}
			checkSecondWave(t, p, r)
		})
	}
}

func checkSecondWave(t *testing.T, p Pattern, r Result) {
	t.Helper()
	var end time.Duration
	for _, f := range p.Faults {
		if f.Kind == FaultBurst {
			end = max(end, f.At+f.Duration)
		}
	}
	worst := slices.Max(r.RejectedBy)
	for i := int(end/windowSize) + 1; i < len(r.RejectedBy); i++ {
		if float64(r.RejectedBy[i]) > maxSecondWave*float64(worst) {
			t.Errorf("%d rejections from second %d on, %d in the worst two", r.RejectedBy[i], 2*i, worst)
		}
	}
}

// TestNoRejectionDespiteCapacity checks that no job is rejected that healthy upstreams
// could have run in time.
func TestNoRejectionDespiteCapacity(t *testing.T) {
	t.Parallel()
	for _, name := range []string{"calm", "burst-1.3", "burst-1.9", "overload", "overload-uneven"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := Play(loadPattern(t, "testdata/"+name+".yaml"), 1)
			if r.RejectedDespiteCapacity > 0 {
				t.Errorf("%d of %d rejected jobs could have been served in time", r.RejectedDespiteCapacity, r.Rejected)
			}
		})
	}
}
