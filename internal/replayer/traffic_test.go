package replayer

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// maxControlBytes bounds the control traffic of an entry, in bytes per second and direction.
const maxControlBytes = 18 << 10

// idleBytes returns the bytes per second that the entry with the most traffic sends or
// receives while there is almost no load.
func idleBytes(t *testing.T, entries, upstreams int) float64 {
	t.Helper()
	p := Pattern{
		Entries: entries, Upstreams: upstreams, Duration: time.Second, Rate: 0.001,
		Kinds: []Kind{{Name: "quote", Weight: 1, Tasks: 1, RunTime: time.Millisecond, MilliCPU: 1, CallerTimeout: time.Second}},
	}
	r := Play(p, 1)
	// EntryBytes counts both directions, which have equally many frames when idle.
	return float64(slices.Max(r.EntryBytes)) / 2 / (p.Duration + settleTime).Seconds()
}

// reportBench prints a result line for .ci/bench and fails the test if the value exceeds
// the bound.
func reportBench(t *testing.T, name string, value float64, unit string, bound float64) {
	t.Helper()
	verdict := "ok"
	if value > bound {
		verdict = "over"
		t.Errorf("%s is %.4g %s, over %.4g", name, value, unit, bound)
	}
	fmt.Printf("BENCH %s %.4g %s %.4g %s\n", name, value, unit, bound, verdict)
}

// TestControlTraffic checks the control traffic of an idle entry at the size to which the
// users' site is expected to grow.
func TestControlTraffic(t *testing.T) {
	t.Parallel()
	reportBench(t, "ephemeral-entry-bytes-at-rest-70-agents", idleBytes(t, 12, 70), "B/s", maxControlBytes)
}

// TestControlTrafficAt900Agents checks the control traffic at the design limit. Two entries
// suffice, as the traffic of one does not depend on the number of others.
func TestControlTrafficAt900Agents(t *testing.T) {
	t.Parallel()
	reportBench(t, "ephemeral-entry-bytes-at-rest-900-agents", idleBytes(t, 2, 900), "B/s", maxControlBytes)
}

const (
	// maxBytesPerTask bounds the bytes sent between all processes per task, and
	// maxWakeupsPerTask the events that they handle per task.
	maxBytesPerTask   = 1 << 10
	maxWakeupsPerTask = 12
)

// TestTaskCost checks the traffic and wakeups per task under the calm pattern, at the size
// of a small site.
func TestTaskCost(t *testing.T) {
	t.Parallel()
	r := Play(loadPattern(t, "testdata/calm.yaml"), 1)
	bytes := 0
	for _, n := range r.EntryBytes {
		bytes += n
	}
	reportBench(t, "ephemeral-bytes-per-task", float64(bytes)/float64(r.Starts), "B", maxBytesPerTask)
	reportBench(t, "ephemeral-wakeups-per-task", float64(r.Wakeups)/float64(r.Starts), "1", maxWakeupsPerTask)
}
