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

// roster returns the roster as the table has it.
func (w *world) roster() registrar.RegionRoster {
	rosters := registrar.ReadRosters(w.store.Read(registrar.RosterPrefix))
	if len(rosters) == 0 {
		return registrar.RegionRoster{}
	}
	return rosters[0]
}

// declare writes the roster as an operator's declaration does.
func (w *world) declare(dead ...messenger.Peer) {
	current := w.roster()
	next, unknown := enroller.Declare(current.Roster, dead, w.now)
	if len(unknown) > 0 {
		w.oracle.fail("the roster does not know %v", unknown)
	}
	w.logf("an operator declares %v dead", dead)
	w.store.Write(storer.Transaction{
		RequestID:  storer.NewRequestID(),
		Conditions: []storer.Condition{registrar.RosterCondition(current)},
		Puts:       []storer.Put{registrar.RosterPut(current.Region, next)},
	})
}

// stuckJob is a job whose owner died together with a majority of the witnesses.
type stuckJob struct {
	heldJob
	dead []messenger.Peer
}

func newStuckJob(t *testing.T) *stuckJob {
	w := newWorld(func(n int) int { return n - 1 }, worldOptions{entries: 3, agents: 5, slots: 8})
	w.settleUntil(2*time.Second, w.serving)
	j := &stuckJob{heldJob: heldJob{w: w}}
	owner := w.entries[0]
	for !owner.entry.Owns(j.p) {
		j.p++
	}
	j.s = w.newSubmission(j.p, "", 10, 5*time.Second)
	w.submitTo(owner, j.s, coordinator.RequestSubmit)
	if !w.pumpUntil(time.Second, func() bool { return j.running() == len(j.s.payload) }) {
		t.Fatal("the job does not start")
	}
	for _, peer := range w.roster().Witnesses[1:] {
		j.dead = append(j.dead, peer)
		w.kill(w.agentNamed(peer))
	}
	w.kill(owner)
	w.entries[0].paused = true
	return j
}

func (w *world) agentNamed(peer messenger.Peer) *process {
	i := slices.IndexFunc(w.agents, func(p *process) bool { return p.peer == peer })
	return w.agents[i]
}

func (j *stuckJob) active() bool { return j.w.ownerOf(j.p, j.w.entries[1:]) != nil }

// TestMajorityOfWitnessesDead lets an owner and a majority of the witnesses die.
// Their partitions must wait for an operator's declaration, become active a lease
// after it, and say unknown of what only the dead knew.
func TestMajorityOfWitnessesDead(t *testing.T) {
	j := newStuckJob(t)
	w := j.w
	lost := w.newSubmission(j.p, "", 1, time.Second) // It was never submitted; nobody can tell.
	if w.settleUntil(4*time.Second, j.active); j.active() {
		t.Fatal("the partition is active without a majority of the witnesses")
	}
	w.declare(j.dead[0])
	if w.settleUntil(4*time.Second, j.active); j.active() {
		t.Fatal("the partition is active while a witness may have been heard by the former owner")
	}
	w.declare(j.dead[1:]...)
	declared := w.now
	if !w.until(4*time.Second, j.active) {
		t.Fatal("the partition is not active after the declaration")
	}
	if waited := w.now.Sub(declared); waited < worldLease {
		t.Errorf("the partition is active %s after the declaration, the lease is %s", waited, worldLease)
	}
	for _, s := range []*submission{j.s, lost} {
		if got := j.outcome(s); got != submitter.OutcomeUnknown {
			t.Errorf("%s from before is answered %s, want unknown", s.name, got)
		}
	}
	w.settle(time.Second)
	if got := j.outcome(w.newSubmission(j.p, "", 3, time.Second)); got != submitter.OutcomeComplete {
		t.Errorf("a new job is answered %s, want complete", got)
	}
	if w.oracle.violation != "" {
		t.Error(w.oracle.violation)
	}
}

