package coordinator_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"sardinelock.dev/sardinelock/internal/coordinator"
	"sardinelock.dev/sardinelock/internal/enroller"
	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/recoverer"
	"sardinelock.dev/sardinelock/internal/registrar"
	"sardinelock.dev/sardinelock/internal/storer"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// roster returns the roster in the table.
func (sim *simulation) roster() registrar.RegionRoster {
	rosters := registrar.ReadRosters(sim.store.Read(registrar.RosterPrefix))
	if len(rosters) == 0 {
		return registrar.RegionRoster{}
	}
	return rosters[0]
}

// declare writes a roster in which agents are declared dead, as an operator's command
// does.
func (sim *simulation) declare(dead ...messenger.Peer) {
	current := sim.roster()
	next, unknown := enroller.Declare(current.Roster, dead, sim.now)
	if len(unknown) > 0 {
		sim.oracle.fail("not in the roster: %v", unknown)
	}
	sim.logf("an operator declares %v dead", dead)
	sim.store.Write(storer.Transaction{
		RequestID:  storer.NewRequestID(),
		Conditions: []storer.Condition{registrar.RosterCondition(current)},
		Puts:       []storer.Put{registrar.RosterPut(current.Region, next)},
	})
}

// stuckJob is a job whose owner was killed together with a majority of the witnesses.
type stuckJob struct {
	takeoverJob
	dead []messenger.Peer
}

func newStuckJob(t *testing.T) *stuckJob {
	sim := newSimulation(func(n int) int { return n - 1 }, simulationOptions{entries: 3, agents: 5, slots: 8})
	sim.runUntil(2*time.Second, sim.serving)
	j := &stuckJob{takeoverJob: takeoverJob{sim: sim}}
	owner := sim.entries[0]
	for !owner.entry.Owns(j.partition) {
		j.partition++
	}
	j.submission = sim.newSubmission(j.partition, "", 10, 5*time.Second)
	sim.submitTo(owner, j.submission, coordinator.RequestSubmit)
	if !sim.deliverUntil(time.Second, func() bool { return j.running() == len(j.submission.payloads) }) {
		t.Fatal("the job does not start")
	}
	for _, peer := range sim.roster().Witnesses[1:] {
		j.dead = append(j.dead, peer)
		sim.kill(sim.agentNamed(peer))
	}
	sim.kill(owner)
	sim.entries[0].paused = true
	return j
}

func (sim *simulation) agentNamed(peer messenger.Peer) *process {
	i := slices.IndexFunc(sim.agents, func(p *process) bool { return p.peer == peer })
	return sim.agents[i]
}

func (j *stuckJob) active() bool { return j.sim.ownerOf(j.partition, j.sim.entries[1:]) != nil }

// TestMajorityOfWitnessesDead kills an owner and a majority of the witnesses. The
// partitions of the owner must wait for a declaration by an operator, become active one
// lease duration after it, and answer unknown for what only the dead agents know.
func TestMajorityOfWitnessesDead(t *testing.T) {
	j := newStuckJob(t)
	sim := j.sim
	neverSubmitted := sim.newSubmission(j.partition, "", 1, time.Second) // Without the dead agents' records, no entry can tell that it never ran.
	if sim.runUntil(4*time.Second, j.active); j.active() {
		t.Fatal("the partition is active without a majority of the witnesses")
	}
	sim.declare(j.dead[0])
	if sim.runUntil(4*time.Second, j.active); j.active() {
		t.Fatal("the partition is active while the former owner may still have a confirmation by a witness")
	}
	sim.declare(j.dead[1:]...)
	declared := sim.now
	if !sim.stepUntil(4*time.Second, j.active) {
		t.Fatal("the partition is not active after the declaration")
	}
	if waited := sim.now.Sub(declared); waited < testLease {
		t.Errorf("the partition is active %s after the declaration, the lease is %s", waited, testLease)
	}
	for _, s := range []*submission{j.submission, neverSubmitted} {
		if got := j.outcome(s); got != submitter.OutcomeUnknown {
			t.Errorf("%s from before is answered %s, want unknown", s.name, got)
		}
	}
	sim.runFor(time.Second)
	if got := j.outcome(sim.newSubmission(j.partition, "", 3, time.Second)); got != submitter.OutcomeComplete {
		t.Errorf("a new job is answered %s, want complete", got)
	}
	if sim.oracle.violation != "" {
		t.Error(sim.oracle.violation)
	}
}

