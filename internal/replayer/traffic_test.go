package replayer

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// maxControlBytes is what an entry may spend on control in a second, in each direction.
const maxControlBytes = 18 << 10

// idleBytes returns the bytes a second that the busiest entry sends or receives while
// nothing is to be done.
func idleBytes(t *testing.T, entries, upstreams int) float64 {
	t.Helper()
	p := Pattern{
		Entries: entries, Upstreams: upstreams, Duration: time.Second, Rate: 0.001,
		Kinds: []Kind{{Name: "quote", Weight: 1, Tasks: 1, RunTime: time.Millisecond, MilliCPU: 1, CallerTimeout: time.Second}},
	}
	r := Play(p, 1)
	// Both directions are counted, and have as many frames while nothing is to be done.
	return float64(slices.Max(r.EntryBytes)) / 2 / (p.Duration + settleFor).Seconds()
}

// benchLine prints a line for .ci/bench and fails over the bound.
func benchLine(t *testing.T, name string, value float64, unit string, bound float64) {
	t.Helper()
	verdict := "ok"
	if value > bound {
		verdict = "over"
		t.Errorf("%s is %.4g %s, over %.4g", name, value, unit, bound)
	}
	fmt.Printf("BENCH %s %.4g %s %.4g %s\n", name, value, unit, bound, verdict)
}

// TestControlTraffic checks what an idle entry spends on agents at the users' grown size.
func TestControlTraffic(t *testing.T) {
	benchLine(t, "ephemeral-entry-bytes-at-rest-70-agents", idleBytes(t, 12, 70), "B/s", maxControlBytes)
}

// TestControlTrafficAt900Agents checks an entry at the size to design for. What it
// spends does not depend on the number of other entries.
func TestControlTrafficAt900Agents(t *testing.T) {
	benchLine(t, "ephemeral-entry-bytes-at-rest-900-agents", idleBytes(t, 2, 900), "B/s", maxControlBytes)
}

const (
	// maxBytesPerTask and maxWakeupsPerTask are what a task may cost at all processes, in
	// messages between them and as often as one has something to do.
	maxBytesPerTask   = 1 << 10
	maxWakeupsPerTask = 12
)

// TestTaskCost checks what a task costs on a calm day at the size of a small site.
func TestTaskCost(t *testing.T) {
	r := Play(loadPattern(t, "testdata/calm.yaml"), 1)
	bytes := 0
	for _, n := range r.EntryBytes {
		bytes += n
	}
	benchLine(t, "ephemeral-bytes-per-task", float64(bytes)/float64(r.Starts), "B", maxBytesPerTask)
	benchLine(t, "ephemeral-wakeups-per-task", float64(r.Wakeups)/float64(r.Starts), "1", maxWakeupsPerTask)
}
