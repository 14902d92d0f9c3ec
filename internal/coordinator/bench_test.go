package coordinator_test

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkIdleTick measures a tick of an entry while nothing but pings is exchanged,
// for several numbers of entries and agents.
func BenchmarkIdleTick(b *testing.B) {
	for _, size := range []simulationOptions{
		{entries: 1, agents: 15}, {entries: 1, agents: 900}, {entries: 20, agents: 15},
	} {
		b.Run(fmt.Sprintf("entries=%d/agents=%d", size.entries, size.agents), func(b *testing.B) {
			size.slots, size.limits = 8, productionTimings
			benchmarkTicks(b, size)
		})
	}
}

func benchmarkTicks(b *testing.B, size simulationOptions) {
	const ticksPerDelivery = 10
	sim := newSimulation(func(n int) int { return n - 1 }, size)
	for i, e := range sim.entries {
		for _, p := range append(append([]*process{}, sim.entries[i+1:]...), sim.agents...) {
			sim.connect(e, p)
		}
	}
	if !sim.deliverUntil(time.Minute, sim.serving) {
		b.Fatal("the entries do not serve")
	}
	sim.deliverUntil(5*time.Second, func() bool { return false })
	subject := sim.entries[0]
	for n := 0; b.Loop(); n++ {
		sim.now = sim.now.Add(10 * time.Millisecond)
		subject.entry.Tick(sim.now)
		sim.flush(subject)
		if n%ticksPerDelivery == 0 {
			b.StopTimer()
			sim.deliverUntil(time.Millisecond, func() bool { return false })
			b.StartTimer()
		}
	}
}
