package cmd

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"sardinelock.dev/sardinelock/pkg/submitter"
)

// TestOwnerKilledMidJob checks that running jobs complete after their owner is killed,
// for callers that wait at another entry and for callers that submit the job again,
// and that each task starts once.
func TestOwnerKilledMidJob(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 3, 3)
	const jobs = 12
	j := job(10, 300*time.Millisecond, 50*time.Second)
	ids := make([]string, jobs)
	first := make([]<-chan submitter.Answer, jobs)
	for i := range ids {
		ids[i] = submitter.NewSubmissionID("")
		first[i] = f.submitAsync(1, ids[i], j)
	}
	for _, id := range ids {
		f.awaitStarts(id, 1)
	}
	f.entries[0].kill()
	killed := time.Now()
	for i, id := range ids {
		again := <-f.submitAsync(2, id, j)
		for _, answer := range []submitter.Answer{<-first[i], again} {
			if answer.Outcome != submitter.OutcomeComplete {
				t.Errorf("%s: %s %s (%s), want complete", id, answer.Outcome, answer.Reason, answer.Detail)
			}
		}
	}
	t.Logf("all answers %s after the kill", time.Since(killed).Round(time.Millisecond))
	f.stopUpstreams()
	for _, id := range ids {
		f.checkOnce(id)
	}
}

// TestOwnerPausedPastItsLease pauses an owner until its lease has expired and another
// entry has taken over. After it resumes, no task may start twice.
func TestOwnerPausedPastItsLease(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 3, 3)
	const jobs = 24
	ids := make([]string, jobs)
	j := job(30, 200*time.Millisecond, 50*time.Second)
	answers := make([]<-chan submitter.Answer, jobs)
	for i := range ids {
		ids[i] = submitter.NewSubmissionID("")
		answers[i] = f.submitAsync(1+i%2, ids[i], j)
	}
	f.awaitStarts(ids[0], 1)
	f.entries[0].signal(syscall.SIGSTOP)
	time.Sleep(6 * time.Second)
	again := make([]<-chan submitter.Answer, jobs)
	for i := range ids {
		again[i] = f.submitAsync(1+(i+1)%2, ids[i], j)
	}
	f.entries[0].signal(syscall.SIGCONT)
	counts := make(map[submitter.Outcome]int)
	notRun := make(map[string]bool)
	for i := range ids {
		for _, answer := range []submitter.Answer{<-answers[i], <-again[i]} {
			counts[answer.Outcome]++
			notRun[ids[i]] = notRun[ids[i]] || answer.Outcome == submitter.OutcomeNotRun
		}
	}
	f.stopUpstreams()
	for _, id := range ids {
		if notRun[id] && len(f.starts(id)) > 0 {
			t.Errorf("%s is not-run but has started", id)
		}
		f.checkOnce(id)
	}
	t.Logf("answers: %v", counts)
	if counts[submitter.OutcomeComplete] == 0 {
		t.Error("no job is complete")
	}
}

// TestAgentKilledWithStartedTasks kills an agent that runs tasks of a job. The job must
// not complete, and none of its tasks may start a second time.
func TestAgentKilledWithStartedTasks(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 2, 3)
	id := submitter.NewSubmissionID("")
	j := job(30, 3*time.Second, 40*time.Second)
	first := f.submitAsync(0, id, j)
	f.awaitStarts(id, 12)
	f.agents[f.busiest(id)].kill()
	answer := <-first
	if answer.Outcome != submitter.OutcomeFailed && answer.Outcome != submitter.OutcomeUnknown {
		t.Errorf("outcome %s, want failed or unknown", answer.Outcome)
	}
	second := <-f.submitAsync(1, id, j)
	if second.Outcome != answer.Outcome || second.Reason != answer.Reason {
		t.Errorf("the job is %s %s, and %s %s when it is submitted again", answer.Outcome, answer.Reason, second.Outcome, second.Reason)
	}
	f.stopUpstreams()
	f.checkOnce(id)
}

// TestDrainOfEntryUnderLoad checks that no request fails while an entry drains.
func TestDrainOfEntryUnderLoad(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 3, 3)
	load := f.startLoad([]int{0, 1, 2})
	time.Sleep(2 * time.Second)
	load.exclude(0)
	f.entries[0].signal(syscall.SIGTERM)
	f.awaitExit(f.entries[0])
	time.Sleep(time.Second)
	load.check(t)
}

// TestDrainOfAgentUnderLoad checks that no request fails while an agent drains, and
// that the agent transfers its records to a successor.
func TestDrainOfAgentUnderLoad(t *testing.T) {
	t.Parallel()
	f := startFleet(t, 2, 3)
	load := f.startLoad([]int{0, 1})
	time.Sleep(time.Second)
	f.agents[0].signal(syscall.SIGTERM)
	f.awaitExit(f.agents[0])
	if text := f.agents[0].stderr.String(); !strings.Contains(text, `"event":"bequeathed"`) {
		t.Errorf("the agent found no successor for its records: %s", text)
	}
	time.Sleep(time.Second)
	load.check(t)
}

func (f *fleet) awaitExit(p *process) {
	f.t.Helper()
	select {
	case <-p.exited:
	case <-time.After(conditionTimeout):
		f.t.Fatalf("the process does not exit: %s", p.stderr.String())
	}
	if code := p.cmd.ProcessState.ExitCode(); code != 0 {
		f.t.Errorf("exit code %d, want 0: %s", code, p.stderr.String())
	}
}

// load submits jobs from concurrent workers until check is called.
type load struct {
	fleet *fleet
	stop  chan struct{}
	wg    sync.WaitGroup

	mu       sync.Mutex
	entries  []int
	answers  int
	failures []string
}

const loadWorkers = 8

func (f *fleet) startLoad(entries []int) *load {
	l := &load{fleet: f, stop: make(chan struct{}), entries: entries}
	for worker := range loadWorkers {
		l.wg.Go(func() { l.run(worker) })
	}
	return l
}

// exclude sends no further jobs to an entry, like a balancer.
func (l *load) exclude(entry int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var kept []int
	for _, e := range l.entries {
		if e != entry {
			kept = append(kept, e)
		}
	}
	l.entries = kept
}

func (l *load) run(worker int) {
	for n := worker; ; n++ {
		select {
		case <-l.stop:
			return
		default:
		}
		l.mu.Lock()
		entry := l.entries[n%len(l.entries)]
		l.mu.Unlock()
		id := submitter.NewSubmissionID("")
		answer := <-l.fleet.submitAsync(entry, id, job(1+n%4, 50*time.Millisecond, 30*time.Second))
		l.mu.Lock()
		l.answers++
		if answer.Outcome != submitter.OutcomeComplete {
			l.failures = append(l.failures, fmt.Sprintf("entry %d: %s %s %s", entry, answer.Outcome, answer.Reason, answer.Detail))
		}
		l.mu.Unlock()
	}
}

// check stops the load and fails the test if a job did not complete or a task started
// more than once.
func (l *load) check(t *testing.T) {
	t.Helper()
	close(l.stop)
	l.wg.Wait()
	t.Logf("%d jobs, %d not complete", l.answers, len(l.failures))
	if l.answers == 0 {
		t.Error("no job was answered")
	}
	for i, failure := range l.failures {
		if i < 10 {
			t.Error(failure)
		}
	}
	l.fleet.stopUpstreams()
	l.fleet.checkAllOnce()
	if os.Getenv("SARDINELOCK_VERBOSE") != "" {
		for _, p := range l.fleet.entries {
			t.Log(p.stderr.String())
		}
	}
}
