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

// unaskedTarget is by when a job that nobody asks for must have ended: the pause
// until its partition is active, the grace of an abandoned job, and some ticks.
const unaskedTarget = 2*worldLease + 200*time.Millisecond + 300*time.Millisecond

// TestUnaskedAfterTakeover lets the owner of a job with running tasks die, and its
// caller leave while the request is held for the new owner. The tasks must not run
// until their deadline.
func TestUnaskedAfterTakeover(t *testing.T) {
	for name, leave := range map[string]func(*heldJob){
		"callers leave":          func(h *heldJob) { h.abandon(0); h.abandon(1) },
		"caller leaves the rest": func(h *heldJob) { h.abandon(0); h.resubmit(200 * time.Millisecond); h.abandon(1) },
		"caller cancels": func(h *heldJob) {
			h.abandon(0)
			h.abandon(1)
			h.w.submitTo(h.taker(), h.s, coordinator.RequestCancel)
		},
		"caller cancels while records are missing": func(h *heldJob) {
			h.abandon(0)
			h.abandon(1)
			h.w.submitTo(h.taker(), h.s, coordinator.RequestCancel)
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHeldJob(t, strings.HasSuffix(name, "missing"))
			leave(h)
			ended := h.w.pumpUntil(unaskedTarget, func() bool { return h.running() == 0 })
			if h.w.oracle.violation != "" {
				t.Fatal(h.w.oracle.violation)
			}
			if !ended {
				t.Errorf("%d tasks run on %s after nobody asks for them", h.running(), unaskedTarget)
			}
		})
	}
}

// TestAskedAfterTakeover is the counterpart: a job that is asked for goes on.
func TestAskedAfterTakeover(t *testing.T) {
	h := newHeldJob(t, false)
	taker := h.taker()
	if !taker.entry.Undecided(h.s.id) {
		t.Error("the new owner decides about the job before its partition is active")
	}
	h.abandon(0)
	before := h.running()
	h.w.pumpUntil(2*unaskedTarget, func() bool { return h.running() < before })
	if h.running() != before {
		t.Errorf("%d of %d tasks run on although a request waits", h.running(), before)
	}
	if taker.entry.Undecided(h.s.id) {
		t.Error("the new owner cannot tell about the job when its partition is active")
	}
}

// heldJob is a job whose tasks run while its partition is taken over. Request 0
// was made before, through an entry that lives; request 1 is held for the new owner.
type heldJob struct {
	w *world
	s *submission
	p identifier.Partition
}

// newHeldJob returns a job whose partition is being taken over, on request without
// the records of one agent.
func newHeldJob(t *testing.T, missing bool) *heldJob {
	w := newWorld(func(n int) int { return n - 1 }, worldOptions{entries: 3, agents: 3, slots: 8})
	w.settleUntil(2*time.Second, w.serving)
	dead := w.entries[0]
	h := &heldJob{w: w}
	for !dead.entry.Owns(h.p) {
		h.p++
	}
	h.s = w.newSubmission(h.p, "", 18, 30*time.Second) // More than two agents have slots.
	w.submitTo(w.entries[1], h.s, coordinator.RequestSubmit)
	if !w.pumpUntil(time.Second, func() bool { return h.running() == len(h.s.payload) }) {
		t.Fatal("the job does not start")
	}
	if missing {
		w.split(1, w.agents[0])
	}
	w.kill(dead)
	w.entries[0].paused = true
	if !w.pumpUntil(2*time.Second, func() bool { return h.taker() != nil }) {
		t.Fatal("nobody takes the partition over")
	}
	h.resubmit(h.s.timeout)
	return h
}

// taker returns the entry that is about to own the partition; nil if none is.
func (h *heldJob) taker() *process {
	for _, e := range h.w.entries[1:] {
		switch e.entry.Partitions(e.now(h.w))[h.p].Phase {
		case recoverer.PhaseFencing, recoverer.PhaseWaiting:
			return e
		}
	}
	return nil
}

func (h *heldJob) resubmit(timeout time.Duration) {
	s := *h.s
	s.timeout = timeout
	h.w.submitTo(h.taker(), &s, coordinator.RequestSubmit)
}

func (h *heldJob) abandon(ticket uint64) {
	r := h.w.oracle.requests[ticket]
	r.abandoned = true
	r.entry.entry.Abandon(r.entry.now(h.w), ticket)
	h.w.flush(r.entry)
}

// running returns the number of calls at upstreams that the entries can reach.
func (h *heldJob) running() int {
	n := 0
	for _, p := range h.w.agents {
		if p.role == messenger.RoleAgent && p.split == 0 {
			n += len(p.running)
		}
	}
	return n
}
