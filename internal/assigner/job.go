package assigner

import (
	"cmp"
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
)

// runStep is by how much the runs of a job rise when an upstream has seen a higher
// one, from another entry that owned the job before.
const runStep = 16

type job struct {
	Job
	arrived      time.Duration
	expected     time.Duration // expected is the longest chain of work, as it is expected.
	objective    time.Duration // objective is when the answer is in time.
	latestUseful time.Duration // useless is when the answer is worth nothing any more.
	deadline     time.Duration // deadline is when the caller leaves.
	tasks        []*task
	unfinished   []int // left counts the tasks of each step that are not done.
	launched     bool  // launched means that a task was sent to an agent.
	launchAt     time.Duration
	ran          bool // ran means that a task may have run.
	running      int  // out counts the tasks that may be at work.
	answered     bool // answered means that the job is only kept until nothing of it is at work.
	baseRun      uint64
	replacement  *job // next is a job of the same id, which begins when this one has ended.
}

// state is where a task stands.
type state string

const (
	stateBlocked  state = "blocked" // stateBlocked means that steps before it are not done.
	statePending  state = "pending"
	stateLaunched state = "launched"
	stateDeparted state = "departed" // stateDeparted means that its agent is away.
	stateDone     state = "done"
	stateDropped  state = "dropped" // stateDropped means that the job needs it no more.
)

type task struct {
	job      *job
	ref      messenger.TaskRef
	step     *Step
	state    state
	run      uint64
	failures int
	agent    *agent // agent is where the task was launched last.
	expected time.Duration
	avoid    []string // avoid has the instances where the task did badly.
}

// Submit takes a job. Its answer may be in the next output.
func (a *Assigner) Submit(now time.Duration, s Job) {
	j := a.newJob(now, s)
	if old := a.jobs[s.ID]; old != nil {
		a.supersede(now, old, j)
		return
	}
	a.admit(now, j)
}

// supersede replaces a job by a repeated submission of the same id. The caller has
// given up on the first request, or it has been answered.
func (a *Assigner) supersede(now time.Duration, old, j *job) {
	if !old.answered {
		a.logDecision(Decision{Event: "job-resubmitted", Task: messenger.TaskRef{Job: j.ID}})
		a.drop(old)
		old.answered = true
		a.answer(now, old, OutcomeGivenUp, "resubmitted", 0)
	}
	if last := old.replacement; last != nil {
		last.answered = true
		a.answer(now, last, OutcomeGivenUp, "resubmitted", 0)
	}
	j.baseRun = old.baseRun + runStep
	old.replacement = j
	a.forget(now, old)
}

func (a *Assigner) newJob(now time.Duration, s Job) *job {
	j := &job{Job: s, arrived: now, unfinished: make([]int, len(s.Steps))}
	q := a.queue(s.Queue)
	chain := make([]time.Duration, len(s.Steps))
	for i := range s.Steps {
		step := &s.Steps[i]
		expected := q.expect(step.DeclaredRunTime)
		var before time.Duration
		for _, b := range step.After {
			before = max(before, chain[b])
		}
		chain[i] = before + expected
		j.expected = max(j.expected, chain[i])
		j.unfinished[i] = step.Count
		for n := range step.Count {
			j.tasks = append(j.tasks, &task{
				job: j, ref: messenger.TaskRef{Job: s.ID, Step: i, Index: n}, step: step,
				state: stateBlocked, expected: expected,
			})
		}
	}
	objective := time.Duration(s.SlowdownFactor*float64(j.expected)) + s.LatencyAllowance
	j.objective = now + objective
	j.deadline = now + s.CallerTimeout - a.limits.AnswerMargin
	j.latestUseful = min(j.deadline, now+lateFactor*objective)
	return j
}

// lateFactor is how many objectives a job may take until its answer is worth
// nothing: the services' agreement counts an answer as late up to there.
const lateFactor = 3

// admit begins a job, or rejects it if it cannot end in time.
func (a *Assigner) admit(now time.Duration, j *job) {
	a.jobs[j.ID] = j
	a.unblock(j)
	if a.closing {
		a.reject(now, j, "shutting-down", 0)
		return
	}
	fitting, wait := a.outlook(now, j)
	switch {
	case !fitting:
		a.reject(now, j, "fits-no-upstream", 0)
	case now+wait+j.expected > j.latestUseful && !a.settling(now):
		reason := "overload"
		if a.outage(now) > 0 {
			reason = "no-upstream"
		}
		a.reject(now, j, reason, wait)
	}
}

// unblock makes the tasks pending whose earlier steps are done.
func (a *Assigner) unblock(j *job) {
	for _, t := range j.tasks {
		if t.state == stateBlocked && !slices.ContainsFunc(t.step.After, func(b int) bool { return j.unfinished[b] > 0 }) {
			a.makePending(t)
		}
	}
}

// suspend puts a task among those that wait for a place.
func (a *Assigner) makePending(t *task) {
	t.state = statePending
	t.agent = nil
	a.pending = append(a.pending, t)
	a.unsorted = true
}

// Leave takes the end of a caller's connection: nobody waits for the answer.
func (a *Assigner) CallerLeft(now time.Duration, id string, ticket uint64) {
	for j := a.jobs[id]; j != nil; j = j.replacement {
		if j.Ticket == ticket && !j.answered {
			j.answered = true
			a.logDecision(Decision{Event: "caller-left", Task: messenger.TaskRef{Job: id}})
			a.drop(j)
			if a.jobs[id] == j {
				a.forget(now, j)
			}
			return
		}
	}
}