// outcome submits a submission to the owner and returns its answer.
func (j *stuckJob) outcome(s *submission) submitter.Outcome {
	ticket := len(j.w.oracle.requests)
	j.w.submitTo(j.w.ownerOf(j.p, j.w.entries[1:]), s, coordinator.RequestSubmit)
	j.w.settle(2 * time.Second)
	return submitter.Outcome(j.w.oracle.requests[ticket].answer)
}

// TestFencingTellsWhatItWaitsFor checks what operators see of a partition that
// waits for a declaration.
func TestFencingTellsWhatItWaitsFor(t *testing.T) {
	j := newStuckJob(t)
	j.w.settle(2 * time.Second)
	taker := j.taker()
	if taker == nil || taker.entry.Partitions(taker.now(j.w))[j.p].Phase != recoverer.PhaseFencing {
		t.Fatal("the partition is not in phase fencing")
	}
	waits := make(map[messenger.Peer]bool)
	for _, a := range taker.entry.Roster(taker.now(j.w)).Agents {
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

// TestDeclaredDeadButCutOff declares an agent dead that lives and is cut off
// together with its owner. It must start nothing once it is back, and be no member.
func TestDeclaredDeadButCutOff(t *testing.T) {
	w := newWorld(func(n int) int { return n - 1 }, worldOptions{entries: 3, agents: 5, slots: 8})
	w.settleUntil(2*time.Second, w.serving)
	alive := w.agentNamed(w.roster().Witnesses[0])
	old := w.entries[0]
	w.split(1, alive, old)
	w.settle(600 * time.Millisecond)
	w.declare(alive.peer)
	// Both sides are asked for the same jobs.
	for i := range 20 {
		s := w.newSubmission(identifier.Partition(i*12), "", 4, time.Second)
		w.submitTo(old, s, coordinator.RequestSubmit)
		w.submitTo(w.entries[1], s, coordinator.RequestSubmit)
	}
	w.settle(time.Second)
	w.split(0, alive, old)
	w.settle(2 * time.Second)
	if !alive.guard.Expelled() || alive.guard.Admitted() {
		t.Error("the agent does not know that it was declared dead")
	}
	if roster := w.roster(); roster.HasMember(alive.peer) {
		t.Error("an agent that was declared dead is a member again")
	}
	if w.oracle.violation != "" {
		t.Error(w.oracle.violation)
	}
}

// declaredHistories is the number of histories with declarations in CI.
const declaredHistories = 400

// TestHistoriesWithDeclarations lets an operator declare agents dead in the midst
// of seeded histories: any that are, and at times one that lives, so long as no
// majority of witnesses is declared that does.
func TestHistoriesWithDeclarations(t *testing.T) {
	t.Parallel()
	declarations := sideHistories(t, declaredHistories, 11, 3, func(w *world, random *rand.Rand) int {
		if random.IntN(12) == 0 && w.declareSome(random) {
			return 1
		}
		return 0
	})
	t.Logf("%d declarations in %d histories", declarations, declaredHistories)
	if declarations < declaredHistories/4 {
		t.Errorf("only %d declarations in %d histories", declarations, declaredHistories)
	}
}

// declareSome declares the dead agents of the roster, or a witness that lives if no
// other was declared. It reports whether there was one.
func (w *world) declareSome(random *rand.Rand) bool {
	roster := w.roster()
	var dead []messenger.Peer
	for _, m := range roster.Members {
		if !slices.ContainsFunc(w.agents, func(p *process) bool { return p.peer == m.Peer }) {
			dead = append(dead, m.Peer)
		}
	}
	if len(dead) == 0 && len(roster.DeclaredDead()) == 0 && len(roster.Witnesses) > 2 && random.IntN(4) == 0 {
		dead = roster.Witnesses[:1]
	}
	if len(dead) > 0 {
		w.declare(dead...)
	}
	return len(dead) > 0
}
