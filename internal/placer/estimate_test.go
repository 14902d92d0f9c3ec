package placer

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// learnPeaks runs n tasks one after the other and reports the given memory peaks in
// rotation.
func learnPeaks(p *Placer, declared int64, n int, peaks ...int64) {
	for i := range n {
		enqueueMemory(p, 1000+i, 1, declared)
		for _, a := range p.Dispatch(epoch) {
			p.Ended(epoch, End{
				Agent: a.Agent, Submission: a.Submission, Index: a.Tasks[0], Kind: messenger.ResultDone,
				RunTime: time.Second, PeakMemoryBytes: peaks[i%len(peaks)],
			})
		}
	}
}

func enqueueMemory(p *Placer, n, tasks int, declared int64) Refusal {
	j := Job{Submission: submission(n), Service: "print", Team: "brewery"}
	for i := range tasks {
		j.Requirements = append(j.Requirements, Requirements{RunTime: time.Second, MemoryBytes: declared})
		j.Tasks = append(j.Tasks, uint16(i))
	}
	return p.Enqueue(epoch, j)
}

func oneAgent(memory int64) *Placer {
	p := New(Limits{})
	p.AgentUp(epoch, "a", Location{})
	p.SetCapacity(epoch, "a", messenger.Capacity{
		State: messenger.UpstreamServing, Services: []string{"print"}, Slots: 8, MemoryBytes: memory,
	})
	return p
}

// countScheduled returns how many tasks of a job of 8 tasks are scheduled immediately.
func countScheduled(t *testing.T, p *Placer, declared int64) int {
	t.Helper()
	if r := enqueueMemory(p, 1, 8, declared); r.Reason != "" {
		t.Fatalf("refused: %s", r.Detail)
	}
	n := 0
	for _, a := range p.Dispatch(epoch) {
		n += len(a.Tasks)
	}
	return n
}

// TestMemoryEstimate checks that reported peaks replace declarations that are ten times
// too high or too low once there are enough results, and not before.
func TestMemoryEstimate(t *testing.T) {
	cases := []struct {
		name     string
		declared int64
		learned  int // number of reported peaks
		peaks    []int64
		want     int // number of tasks that fit into 1000 bytes
	}{
		{name: "no peaks", declared: 500, want: 2},
		{name: "few peaks", declared: 500, learned: 19, peaks: []int64{100}, want: 2},
		{name: "declared too much", declared: 1000, learned: 20, peaks: []int64{100}, want: 8},
		{name: "declared too little", declared: 20, learned: 20, peaks: []int64{200}, want: 5},
		{name: "peaks that vary", declared: 20, learned: 200, peaks: []int64{180, 220}, want: 3},
		{name: "peaks near all there is", declared: 20, learned: 200, peaks: []int64{900, 980}, want: 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := oneAgent(1000)
			learnPeaks(p, c.declared, c.learned, c.peaks...)
			if diff := cmp.Diff(c.want, countScheduled(t, p, c.declared)); diff != "" {
				t.Errorf("tasks that find room (-want +got):\n%s", diff)
			}
		})
	}
}

// TestAdmissionByMemoryEstimate checks that admission refuses a job whose declared
// memory no upstream has until there are enough peaks, and then one whose usual peak no
// upstream has.
func TestAdmissionByMemoryEstimate(t *testing.T) {
	p := oneAgent(1000)
	if r := enqueueMemory(p, 1, 1, 5000); r.Reason != submitter.ReasonNeverFits {
		t.Errorf("a declared need of 5000: %q, want %q", r.Reason, submitter.ReasonNeverFits)
	}
	learnPeaks(p, 500, 20, 500)
	if r := enqueueMemory(p, 2, 1, 5000); r.Reason != "" {
		t.Errorf("a declared need of 5000 and peaks of 500: refused, %s", r.Detail)
	}
	p.SetCapacity(epoch, "a", messenger.Capacity{
		State: messenger.UpstreamServing, Services: []string{"print"}, Slots: 8, MemoryBytes: 400,
	})
	if r := enqueueMemory(p, 3, 1, 100); r.Reason != submitter.ReasonNeverFits {
		t.Errorf("peaks of 500 in 400 bytes: %q, want %q", r.Reason, submitter.ReasonNeverFits)
	}
}

// TestMemoryReservation checks the memory reservation before and after enough peaks were
// reported, and for an unknown service.
func TestMemoryReservation(t *testing.T) {
	p := oneAgent(1000)
	before := p.MemoryReservation("print", 20)
	learnPeaks(p, 20, 20, 200)
	got := []int64{before, p.MemoryReservation("print", 20), p.MemoryReservation("other", 20)}
	if diff := cmp.Diff([]int64{20, 200, 20}, got); diff != "" {
		t.Errorf("memory before and after peaks, and of an unknown service (-want +got):\n%s", diff)
	}
}
