package meter

import (
	"testing"
	"time"

	"sardinelock.dev/sardinelock/internal/connector"
)

func newTestMeter(tb testing.TB) *Meter {
	m, err := New(Identity{}, Sources{
		Traffic: new(connector.Counts),
		Busy:    func() (time.Duration, uint64) { return 0, 0 },
	})
	if err != nil {
		tb.Fatal(err)
	}
	return m
}

// recordJob records all measurements of one job.
func recordJob(m *Meter) {
	m.Started("quote", 20*time.Millisecond)
	m.Answered("quote", "complete", "", time.Second)
	m.Judged("quote", "success", "good")
	m.Judged("quote", "latency", "good")
	m.Request("POST", "/v1/services/{service}/jobs", 200, time.Second)
}

// TestMeasuringAllocatesNothing checks that recording a job allocates no memory once
// the options of its series are cached.
func TestMeasuringAllocatesNothing(t *testing.T) {
	m := newTestMeter(t)
	recordJob(m)
	if n := testing.AllocsPerRun(100, func() { recordJob(m) }); n > 0 {
		t.Errorf("the measurements of a job make %v allocations", n)
	}
}

func BenchmarkJob(b *testing.B) {
	m := newTestMeter(b)
	b.ReportAllocs()
	for b.Loop() {
		recordJob(m)
	}
}
