package placer

import (
	"fmt"
	"testing"
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
)

// runTasks enqueues a job and ends the tasks that are dispatched. Those at agents for
// which failed returns true fail.
func runTasks(p *Placer, now time.Time, job, tasks int, failed func(messenger.Peer) bool) {
	enqueue(p, job, tasks)
	for _, a := range p.Dispatch(now) {
		for _, index := range a.Tasks {
			kind := messenger.ResultDone
			if failed(a.Agent) {
				kind = messenger.ResultFailed
			}
			p.Ended(now, End{Agent: a.Agent, Submission: a.Submission, Index: index, Kind: kind, RunTime: time.Second})
		}
	}
}

func fourAgents() *Placer {
	p := New(Limits{})
	for i := range 4 {
		peer := messenger.Peer(fmt.Sprint("agent-", i))
		p.AgentUp(epoch, peer, Location{})
		p.SetCapacity(epoch, peer, messenger.Capacity{
			State: messenger.UpstreamServing, Services: []string{"print"}, Slots: 8,
		})
	}
	return p
}

// TestFailingAgentIsEjectedAndReturns checks that an agent at which every task fails is
// ejected and probed after ProbeAfter, and that it returns to normal through a slow start.
func TestFailingAgentIsEjectedAndReturns(t *testing.T) {
	p := fourAgents()
	bad := func(peer messenger.Peer) bool { return peer == "agent-2" }
	for n := range 10 {
		runTasks(p, epoch, n, 4, bad)
	}
	if s := p.Upstreams()[2]; s.Health != stateEjected || s.EjectReason != EjectFailing {
		t.Fatalf("agent-2 is %s for %q, want ejected for failing", s.Health, s.EjectReason)
	}
	later := epoch.Add(DefaultLimits().ProbeAfter)
	runTasks(p, later, 100, 4, func(messenger.Peer) bool { return false })
	if s := p.Upstreams()[2]; s.Health != stateReturning || s.Credit >= s.Capacity.Slots {
		t.Fatalf("agent-2 is %s with %d of %d credits, want few", s.Health, s.Credit, s.Capacity.Slots)
	}
	for n := range 20 {
		runTasks(p, later, 200+n, 32, func(messenger.Peer) bool { return false })
	}
	if s := p.Upstreams()[2]; s.Health != stateNormal {
		t.Fatalf("agent-2 is %s, want normal", s.Health)
	}
}

// TestFailingServiceEjectsNoAgent checks that a service that fails at all upstreams
// ejects none of them.
func TestFailingServiceEjectsNoAgent(t *testing.T) {
	p := fourAgents()
	for n := range 40 {
		runTasks(p, epoch, n, 4, func(messenger.Peer) bool { return true })
	}
	for _, s := range p.Upstreams() {
		if s.Health != stateNormal {
			t.Errorf("%s is %s, want normal", s.Peer, s.Health)
		}
	}
	if !p.serviceOrder[0].failsEverywhere() {
		t.Error("the service is not reported as failing")
	}
}
