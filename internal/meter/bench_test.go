package meter

import (
	"testing"
	"time"

	"sardinelock.dev/sardinelock/internal/connector"
)

func newBenchMeter(tb testing.TB) *Meter {
	m, err := New(Identity{}, Sources{
		Traffic: new(connector.Counts),
		Busy:    func() (time.Duration, uint64) { return 0, 0 },
	})
	if err != nil {
		tb.Fatal(err)
	}
	return m
}

// measureJob makes every measurement of one job.
func measureJob(m *Meter) {
	m.Started("quote", 20*time.Millisecond)
	m.Answered("quote", "complete", "", time.Second)
	m.Judged("quote", "success", "good")
	m.Judged("quote", "latency", "good")
	m.Request("POST", "/v1/services/{service}/jobs", 200, time.Second)
}

// TestMeasuringAllocatesNothing checks that a job whose series are known costs no
// memory.
func TestMeasuringAllocatesNothing(t *testing.T) {
	m := newBenchMeter(t)
	measureJob(m)
	if n := testing.AllocsPerRun(100, func() { measureJob(m) }); n > 0 {
		t.Errorf("the measurements of a job make %v allocations", n)
	}
}

func BenchmarkJob(b *testing.B) {
	m := newBenchMeter(b)
	b.ReportAllocs()
	for b.Loop() {
		measureJob(m)
	}
}
