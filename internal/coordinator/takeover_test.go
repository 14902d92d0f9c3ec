package coordinator_test

import (
	"bytes"
	"testing"
	"time"

	"sardinelock.dev/sardinelock/internal/coordinator"
	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/owner"
)

// takeoverTarget is the time from the death of an owner to the first start by the
// new one that the users asked for, with a lease of three seconds.
const takeoverTarget = 5 * time.Second

// TestTakeoverAt900Agents lets an owner die among 900 agents with the limits of
// production and measures the time to the next start, and what the takeover sends.
func TestTakeoverAt900Agents(t *testing.T) {
	w := newWorld(func(n int) int { return n - 1 }, worldOptions{entries: 3, agents: 900, slots: 8, limits: productionTimes})
	for i, e := range w.entries {
		for _, p := range append(append([]*process{}, w.entries[i+1:]...), w.agents...) {
			w.connect(e, p)
		}
	}
	if !w.pumpUntil(20*time.Second, w.serving) {
		t.Fatal("the entries do not serve")
	}
	dead := w.entries[0]
	var p identifier.Partition
	for !dead.entry.Owns(p) {
		p++
	}
	var sent traffic
	w.sent = sent.count
	w.kill(dead)
	w.entries[0].paused = true
	died := w.now
	w.submitFresh(w.entries[1], w.newSubmission(p, "", 1, 30*time.Second))
	started := func() bool { return len(w.oracle.starts) > 0 }
	if !w.pumpUntil(20*time.Second, started) || w.oracle.violation != "" {
		t.Fatalf("no task started; violation %q", w.oracle.violation)
	}
	t.Logf("first start %s after the death; fences and their answers: %d messages, %d bytes; all messages: %d, %d bytes",
		w.now.Sub(died), sent.fences, sent.fenceBytes, sent.all, sent.allBytes)
	if took := w.now.Sub(died); took > takeoverTarget {
		t.Errorf("the first start came %s after the death, want at most %s", took, takeoverTarget)
	}
}

// productionTimes sets the times that the program's settings have.
func productionTimes(l *coordinator.Limits) {
	l.Leaser.LeaseDuration, l.Leaser.Margin = 3*time.Second, 100*time.Millisecond
	l.Recoverer.LeaseDuration = 3 * time.Second
	l.Recoverer.MaxClockSkew = 2 * time.Second
	l.Registrar.PollInterval, l.Registrar.RetryInterval = time.Second, 250*time.Millisecond
	l.Enroller.UnreachableTimeout, l.Enroller.WitnessUnreachableTimeout = 30*time.Second, 5*time.Second
	l.Enroller.Witnesses = 15
	l.StartTimeout = 5 * time.Second
	l.SuspicionTimeout, l.EntryHeartbeatInterval, l.MinConnectionAge = time.Second, 250*time.Millisecond, time.Second
}

// traffic counts messages and their encoded bytes.
type traffic struct {
	all, allBytes, fences, fenceBytes int
}

func (c *traffic) count(f *messenger.Frame) {
	var buf bytes.Buffer
	if err := messenger.Append(&buf, f); err != nil {
		panic(err)
	}
	c.all++
	c.allBytes += buf.Len()
	if f.Fence != nil || len(f.Fenced) > 0 {
		c.fences++
		c.fenceBytes += buf.Len()
	}
}

// submitFresh submits a job whose id the entry has made.
func (w *world) submitFresh(p *process, s *submission) {
	r := &request{submission: s, entry: p, deadline: p.now(w).Add(s.timeout)}
	ticket := w.oracle.addRequest(r)
	j := owner.Job{Submission: s.id, Service: worldService, Team: "team", Deadline: r.deadline}
	for _, payload := range s.payload {
		j.Tasks = append(j.Tasks, messenger.TaskSpec{Payload: payload})
	}
	p.entry.Request(p.now(w), ticket, coordinator.Request{Kind: coordinator.RequestSubmit, Job: j, NewID: true})
	w.flush(p)
}

// pumpUntil delivers everything at once in steps of 25 ms until a condition holds.
// Unlike until it connects nobody, which is slow with many agents.
func (w *world) pumpUntil(d time.Duration, done func() bool) bool {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(25 * time.Millisecond) {
		for _, p := range w.processes() {
			if p.acts() {
				w.tick(p)
			}
		}
		for ends := w.deliverable(); len(ends)+len(w.calls) > 0; ends = w.deliverable() {
			for _, e := range ends {
				w.deliver(e)
			}
			for len(w.calls) > 0 {
				w.runCall(0, 0)
			}
		}
		if done() {
			return true
		}
	}
	return false
}

// TestHandoverAnswersAll drains an entry with jobs in flight, which are submitted
// again through every entry meanwhile. Every request must be answered complete.
func TestHandoverAnswersAll(t *testing.T) {
	const jobs = 60
	w := newWorld(func(n int) int { return n - 1 }, worldOptions{entries: 3, agents: 6, slots: 8})
	w.settleUntil(2*time.Second, w.serving)
	drained := w.entries[0]
	w.submitMany(jobs, w.entries)
	drained.leaving = true
	drained.entry.Drain(w.now)
	for step := 0; drained.alive && step < 200; step++ {
		for _, e := range w.deliverable() {
			w.deliver(e)
		}
		w.callSome(2)
		w.resubmitOne(step%len(w.oracle.submissions), w.others(drained)[step%2])
		w.now = w.now.Add(2 * time.Millisecond)
		for _, p := range w.processes() {
			w.tick(p)
		}
	}
	w.heal()
	w.oracle.checkEnd()
	if w.oracle.violation != "" {
		t.Fatal(w.oracle.violation)
	}
	if drained.alive {
		t.Error("the entry did not drain")
	}
	complete := w.oracle.outcomes["complete "]
	t.Logf("%d of %d requests were answered complete", complete, len(w.oracle.requests))
	if complete != len(w.oracle.requests) {
		t.Errorf("not every answer is complete:\n%s", table(w.oracle.outcomes))
	}
}

// submitMany submits jobs through all entries in turn.
func (w *world) submitMany(n int, entries []*process) {
	for i := range n {
		s := w.newSubmission(identifier.Partition(i*4), "", 2, 5*time.Second)
		w.submitTo(entries[i%len(entries)], s, coordinator.RequestSubmit)
	}
}

func (w *world) resubmitOne(i int, p *process) {
	w.submitTo(p, w.oracle.submissions[i], coordinator.RequestSubmit)
}
