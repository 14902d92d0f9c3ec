package cmd

import (
	"math/rand/v2"
	"testing"
	"time"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// An upstream that closes connections before or in the middle of its answers gets
// each task once: what started is not sent again, and the answers say so.
func TestTornUpstreamConnections(t *testing.T) {
	t.Parallel()
	const jobs, tasks = 60, 2
	f := startFleet(t, 1, 1)
	f.upstreams[0].kill()
	f.startUpstream(f.agentAddrs[0], "--tear-ratio", "0.2")
	maker := identifier.Generator{Random: rand.NewChaCha8([32]byte{3})}
	// The agent may still call the first upstream.
	for reached := 0; reached == 0; {
		id := maker.New(time.Now()).String()
		<-f.submitAsync(0, id, job(1, time.Millisecond, time.Second))
		reached = len(f.starts(id))
	}

	counts := make(map[submitter.Outcome]int)
	answers := make(map[string]submitter.Answer)
	for range jobs {
		id := maker.New(time.Now()).String()
		answers[id] = <-f.submitAsync(0, id, job(tasks, time.Millisecond, 50*time.Second))
	}
	f.stopUpstreams()
	for id, answer := range answers {
		counts[answer.Outcome]++
		answers[id] = answer
	}
	// Only then has all that the upstream wrote been read.
	f.upstreams[1].kill()
	for id, answer := range answers {
		f.checkOnce(id)
		started := len(f.starts(id))
		switch {
		case answer.Outcome == submitter.OutcomeComplete && started != tasks,
			answer.Outcome == submitter.OutcomeNotRun && started != 0:
			t.Errorf("%s is %s and %d of %d tasks started", id, answer.Outcome, started, tasks)
		case answer.Outcome == submitter.OutcomeUnknown:
			t.Errorf("%s is unknown: %s", id, answer.Detail)
		}
	}
	t.Logf("answers: %v", counts)
	if counts[submitter.OutcomeComplete] == 0 || counts[submitter.OutcomeFailed] == 0 {
		t.Error("not both whole and torn connections were seen")
	}
}
