package assigner

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sardinelock.dev/sardinelock/internal/messenger"
)

// loadedAssigner returns an assigner and a task. The assigner has agents whose upstreams
// use between used, in thousandths of a core, and 7 cores more, of 16 cores.
func loadedAssigner(upstreams, used int) (*Assigner, *task) {
	a := New(testLimits, "dc-1", rand.New(rand.NewPCG(1, 1)))
	for i := range upstreams {
		instance := fmt.Sprintf("a%03d", i)
		peer := messenger.Peer(instance)
		a.AgentUp(0, peer, instance, fmt.Sprintf("dc-%d", i%3))
		a.Receive(0, peer, &messenger.Frame{Load: &messenger.Load{
			Incarnation: instance + "#1", Service: "quote", State: messenger.RunnerReady, RelativeRunTimePercent: 100, Labels: []string{"rack-1"},
			Capacity: messenger.Resources{MilliCPU: 16000, MemoryBytes: 1 << 34},
			Used:     messenger.Resources{MilliCPU: int64(used + i%8*1000), MemoryBytes: 1 << 30},
		}})
	}
	a.Advance(0)
	j := a.newJob(0, Job{
		ID: "j1", Queue: "q", Service: "quote", SlowdownFactor: 1.6, CallerTimeout: time.Second, MaxAttempts: 2,
		Steps: []Step{{Count: 1, Resources: messenger.Resources{MilliCPU: 1600, MemoryBytes: 1 << 26}, DeclaredRunTime: 100 * time.Millisecond}},
	})
	return a, j.tasks[0]
}

// TestChoiceAllocatesNothing checks that the choice of an upstream allocates nothing.
func TestChoiceAllocatesNothing(t *testing.T) {
	for _, upstreams := range []int{70, 900} {
		a, task := loadedAssigner(upstreams, 4000)
		if n := testing.AllocsPerRun(100, func() { a.choose(0, task) }); n > 0 {
			t.Errorf("a choice among %d upstreams allocates %v times", upstreams, n)
		}
	}
}

// TestMaxWait checks that agents hold a task for longer after each return, so that an
// inaccurate view of the load causes a bounded number of launches.
func TestMaxWait(t *testing.T) {
	a, _ := loadedAssigner(11, 4000)
	a.Submit(0, Job{
		ID: "j2", Queue: "q", Service: "quote", SlowdownFactor: 1.6, LatencyAllowance: 10 * time.Second, CallerTimeout: 10 * time.Second, MaxAttempts: 2,
		Steps: []Step{{Count: 1, Resources: messenger.Resources{MilliCPU: 1600}, DeclaredRunTime: 100 * time.Millisecond}},
	})
	var got []time.Duration
	for now := time.Duration(0); len(got) < 8; now += time.Millisecond {
		for _, send := range a.Advance(now).Sends {
			for _, l := range send.Frame.Launches {
				got = append(got, l.MaxWait)
				end := messenger.End{Task: l.Task, Run: l.Run, Kind: messenger.EndReturned}
				a.Receive(now, send.To, &messenger.Frame{Ends: []messenger.End{end}})
			}
		}
	}
	ms := time.Millisecond
	want := []time.Duration{12 * ms, 24 * ms, 48 * ms, 96 * ms, 192 * ms, 384 * ms, 384 * ms, 384 * ms}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("longest waits at agents (-want +got):\n%s", diff)
	}
	if got := a.agentWait(&task{returns: maxWaitDoublings}, urgentLaunchWait); got > maxAgentWait {
		t.Errorf("a task that is expected to wait at the agent waits there for %v, more than %v", got, maxAgentWait)
	}
}

// BenchmarkChoose times the choice of an upstream if most have free capacity and if none
// has.
func BenchmarkChoose(b *testing.B) {
	for _, upstreams := range []int{11, 70, 300, 900} {
		for name, used := range map[string]int{"room": 4000, "full": 16000} {
			b.Run(fmt.Sprintf("%s/%d", name, upstreams), func(b *testing.B) {
				a, task := loadedAssigner(upstreams, used)
				b.ReportAllocs()
				for b.Loop() {
					a.choose(0, task)
				}
			})
		}
	}
}
