package cmd

import (
	"math/rand/v2"
	"testing"
	"time"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// TestAbortedUpstreamConnections runs an upstream that closes connections before or in
// the middle of its answers. A task that has started must not be sent again, and the
// outcomes must agree with the started tasks.
func TestAbortedUpstreamConnections(t *testing.T) {
	t.Parallel()
	const jobs, tasks = 60, 2
	f := startFleet(t, 1, 1)
	f.upstreams[0].kill()
	f.startUpstream(f.agentAddrs[0], "--tear-ratio", "0.2")
	ids := identifier.Generator{Random: rand.NewChaCha8([32]byte{3})}
	// The agent may still send tasks to the upstream that was killed.
	for reached := 0; reached == 0; {
		id := ids.New(time.Now()).String()
		<-f.submitAsync(0, id, job(1, time.Millisecond, time.Second))
		reached = len(f.starts(id))
	}

	counts := make(map[submitter.Outcome]int)
	answers := make(map[string]submitter.Answer)
	for range jobs {
		id := ids.New(time.Now()).String()
		answers[id] = <-f.submitAsync(0, id, job(tasks, time.Millisecond, 50*time.Second))
	}
	f.stopUpstreams()
	for id, answer := range answers {
		counts[answer.Outcome]++
		answers[id] = answer
	}
	// The output of the upstream has been read completely once it has exited.
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
		t.Error("want both complete and failed jobs")
	}
}