// Cancel ends a job. It reports whether the job is known.
func (a *Assigner) Cancel(now time.Duration, id string) bool {
	j := a.jobs[id]
	if j == nil || j.answered {
		return false
	}
	a.finish(now, j, OutcomeCancelled, "cancelled", 0)
	return true
}

// Known reports whether a job has no answer yet, and whether tasks were launched.
func (a *Assigner) Known(id string) (known, launched bool) {
	j := a.jobs[id]
	if j == nil || j.answered {
		return false, false
	}
	return true, j.launched
}

// Close makes the assigner reject what comes from now on.
func (a *Assigner) StopAdmitting() { a.closing = true }

// GiveUp ends every job that has no answer, for the end of the process.
func (a *Assigner) AbandonAll(now time.Duration) {
	for _, j := range a.sortedJobs() {
		if !j.answered {
			a.abandon(now, j, "shutting-down", 0)
		}
	}
}

// abandon answers a job that will not be completed, with the truth about what ran.
func (a *Assigner) abandon(now time.Duration, j *job, reason string, wait time.Duration) {
	if j.ran || j.running > 0 {
		a.finish(now, j, OutcomeGivenUp, reason, 0)
		return
	}
	a.reject(now, j, reason, wait)
}

func (a *Assigner) reject(now time.Duration, j *job, reason string, wait time.Duration) {
	if now-a.rejectedAt > overloadGap {
		a.rejectingAt = now
	}
	a.rejectedAt = now
	a.finish(now, j, OutcomeRejected, reason, a.retryDelay(max(wait, now-a.rejectingAt)))
}

const (
	// minRetryAfter is the least time after which a rejected caller may come back, in the
	// whole seconds of the header.
	minRetryAfter = time.Second
	// lullAfter is the time without a rejection after which an overload is over.
	overloadGap = time.Second
)

// comeBack returns when a rejected caller may come back: when what is ahead has drained,
// or the overload has lasted for twice as long, and later by a part of that, so that
// callers do not return together.
func (a *Assigner) retryDelay(wait time.Duration) time.Duration {
	wait = max(wait, minRetryAfter)
	return wait + time.Duration(a.random.Int64N(int64(wait)))
}

// finish answers a job and drops what is left of it.
func (a *Assigner) finish(now time.Duration, j *job, o Outcome, reason string, retryAfter time.Duration) {
	j.answered = true
	a.answer(now, j, o, reason, retryAfter)
	a.drop(j)
	a.forget(now, j)
}

func (a *Assigner) answer(now time.Duration, j *job, o Outcome, reason string, retryAfter time.Duration) {
	waited := now - j.arrived
	if j.launched {
		waited = j.launchAt - j.arrived
	}
	a.out.Answers = append(a.out.Answers, Answer{
		Ticket: j.Ticket, Job: j.ID, Queue: j.Queue, Outcome: o, Reason: reason,
		RetryAfter: retryAfter, Took: now - j.arrived, Waited: waited, Launched: j.launched,
	})
}

// drop withdraws what is at work and forgets what waits.
func (a *Assigner) drop(j *job) {
	for _, t := range j.tasks {
		switch t.state {
		case stateLaunched:
			if t.agent != nil {
				t.agent.withdraws = append(t.agent.withdraws, messenger.Withdraw{Task: t.ref, Run: t.run})
			}
		case stateBlocked, statePending:
			t.state = stateDropped
		}
	}
	a.pending = slices.DeleteFunc(a.pending, func(t *task) bool { return t.job == j })
}

// forget removes an answered job of which nothing is at work, and begins the next
// one of the same id.
func (a *Assigner) forget(now time.Duration, j *job) {
	if !j.answered || j.running > 0 || a.jobs[j.ID] != j {
		return
	}
	delete(a.jobs, j.ID)
	next := j.replacement
	if next == nil || next.answered {
		return
	}
	next.baseRun = max(next.baseRun, j.baseRun+runStep)
	a.admit(now, next)
}

func (a *Assigner) sortedJobs() []*job {
	jobs := make([]*job, 0, len(a.jobs))
	for _, j := range a.jobs {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(x, y *job) int { return int(x.arrived - y.arrived) })
	return jobs
}

// rejectPending rejects the jobs of which nothing was started and that a condition
// holds for.
func (a *Assigner) rejectPending(now time.Duration, reason string, holds func(*task) bool) {
	for {
		i := slices.IndexFunc(a.pending, func(t *task) bool {
			return !t.job.answered && t.job.running == 0 && !t.job.ran && holds(t)
		})
		if i < 0 {
			return
		}
		j := a.pending[i].job
		_, wait := a.outlook(now, j)
		a.reject(now, j, reason, wait)
	}
}

// rejectUseless rejects the jobs whose answer would be worth nothing.
func (a *Assigner) rejectTooLate(now time.Duration) {
	start := now + a.outage(now)
	a.rejectPending(now, "too-late", func(t *task) bool { return start+t.expected > t.job.latestUseful })
}

// rejectOvertaken rejects the jobs that can only be late, while others find no room
// that can still be in time: they come first.
func (a *Assigner) rejectDisplaced(now time.Duration) {
	if a.lacksCapacity && !a.settling(now) {
		a.rejectPending(now, "overtaken", func(t *task) bool { return t.latestStart() < now })
	}
}

// checkDeadlines gives up the jobs whose callers are about to leave.
func (a *Assigner) checkDeadlines(now time.Duration) {
	var due []*job
	for _, j := range a.jobs {
		if !j.answered && now >= j.deadline {
			due = append(due, j)
		}
	}
	slices.SortFunc(due, func(x, y *job) int { return cmp.Compare(x.Ticket, y.Ticket) })
	for _, j := range due {
		a.abandon(now, j, "deadline", 0)
	}
}
