package coordinator_test

import (
	"strings"
	"testing"
	"time"

	"sardinelock.dev/sardinelock/internal/coordinator"
	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/recoverer"
)

// abandonedJobLimit is the latest time by which an abandoned job must have ended: the
// time until its partition is active, the grace period of an abandoned job, and some
// ticks.
const abandonedJobLimit = 2*testLease + 200*time.Millisecond + 300*time.Millisecond

// TestAbandonedAfterTakeover kills the owner of a job with running tasks, and its
// callers disconnect while the request is held for the new owner. The tasks must not
// run until their deadline.
func TestAbandonedAfterTakeover(t *testing.T) {
	for name, leave := range map[string]func(*takeoverJob){
		"callers leave":          func(h *takeoverJob) { h.abandon(0); h.abandon(1) },
		"caller leaves the rest": func(h *takeoverJob) { h.abandon(0); h.resubmit(200 * time.Millisecond); h.abandon(1) },
		"caller cancels": func(h *takeoverJob) {
			h.abandon(0)
			h.abandon(1)
			h.sim.submitTo(h.newOwner(), h.submission, coordinator.RequestCancel)
		},
		"caller cancels while records are missing": func(h *takeoverJob) {
			h.abandon(0)
			h.abandon(1)
			h.sim.submitTo(h.newOwner(), h.submission, coordinator.RequestCancel)
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newTakeoverJob(t, strings.HasSuffix(name, "missing"))
			leave(h)
			ended := h.sim.deliverUntil(abandonedJobLimit, func() bool { return h.running() == 0 })
			if h.sim.oracle.violation != "" {
				t.Fatal(h.sim.oracle.violation)
			}
			if !ended {
				t.Errorf("%d tasks are still running %s after the job was abandoned", h.running(), abandonedJobLimit)
			}
		})
	}
}

// TestRequestedAfterTakeover is the counterpart: a job for which a request waits
// continues.
func TestRequestedAfterTakeover(t *testing.T) {
	h := newTakeoverJob(t, false)
	newOwner := h.newOwner()
	if !newOwner.entry.Undecided(h.submission.id) {
		t.Error("the new owner reports the job as decided before its partition is active")
	}
	h.abandon(0)
	before := h.running()
	h.sim.deliverUntil(2*abandonedJobLimit, func() bool { return h.running() < before })
	if h.running() != before {
		t.Errorf("only %d of %d tasks are still running although a request waits", h.running(), before)
	}
	if newOwner.entry.Undecided(h.submission.id) {
		t.Error("the new owner reports the job as undecided although its partition is active")
	}
}

// takeoverJob is a job whose tasks run while its partition is taken over. Request 0 was
// made before the takeover through an entry that survives it; request 1 is held for the
// new owner.
type takeoverJob struct {
	sim        *simulation
	submission *submission
	partition  identifier.Partition
}

// newTakeoverJob returns a job whose partition is being taken over; if missing is set,
// without the records of one agent.
func newTakeoverJob(t *testing.T, missing bool) *takeoverJob {
	sim := newSimulation(func(n int) int { return n - 1 }, simulationOptions{entries: 3, agents: 3, slots: 8})
	sim.runUntil(2*time.Second, sim.serving)
	dead := sim.entries[0]
	h := &takeoverJob{sim: sim}
	for !dead.entry.Owns(h.partition) {
		h.partition++
	}
	h.submission = sim.newSubmission(h.partition, "", 18, 30*time.Second) // More tasks than two agents have slots.
	sim.submitTo(sim.entries[1], h.submission, coordinator.RequestSubmit)
	if !sim.deliverUntil(time.Second, func() bool { return h.running() == len(h.submission.payloads) }) {
		t.Fatal("the job does not start")
	}
	if missing {
		sim.moveToSide(1, sim.agents[0])
	}
	sim.kill(dead)
	sim.entries[0].paused = true
	if !sim.deliverUntil(2*time.Second, func() bool { return h.newOwner() != nil }) {
		t.Fatal("no entry takes the partition over")
	}
	h.resubmit(h.submission.timeout)
	return h
}

// newOwner returns the entry that is taking the partition over; nil if there is none.
func (h *takeoverJob) newOwner() *process {
	for _, e := range h.sim.entries[1:] {
		switch e.entry.Partitions(e.now(h.sim))[h.partition].Phase {
		case recoverer.PhaseFencing, recoverer.PhaseWaiting:
			return e
		}
	}
	return nil
}

func (h *takeoverJob) resubmit(timeout time.Duration) {
	s := *h.submission
	s.timeout = timeout
	h.sim.submitTo(h.newOwner(), &s, coordinator.RequestSubmit)
}

func (h *takeoverJob) abandon(ticket uint64) {
	r := h.sim.oracle.requests[ticket]
	r.abandoned = true
	r.entry.entry.Abandon(r.entry.now(h.sim), ticket)
	h.sim.flush(r.entry)
}

// running returns the number of calls at upstreams whose agents the entries can reach.
func (h *takeoverJob) running() int {
	n := 0
	for _, p := range h.sim.agents {
		if p.role == messenger.RoleAgent && p.side == 0 {
			n += len(p.running)
		}
	}
	return n
}
