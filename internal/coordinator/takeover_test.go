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

// takeoverTarget is the longest time that users accept from the death of an owner to
// the first start by the new one, with a lease duration of three seconds.
const takeoverTarget = 5 * time.Second

// TestTakeoverAt900Agents kills an owner among 900 agents with the time limits of
// production and measures the time to the next start and the messages of the takeover.
func TestTakeoverAt900Agents(t *testing.T) {
	sim := newSimulation(func(n int) int { return n - 1 }, simulationOptions{entries: 3, agents: 900, slots: 8, limits: productionTimings})
	for i, e := range sim.entries {
		for _, p := range append(append([]*process{}, sim.entries[i+1:]...), sim.agents...) {
			sim.connect(e, p)
		}
	}
	if !sim.deliverUntil(20*time.Second, sim.serving) {
		t.Fatal("the entries do not serve")
	}
	dead := sim.entries[0]
	var p identifier.Partition
	for !dead.entry.Owns(p) {
		p++
	}
	var sent traffic
	sim.onSend = sent.count
	sim.kill(dead)
	sim.entries[0].paused = true
	died := sim.now
	sim.submitWithNewID(sim.entries[1], sim.newSubmission(p, "", 1, 30*time.Second))
	started := func() bool { return len(sim.oracle.starts) > 0 }
	if !sim.deliverUntil(20*time.Second, started) || sim.oracle.violation != "" {
		t.Fatalf("no task started; violation %q", sim.oracle.violation)
	}
	t.Logf("first start %s after the death; fences and their answers: %d messages, %d bytes; all messages: %d, %d bytes",
		sim.now.Sub(died), sent.fences, sent.fenceBytes, sent.all, sent.allBytes)
	if took := sim.now.Sub(died); took > takeoverTarget {
		t.Errorf("the first start came %s after the death, want at most %s", took, takeoverTarget)
	}
}

// productionTimings sets the time limits to those of the program's settings.
func productionTimings(l *coordinator.Limits) {
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

// submitWithNewID submits a job whose id the entry has generated.
func (sim *simulation) submitWithNewID(p *process, s *submission) {
	r := &request{submission: s, entry: p, deadline: p.now(sim).Add(s.timeout)}
	ticket := sim.oracle.addRequest(r)
	j := owner.Job{Submission: s.id, Service: testService, Team: "team", Deadline: r.deadline}
	for _, payload := range s.payloads {
		j.Tasks = append(j.Tasks, messenger.TaskSpec{Payload: payload})
	}
	p.entry.Request(p.now(sim), ticket, coordinator.Request{Kind: coordinator.RequestSubmit, Job: j, NewID: true})
	sim.flush(p)
}

// deliverUntil delivers all messages at once in steps of 25 ms until a condition holds.
// Unlike stepUntil it opens no connections, which is slow with many agents.
func (sim *simulation) deliverUntil(d time.Duration, done func() bool) bool {
	for end := sim.now.Add(d); sim.now.Before(end); sim.now = sim.now.Add(25 * time.Millisecond) {
		for _, p := range sim.processes() {
			if p.active() {
				sim.tick(p)
			}
		}
		for ends := sim.deliverable(); len(ends)+len(sim.calls) > 0; ends = sim.deliverable() {
			for _, e := range ends {
				sim.deliver(e)
			}
			for len(sim.calls) > 0 {
				sim.runCall(0, 0)
			}
		}
		if done() {
			return true
		}
	}
	return false
}

// TestHandoverAnswersAll drains an entry with jobs in flight while they are submitted
// again through the other entries. Every request must be answered complete.
func TestHandoverAnswersAll(t *testing.T) {
	const jobs = 60
	sim := newSimulation(func(n int) int { return n - 1 }, simulationOptions{entries: 3, agents: 6, slots: 8})
	sim.runUntil(2*time.Second, sim.serving)
	drained := sim.entries[0]
	sim.submitMany(jobs, sim.entries)
	drained.leaving = true
	drained.entry.Drain(sim.now)
	for step := 0; drained.alive && step < 200; step++ {
		for _, e := range sim.deliverable() {
			sim.deliver(e)
		}
		sim.runSomeCalls(2)
		sim.resubmitOne(step%len(sim.oracle.submissions), sim.others(drained)[step%2])
		sim.now = sim.now.Add(2 * time.Millisecond)
		for _, p := range sim.processes() {
			sim.tick(p)
		}
	}
	sim.heal()
	sim.oracle.checkEnd()
	if sim.oracle.violation != "" {
		t.Fatal(sim.oracle.violation)
	}
	if drained.alive {
		t.Error("the entry did not drain")
	}
	complete := sim.oracle.outcomes["complete "]
	t.Logf("%d of %d requests were answered complete", complete, len(sim.oracle.requests))
	if complete != len(sim.oracle.requests) {
		t.Errorf("not every answer is complete:\n%s", table(sim.oracle.outcomes))
	}
}

// submitMany submits jobs through all entries in turn.
func (sim *simulation) submitMany(n int, entries []*process) {
	for i := range n {
		s := sim.newSubmission(identifier.Partition(i*4), "", 2, 5*time.Second)
		sim.submitTo(entries[i%len(entries)], s, coordinator.RequestSubmit)
	}
}

func (sim *simulation) resubmitOne(i int, p *process) {
	sim.submitTo(p, sim.oracle.submissions[i], coordinator.RequestSubmit)
}