// outcome submits a submission to the new owner and returns its outcome.
func (j *stuckJob) outcome(s *submission) submitter.Outcome {
	ticket := len(j.sim.oracle.requests)
	j.sim.submitTo(j.sim.ownerOf(j.partition, j.sim.entries[1:]), s, coordinator.RequestSubmit)
	j.sim.runFor(2 * time.Second)
	return submitter.Outcome(j.sim.oracle.requests[ticket].answer)
}

// TestFencingReportsAwaitedAgents checks the status that operators see of a partition
// that waits for a declaration.
func TestFencingReportsAwaitedAgents(t *testing.T) {
	j := newStuckJob(t)
	j.sim.runFor(2 * time.Second)
	newOwner := j.newOwner()
	if newOwner == nil || newOwner.entry.Partitions(newOwner.now(j.sim))[j.partition].Phase != recoverer.PhaseFencing {
		t.Fatal("the partition is not in phase fencing")
	}
	waits := make(map[messenger.Peer]bool)
	for _, a := range newOwner.entry.Roster(newOwner.now(j.sim)).Agents {
		if a.PartitionsFencing > 0 {
			waits[a.Peer] = true
		}
	}
	for _, peer := range j.dead {
		if !waits[peer] {
			t.Errorf("the partition does not wait for %s", peer)
		}
	}
	if len(waits) != len(j.dead) {
		t.Errorf("the partition waits for %v, want %v", waits, j.dead)
	}
}

// TestDeclaredDeadWhileIsolated declares an agent dead that is running but isolated
// together with its owner. When the network is whole again, the agent must start
// nothing and must not be a member.
func TestDeclaredDeadWhileIsolated(t *testing.T) {
	sim := newSimulation(func(n int) int { return n - 1 }, simulationOptions{entries: 3, agents: 5, slots: 8})
	sim.runUntil(2*time.Second, sim.serving)
	alive := sim.agentNamed(sim.roster().Witnesses[0])
	old := sim.entries[0]
	sim.moveToSide(1, alive, old)
	sim.runFor(600 * time.Millisecond)
	sim.declare(alive.peer)
	// The same jobs are submitted on both sides of the split.
	for i := range 20 {
		s := sim.newSubmission(identifier.Partition(i*12), "", 4, time.Second)
		sim.submitTo(old, s, coordinator.RequestSubmit)
		sim.submitTo(sim.entries[1], s, coordinator.RequestSubmit)
	}
	sim.runFor(time.Second)
	sim.moveToSide(0, alive, old)
	sim.runFor(2 * time.Second)
	if !alive.guard.Expelled() || alive.guard.Admitted() {
		t.Error("the agent does not know that it was declared dead")
	}
	if roster := sim.roster(); roster.HasMember(alive.peer) {
		t.Error("an agent that was declared dead has become a member again")
	}
	if sim.oracle.violation != "" {
		t.Error(sim.oracle.violation)
	}
}

// declaredHistories is the number of histories with declarations in CI.
const declaredHistories = 400

// TestHistoriesWithDeclarations declares agents dead during seeded histories: any that
// have terminated, and sometimes one that is running, but never a majority of the
// witnesses while they are running.
func TestHistoriesWithDeclarations(t *testing.T) {
	t.Parallel()
	declarations := runHistoriesWith(t, declaredHistories, 11, 3, func(sim *simulation, random *rand.Rand) int {
		if random.IntN(12) == 0 && sim.declareSome(random) {
			return 1
		}
		return 0
	})
	t.Logf("%d declarations in %d histories", declarations, declaredHistories)
	if declarations < declaredHistories/4 {
		t.Errorf("only %d declarations in %d histories", declarations, declaredHistories)
	}
}

// declareSome declares the terminated agents of the roster dead, or a running witness
// if no other agent was declared. It reports whether it declared any.
func (sim *simulation) declareSome(random *rand.Rand) bool {
	roster := sim.roster()
	var dead []messenger.Peer
	for _, m := range roster.Members {
		if !slices.ContainsFunc(sim.agents, func(p *process) bool { return p.peer == m.Peer }) {
			dead = append(dead, m.Peer)
		}
	}
	if len(dead) == 0 && len(roster.DeclaredDead()) == 0 && len(roster.Witnesses) > 2 && random.IntN(4) == 0 {
		dead = roster.Witnesses[:1]
	}
	if len(dead) > 0 {
		sim.declare(dead...)
	}
	return len(dead) > 0
}
