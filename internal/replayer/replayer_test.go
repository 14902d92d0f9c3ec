package replayer

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// The shares of the ideal's worth that the users ask for.
const (
	calmShare  = 0.95
	faultShare = 0.85
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

// TestPatterns plays each pattern of the data files and checks the promises, and
// that what callers get is near what a single queue with full knowledge would give.
func TestPatterns(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.yaml")
	if err != nil || len(paths) == 0 {
		t.Fatalf("no patterns: %v", err)
	}
	for _, path := range paths {
		name := strings.TrimSuffix(filepath.Base(path), ".yaml")
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := loadPattern(t, path)
			const seed = 1
			r, best := Play(p, seed), PlayIdeal(p, seed)
			if diff := cmp.Diff([]string(nil), r.Violations); diff != "" {
				t.Errorf("broken promises (-want +got):\n%s", diff)
			}
			share := r.EarnedRatio() / best.EarnedRatio()
			t.Logf(name+": worth %.3f, ideal %.3f, share %.3f, worst window %.3f of %.3f; %d jobs, %d in time, %d late, %d rejected, %d given up, %d failed, %d starts",
				r.EarnedRatio(), best.EarnedRatio(), share, r.LowestWindowRatio(), best.LowestWindowRatio(), r.Jobs, r.InTime, r.Late, r.Rejected, r.GivenUp, r.Failed, r.Starts)
			bound := faultShare
			if name == "calm" {
				bound = calmShare
			}
			if share < bound {
				t.Errorf("the share of the ideal's worth is %.3f, below %.2f", share, bound)
			}
		})
	}
}

// TestRepeatable checks that a replay depends on nothing but its pattern and seed.
func TestRepeatable(t *testing.T) {
	p := loadPattern(t, "testdata/burst-and-hang.yaml")
	if diff := cmp.Diff(Play(p, 7), Play(p, 7)); diff != "" {
		t.Errorf("two plays of one seed (-first +second):\n%s", diff)
	}
}
