package placer

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sardinelock.dev/sardinelock/internal/messenger"
)

// TestSetLimitsReorders checks that a change of Ageing reorders jobs that already wait:
// an older long job and a newer short job compete for one slot.
func TestSetLimitsReorders(t *testing.T) {
	cases := []struct {
		before, after float64
		want          int // the submission that is scheduled first
	}{
		{before: 0.001, after: 1, want: 1},
		{before: 1, after: 0.001, want: 2},
	}
	for _, c := range cases {
		limits := DefaultLimits()
		limits.Ageing = c.before
		p := New(limits)
		p.AgentUp(epoch, "a", Location{})
		p.SetCapacity(epoch, "a", messenger.Capacity{
			State: messenger.UpstreamServing, Services: []string{"print"}, Slots: 1,
		})
		enqueue(p, 0, 1)
		busy := p.Dispatch(epoch)
		for i, tasks := range []int{10, 1} {
			n := i + 1
			j := Job{Submission: submission(n), Service: "print", Team: "brewery", Deadline: epoch.Add(time.Hour)}
			for k := range tasks {
				j.Requirements = append(j.Requirements, Requirements{RunTime: 300 * time.Millisecond})
				j.Tasks = append(j.Tasks, uint16(k))
			}
			// The long job arrives first.
			if r := p.Enqueue(epoch.Add(time.Duration(n)*10*time.Second), j); r.Reason != "" {
				t.Fatal(r.Detail)
			}
		}
		limits.Ageing = c.after
		p.SetLimits(limits)
		now := epoch.Add(30 * time.Second)
		p.Ended(now, End{Agent: "a", Submission: busy[0].Submission, Kind: messenger.ResultDone, RunTime: time.Second})
		first := p.Dispatch(now)
		if len(first) != 1 || first[0].Submission != submission(c.want) {
			t.Errorf("ageing %v to %v: got %v, want submission %d", c.before, c.after, first, c.want)
		}
		if diff := cmp.Diff(10, p.Queued()); diff != "" {
			t.Errorf("queued tasks (-want +got):\n%s", diff)
		}
	}
}

// TestSetLimitsKeepsTuning checks that SetLimits with the limits of a configuration,
// which contains no tuning, keeps the tuning.
func TestSetLimitsKeepsTuning(t *testing.T) {
	p := New(DefaultLimits())
	p.SetLimits(Limits{MaxQueued: 10})
	if diff := cmp.Diff(DefaultLimits().Tuning, p.limits.Tuning); diff != "" {
		t.Errorf("tuning (-want +got):\n%s", diff)
	}
	if p.limits.MaxQueued != 10 {
		t.Errorf("MaxQueued is %d, want 10", p.limits.MaxQueued)
	}
}
