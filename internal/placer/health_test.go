package placer

import (
	"fmt"
	"testing"
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
)

// fail places the tasks of a job and ends those that found a credit, failed where
// the function says so.
func fail(p *Placer, now time.Time, job, tasks int, failed func(messenger.Peer) bool) {
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

// TestBadWorkerIsEjectedAndReturns holds that an agent that fails everything is
// ejected, probed after the pause, takes few tasks at first when it is back, and
// as many as others once it has run enough.
func TestBadWorkerIsEjectedAndReturns(t *testing.T) {
	p := fourAgents()
	bad := func(peer messenger.Peer) bool { return peer == "agent-2" }
	for n := range 10 {
		fail(p, epoch, n, 4, bad)
	}
	if s := p.Upstreams()[2]; s.Health != stateEjected || s.EjectReason != EjectFailing {
		t.Fatalf("agent-2 is %s for %q, want ejected for failing", s.Health, s.EjectReason)
	}
	later := epoch.Add(DefaultLimits().ProbeAfter)
	fail(p, later, 100, 4, func(messenger.Peer) bool { return false })
	if s := p.Upstreams()[2]; s.Health != stateReturning || s.Credit >= s.Capacity.Slots {
		t.Fatalf("agent-2 is %s with %d of %d credits, want few", s.Health, s.Credit, s.Capacity.Slots)
	}
	for n := range 20 {
		fail(p, later, 200+n, 32, func(messenger.Peer) bool { return false })
	}
	if s := p.Upstreams()[2]; s.Health != stateNormal {
		t.Fatalf("agent-2 is %s, want normal", s.Health)
	}
}

// TestBadServiceEjectsNobody holds that a service that fails on all upstreams
// does not empty the pool.
func TestBadServiceEjectsNobody(t *testing.T) {
	p := fourAgents()
	for n := range 40 {
		fail(p, epoch, n, 4, func(messenger.Peer) bool { return true })
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
