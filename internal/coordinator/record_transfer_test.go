package coordinator_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"sardinelock.dev/sardinelock/internal/coordinator"
	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// replaceAgent shuts an agent down in an orderly way and starts another at its index.
// It reports whether a successor has the agent's records.
func (sim *simulation) replaceAgent(index int) bool {
	p := sim.agents[index]
	p.leaving = true
	sim.announce(p)
	sim.flush(p)
	sim.runFor(100 * time.Millisecond)
	transferred := sim.stepUntil(time.Second, func() bool {
		p.guard.TransferRecords(p.now(sim))
		sim.flush(p)
		_, transferred := p.guard.RecordsTransferred()
		return transferred
	})
	sim.kill(p)
	sim.runUntil(2*time.Second, sim.serving)
	return transferred
}

// TestReplacedAgentsLeaveNothingUnknown replaces all agents one after the other by
// orderly shutdowns and then kills an owner. The new owner must know from the
// successors what ran before, and must answer not-run for what did not run.
func TestReplacedAgentsLeaveNothingUnknown(t *testing.T) {
	sim := newSimulation(func(n int) int { return n - 1 }, simulationOptions{entries: 3, agents: 4, slots: 8})
	sim.runUntil(2*time.Second, sim.serving)
	owner := sim.entries[0]
	var p identifier.Partition
	for !owner.entry.Owns(p) {
		p++
	}
	ran := sim.newSubmission(p, "", 12, time.Second)
	neverRun := sim.newSubmission(p, "", 1, time.Second)
	sim.submitTo(owner, ran, coordinator.RequestSubmit)
	sim.runFor(500 * time.Millisecond)
	if got := sim.oracle.requests[0].answer; got != string(submitter.OutcomeComplete) {
		t.Fatalf("the job is %s, want complete", got)
	}
	for index := range sim.agents {
		if !sim.replaceAgent(index) {
			t.Fatalf("agent %d found no successor", index)
		}
	}
	if age := sim.now.Sub(ran.id.Time()); age >= testWindow {
		t.Fatalf("the replacement took %s, which is longer than the window", age)
	}
	sim.kill(owner)
	sim.entries[0].paused = true
	if !sim.stepUntil(4*time.Second, func() bool { return sim.ownerOf(p, sim.entries[1:]) != nil }) {
		t.Fatal("no entry takes the partition over")
	}
	sim.runFor(300 * time.Millisecond)
	newOwner := sim.ownerOf(p, sim.entries[1:])
	if missing := newOwner.entry.Partitions(newOwner.now(sim))[p].Missing; len(missing) > 0 {
		t.Errorf("the new owner lacks the records of %v", missing)
	}
	sim.submitTo(newOwner, ran, coordinator.RequestSubmit)
	sim.submitTo(newOwner, neverRun, coordinator.RequestSubmit)
	sim.runFor(time.Second)
	// The simulated agents drop results that the owner has received.
	if sim.oracle.outcomes["unknown answer-lost"] != 1 || sim.oracle.outcomes["not-run owner-changed"] != 1 {
		t.Errorf("want one answer-lost and one not-run, got\n%s", table(sim.oracle.outcomes))
	}
	if sim.oracle.violation != "" {
		t.Error(sim.oracle.violation)
	}
}

// TestHistoriesWithReplacedAgents shuts agents down in an orderly way during seeded
// histories. Some terminate after a successor has their records, some before.
func TestHistoriesWithReplacedAgents(t *testing.T) {
	t.Parallel()
	const histories = 300
	transferred := runHistoriesWith(t, histories, 13, 2, func(sim *simulation, random *rand.Rand) int {
		left := sim.shutDownSomeAgents(random)
		if left > 0 && random.IntN(2) == 0 {
			sim.killEntryAndResubmit(random)
		}
		return left
	})
	t.Logf("%d agents terminated with a successor in %d histories", transferred, histories)
	if transferred < histories/4 {
		t.Errorf("only %d agents terminated with a successor", transferred)
	}
}

// killEntryAndResubmit kills an entry and resubmits earlier submissions.
func (sim *simulation) killEntryAndResubmit(random *rand.Rand) {
	sim.kill(sim.entries[random.IntN(len(sim.entries))])
	sim.runFor(time.Second)
	for range 6 {
		sim.resubmit()
	}
	sim.runFor(100 * time.Millisecond)
}

// shutDownSomeAgents lets leaving agents transfer their records and terminates some
// that have finished. It returns the number of terminated agents that had a successor.
func (sim *simulation) shutDownSomeAgents(random *rand.Rand) int {
	count := 0
	for _, p := range sim.agents {
		if p.active() && !p.leaving && random.IntN(25) == 0 {
			p.leaving = true
			sim.announce(p)
			sim.flush(p)
		}
		if !p.active() || !p.leaving || random.IntN(3) == 0 {
			continue
		}
		p.guard.TransferRecords(p.now(sim))
		sim.flush(p)
		if over, hasSuccessor := p.guard.RecordsTransferred(); over && random.IntN(2) == 0 {
			if hasSuccessor {
				count++
			}
			sim.kill(p)
		}
	}
	return count
}
