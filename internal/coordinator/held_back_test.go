package coordinator_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sardinelock.dev/sardinelock/internal/coordinator"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/placer"
)

// TestHeldBack holds all upstreams while jobs run and wait. Jobs without a sent task must
// be refused at once, not at their deadline, and the others must complete after the hold:
// refusing them would lose the work of tasks that run.
func TestHeldBack(t *testing.T) {
	sim := newSimulation(func(n int) int { return n - 1 }, simulationOptions{entries: 1, agents: 2, slots: 2})
	sim.runUntil(2*time.Second, sim.serving)
	p := sim.entries[0]
	hold := func(holds map[messenger.Peer]placer.Hold, want map[string]int) {
		t.Helper()
		p.entry.SetHolds(placer.Holds{Upstreams: holds})
		sim.flush(p)
		sim.runFor(200 * time.Millisecond)
		if diff := cmp.Diff(want, sim.oracle.outcomes); diff != "" {
			t.Errorf("outcomes (-want +got):\n%s", diff)
		}
	}
	// The credits suffice for three jobs and a part of the fourth.
	for range 6 {
		sim.submitTo(p, sim.newSubmission(0, "", 6, 30*time.Second), coordinator.RequestSubmit)
	}
	hold(map[messenger.Peer]placer.Hold{sim.agents[0].peer: placer.HoldDrained, sim.agents[1].peer: placer.HoldDrained},
		map[string]int{"complete ": 3, "not-run no-upstream": 2})
	hold(nil, map[string]int{"complete ": 4, "not-run no-upstream": 2})
}
