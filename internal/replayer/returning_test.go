package replayer

import (
	"slices"
	"testing"
	"time"
)

const (
	// servedShare is the least share of the callers that come back when they are told to
	// who are served in time then.
	servedShare = 0.85
	// secondWave is the most rejections in two seconds after an overload, as a share of
	// those in its worst two seconds.
	secondWave = 0.2
)

// TestRetryAfter checks that callers who follow Retry-After are served, and that they do
// not come back as a second wave.
func TestRetryAfter(t *testing.T) {
	for _, name := range []string{"burst-1.9", "overload-uneven"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := loadPattern(t, "testdata/"+name+".yaml")
			p.FollowRetryAfter = true
			r := Play(p, 1)
			t.Logf("%d rejected in all, %v by window; %d came back, %d served in time", r.Rejected, r.RejectedBy, r.Retried, r.RetriedInTime)
			if share := float64(r.RetriedInTime) / float64(r.Retried); share < servedShare {
				t.Errorf("%.3f of those who came back were served in time, below %.2f", share, servedShare)
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
		if float64(r.RejectedBy[i]) > secondWave*float64(worst) {
			t.Errorf("%d rejections from second %d on, %d in the worst two", r.RejectedBy[i], 2*i, worst)
		}
	}
}

// TestNoneRejectedInVain checks that jobs are rejected only where none could be served.
func TestNoneRejectedInVain(t *testing.T) {
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
