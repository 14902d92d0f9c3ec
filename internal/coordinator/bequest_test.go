package coordinator_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"sardinelock.dev/sardinelock/internal/coordinator"
	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// replace lets an agent leave in good order; another takes its seat. It reports
// whether another agent has its records.
func (w *world) replace(seat int) bool {
	p := w.agents[seat]
	p.leaving = true
	w.announce(p)
	w.flush(p)
	w.settle(100 * time.Millisecond)
	kept := w.until(time.Second, func() bool {
		p.guard.TransferRecords(p.now(w))
		w.flush(p)
		_, kept := p.guard.RecordsTransferred()
		return kept
	})
	w.kill(p)
	w.settleUntil(2*time.Second, w.serving)
	return kept
}

// TestReplacedAgentsLeaveNothingUnknown replaces all agents in good order, one after
// the other, and then lets an owner die. What ran before must be known, and what did
// not must be said not to have run.
func TestReplacedAgentsLeaveNothingUnknown(t *testing.T) {
	w := newWorld(func(n int) int { return n - 1 }, worldOptions{entries: 3, agents: 4, slots: 8})
	w.settleUntil(2*time.Second, w.serving)
	owner := w.entries[0]
	var p identifier.Partition
	for !owner.entry.Owns(p) {
		p++
	}
	ran := w.newSubmission(p, "", 12, time.Second)
	never := w.newSubmission(p, "", 1, time.Second)
	w.submitTo(owner, ran, coordinator.RequestSubmit)
	w.settle(500 * time.Millisecond)
	if got := w.oracle.requests[0].answer; got != string(submitter.OutcomeComplete) {
		t.Fatalf("the job is %s, want complete", got)
	}
	for seat := range w.agents {
		if !w.replace(seat) {
			t.Fatalf("agent %d found no heir", seat)
		}
	}
	if age := w.now.Sub(ran.id.Time()); age >= worldWindow {
		t.Fatalf("the replacement took %s, which is longer than the window", age)
	}
	w.kill(owner)
	w.entries[0].paused = true
	if !w.until(4*time.Second, func() bool { return w.ownerOf(p, w.entries[1:]) != nil }) {
		t.Fatal("nobody takes the partition over")
	}
	w.settle(300 * time.Millisecond)
	taker := w.ownerOf(p, w.entries[1:])
	if missing := taker.entry.Partitions(taker.now(w))[p].Missing; len(missing) > 0 {
		t.Errorf("the new owner misses the records of %v", missing)
	}
	w.submitTo(taker, ran, coordinator.RequestSubmit)
	w.submitTo(taker, never, coordinator.RequestSubmit)
	w.settle(time.Second)
	// The world's agents keep no result that its owner has.
	if w.oracle.outcomes["unknown answer-lost"] != 1 || w.oracle.outcomes["not-run owner-changed"] != 1 {
		t.Errorf("want one answer-lost and one not-run, got\n%s", table(w.oracle.outcomes))
	}
	if w.oracle.violation != "" {
		t.Error(w.oracle.violation)
	}
}

// TestHistoriesWithReplacedAgents lets agents leave in good order in the midst of
// seeded histories: some end when another has their records, some before.
func TestHistoriesWithReplacedAgents(t *testing.T) {
	t.Parallel()
	const histories = 300
	kept := sideHistories(t, histories, 13, 2, func(w *world, random *rand.Rand) int {
		left := w.leaveForGood(random)
		if left > 0 && random.IntN(2) == 0 {
			w.takeOverAndAsk(random)
		}
		return left
	})
	t.Logf("%d agents left with an heir in %d histories", kept, histories)
	if kept < histories/4 {
		t.Errorf("only %d agents left with an heir", kept)
	}
}

// takeOverAndAsk kills an entry and submits again what ran before.
func (w *world) takeOverAndAsk(random *rand.Rand) {
	w.kill(w.entries[random.IntN(len(w.entries))])
	w.settle(time.Second)
	for range 6 {
		w.resubmit()
	}
	w.settle(100 * time.Millisecond)
}

// leaveForGood lets agents that leave pass on their records, and ends those that have.
// It returns the number of those that found an heir.
func (w *world) leaveForGood(random *rand.Rand) int {
	kept := 0
	for _, p := range w.agents {
		if p.acts() && !p.leaving && random.IntN(25) == 0 {
			p.leaving = true
			w.announce(p)
			w.flush(p)
		}
		if !p.acts() || !p.leaving || random.IntN(3) == 0 {
			continue
		}
		p.guard.TransferRecords(p.now(w))
		w.flush(p)
		if over, has := p.guard.RecordsTransferred(); over && random.IntN(2) == 0 {
			if has {
				kept++
			}
			w.kill(p)
		}
	}
	return kept
}
