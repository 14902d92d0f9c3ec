package coordinator_test

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkTickAtRest measures what a tick of an entry takes while nothing happens
// but the pings, by the numbers of entries and agents.
func BenchmarkTickAtRest(b *testing.B) {
	for _, size := range []worldOptions{
		{entries: 1, agents: 15}, {entries: 1, agents: 900}, {entries: 20, agents: 15},
	} {
		b.Run(fmt.Sprintf("entries=%d/agents=%d", size.entries, size.agents), func(b *testing.B) {
			size.slots, size.limits = 8, productionTimes
			benchmarkTicks(b, size)
		})
	}
}

func benchmarkTicks(b *testing.B, size worldOptions) {
	const ticksOfPump = 10
	w := newWorld(func(n int) int { return n - 1 }, size)
	for i, e := range w.entries {
		for _, p := range append(append([]*process{}, w.entries[i+1:]...), w.agents...) {
			w.connect(e, p)
		}
	}
	if !w.pumpUntil(time.Minute, w.serving) {
		b.Fatal("the entries do not serve")
	}
	w.pumpUntil(5*time.Second, func() bool { return false })
	subject := w.entries[0]
	for n := 0; b.Loop(); n++ {
		w.now = w.now.Add(10 * time.Millisecond)
		subject.entry.Tick(w.now)
		w.flush(subject)
		if n%ticksOfPump == 0 {
			b.StopTimer()
			w.pumpUntil(time.Millisecond, func() bool { return false })
			b.StartTimer()
		}
	}
}
