package placer

import (
	"testing"
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
)

// TestMaxBulkWaiting checks how many tasks of a bulk job may wait at an agent beyond its
// credit, depending on the mean run time of the service's tasks.
func TestMaxBulkWaiting(t *testing.T) {
	cases := []struct {
		usual time.Duration
		want  int
	}{
		{usual: 0, want: 8}, // No results yet.
		{usual: 300 * time.Millisecond, want: 8},
		{usual: time.Millisecond, want: 5 * 8},
		{usual: 10 * time.Microsecond, want: maxBulkPerAgent},
	}
	for _, c := range cases {
		p := New(Limits{})
		p.AgentUp(epoch, "a", Location{})
		p.SetCapacity(epoch, "a", messenger.Capacity{State: messenger.UpstreamServing, Services: []string{"print"}, Slots: 8})
		p.SetCredit(epoch, "a", 16)
		s := p.service("print")
		s.learned.minSamples = p.limits.MinSamples
		for range p.limits.MinSamples {
			s.learned.learn(0, c.usual, 0)
		}
		if got := p.maxBulkWaiting(s, p.agents["a"]); got != c.want {
			t.Errorf("tasks of %v: %d may wait, want %d", c.usual, got, c.want)
		}
	}
}
