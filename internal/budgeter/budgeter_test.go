package budgeter

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"sardinelock.dev/sardinelock/internal/seeder"
)

// TestMain fixes the seed of the random tests.
func TestMain(m *testing.M) { seeder.Main(m) }

// TestRetriesStayBounded checks that retries never exceed the burst plus the ratio of the
// work, and that the backoff stays within its jitter.
func TestRetriesStayBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limits := Limits{Ratio: 0.1, Burst: 5, Backoff: 10 * time.Millisecond, MaxBackoff: time.Second}
		b := New(limits, rapid.Uint64().Draw(rt, "seed"))
		for range rapid.IntRange(0, 200).Draw(rt, "steps") {
			if rapid.Bool().Draw(rt, "work") {
				b.Earn(rapid.IntRange(0, 10).Draw(rt, "units"))
			} else {
				b.Spend()
			}
			work, retries := b.Totals()
			if most := limits.Burst + limits.Ratio*float64(work); float64(retries) > most+1e-6 {
				rt.Fatalf("%d retries for %d units of work, want at most %v", retries, work, most)
			}
		}
		backoff := b.Backoff(rapid.IntRange(0, 100).Draw(rt, "attempt"))
		if backoff < limits.Backoff/2 || backoff > limits.MaxBackoff*3/2 {
			rt.Fatalf("backoff %v is outside its bounds", backoff)
		}
	})
}
