package replayer

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// The least ratios of the earned value to that of the ideal scheduler that users require.
const (
	minCalmShare  = 0.95
	minFaultShare = 0.85
)

func loadPattern(t *testing.T, path string) Pattern {
	t.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	p, err := ParsePattern(text)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// forEachPattern runs a parallel subtest for each pattern that a glob matches.
func forEachPattern(t *testing.T, glob string, check func(t *testing.T, name string, p Pattern)) {
	t.Helper()
	paths, err := filepath.Glob(glob)
	if err != nil || len(paths) == 0 {
		t.Fatalf("no patterns: %v", err)
	}
	for _, path := range paths {
		name := strings.TrimSuffix(filepath.Base(path), ".yaml")
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			check(t, name, loadPattern(t, path))
		})
	}
}

// TestPatterns simulates each pattern in testdata and checks that no guarantee is violated
// and that the earned value is close to that of the ideal scheduler.
func TestPatterns(t *testing.T) {
	t.Parallel()
	forEachPattern(t, "testdata/*.yaml", func(t *testing.T, name string, p Pattern) {
		const seed = 1
		r, best := Play(p, seed), PlayIdeal(p, seed)
		if diff := cmp.Diff([]string(nil), r.Violations); diff != "" {
			t.Errorf("violated guarantees (-want +got):\n%s", diff)
		}
		if strings.HasPrefix(name, "evacuate-") && r.Unanswered > 0 {
			t.Errorf("%d jobs have no answer", r.Unanswered)
		}
		ratio := r.EarnedRatio() / best.EarnedRatio()
		t.Logf(name+": worth %.3f, ideal %.3f, share %.3f, worst window %.3f of %.3f; %d jobs, %d in time, %d late, %d rejected, %d given up, %d failed, %d starts",
			r.EarnedRatio(), best.EarnedRatio(), ratio, r.LowestWindowRatio(), best.LowestWindowRatio(), r.Jobs, r.InTime, r.Late, r.Rejected, r.GivenUp, r.Failed, r.Starts)
		bound := minFaultShare
		if name == "calm" {
			bound = minCalmShare
		}
		if ratio < bound {
			t.Errorf("the value relative to the ideal is %.3f, below %.2f", ratio, bound)
		}
	})
}

// TestDeterministic checks that a simulation depends only on its pattern and seed.
func TestDeterministic(t *testing.T) {
	t.Parallel()
	p := loadPattern(t, "testdata/burst-and-hang.yaml")
	if diff := cmp.Diff(Play(p, 7), Play(p, 7)); diff != "" {
		t.Errorf("two plays of one seed (-first +second):\n%s", diff)
	}
}
