package assigner

import (
	"cmp"
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
)

// runStep is the amount by which a job's run numbers are raised when an upstream has seen
// a higher one from an entry that owned the job before, or when the job is resubmitted.
const runStep = 16

type job struct {
	Job
	arrived      time.Duration // when the request reached this machine
	earliest     time.Duration // when that was at the earliest
	expected     time.Duration // expected run time of the longest chain of steps
	objective    time.Duration // latest time at which an answer is in time
	latestUseful time.Duration // time after which an answer is of no use
	deadline     time.Duration // when the caller's timeout ends, less AnswerMargin
	tasks        []*task
	unfinished   []int // number of tasks that are not done, by step
	launched     bool  // whether a task was sent to an agent
	launchAt     time.Duration
	lastLaunchAt time.Duration // when a task was last launched
	ran          bool          // whether a task may have run
	running      int           // number of tasks that may be running
	withoutPlace bool          // whether a waiting task has no upstream left that is not being evacuated
	answered     bool          // an answered job is kept until none of its tasks may be running
	// probedAt is when the caller's connection was last probed, and gone what that showed.
	probedAt    time.Duration
	gone        bool
	toldAt      time.Duration // when the other entries were last told of the job; 0 if they were not
	recalled    bool          // whether another entry waits until none of its tasks may be running
	elsewhere   bool          // whether an earlier submission may run at another entry
	baseRun     uint64
	replacement *job     // resubmission of the same ID, admitted once this job is removed
	size        int64    // memory that the job takes; part of Assigner.held until the job is answered
	shortage    Shortage // shortage is set when the job is rejected.
}

// state is the state of a task.
type state string

const (
	stateBlocked  state = "blocked" // The steps that it depends on are not done.
	statePending  state = "pending"
	stateLaunched state = "launched"
	stateDeparted state = "departed" // Its agent has disconnected, and it may still run.
	stateDone     state = "done"
	stateDropped  state = "dropped" // The job does not need it any more.
)

type task struct {
	job  *job
	ref  messenger.TaskRef
	step *Step
	// share is the part of its resources that the task counts for while it waits: of tasks that run one
	// after the other, one at a time needs them.
	share    messenger.Resources
	state    state
	run      uint64
	failures int
	returns  int // number of launches that an agent returned
	// maxWait is the longest expected wait at an agent with which the task is launched, as of the latest pass.
	maxWait time.Duration
	// deferred reports whether the latest pass has not launched the task at an upstream with free capacity because
	// the job can only be in time at a faster one.
	deferred bool
	// lostAgents is the number of agents that were lost while the task was at them.
	lostAgents int
	agent      *agent // where the task is launched; nil if it is not
	expected   time.Duration
	avoid      []string // instances at which a run of the task ended badly
	// hazardous and suspicion are as of the latest pass: whether the queue is hazardous, and
	// the latest crash that the task may have caused, or nil.
	hazardous bool
	suspicion *crashRecord
	// suspectsPerUpstream is the number of tasks with the same suspicion that may run at one
	// upstream.
	suspectsPerUpstream int
	// outstanding has the starts of the task, as of the latest pass, that upstreams may still
	// carry out. The task is launched only where all of these are.
	outstanding []*outstandingStart
	// heldUntil is until when a task with outstanding starts is not launched again after the
	// upstream has refused it.
	heldUntil time.Duration
}

// Submit adds a job. Its answer may be in the next output.
func (a *Assigner) Submit(now time.Duration, s Job) {
	j := a.newJob(now, s)
	if old := a.jobs[s.ID]; old != nil {
		a.supersede(now, old, j)
	} else {
		a.admit(now, j)
	}
	a.rejectExcess(now)
}

// supersede replaces a job by a resubmission of the same ID. Either the caller has given
// up on the first request, or that request has been answered.
func (a *Assigner) supersede(now time.Duration, old, j *job) {
	a.giveUpSubmissions(now, old, "resubmitted")
	j.baseRun = old.baseRun + runStep
	old.replacement = j
	a.forget(now, old)
}

func (a *Assigner) newJob(now time.Duration, s Job) *job {
	j := &job{Job: s, arrived: s.arrival(now), earliest: a.earliestArrival(now, &s), probedAt: -1, unfinished: make([]int, len(s.Steps)), size: s.size()}
	a.held += j.size
	for i := range s.Steps {
		step := &s.Steps[i]
		j.unfinished[i] = step.Count
		share := step.Resources.Scale(1 / float64(a.rounds(j, step)))
		for n := range step.Count {
			j.tasks = append(j.tasks, &task{job: j, ref: messenger.TaskRef{Job: s.ID, Step: i, Index: n}, step: step, share: share, state: stateBlocked})
		}
	}
	q := a.queue(s.Queue)
	q.addDemand(now, &s)
	if a.firstJobAt == 0 {
		a.firstJobAt = now
	}
	j.deadline = j.arrived + s.CallerTimeout - a.limits.AnswerMargin
	j.estimate(q.expect)
	return j
}

// lateFactor is the number of objectives after which an answer is of no use. Up to that
// time, the service-level agreement counts it as late.
const lateFactor = 3

// admit starts a job, or rejects it if it cannot complete in time.
func (a *Assigner) admit(now time.Duration, j *job) {
	a.jobs[j.ID] = j
	a.unblock(j)
	if a.closing {
		a.reject(now, j, "shutting-down", 0)
		return
	}
	if i := slices.IndexFunc(j.tasks, func(t *task) bool { return a.crashes.givenUp(t.ref) }); i >= 0 {
		a.failCrashing(now, j, j.tasks[i].ref)
		return
	}
	fitting, wait := a.outlook(now, j)
	isLate := func() bool { return now+wait+j.expected > j.latestUseful }
	if isLate() {
		a.checkEstimate(now, j, wait)
	}
	switch {
	case !fitting && len(a.evacuated) > 0:
		a.reject(now, j, "evacuated", 0)
	case !fitting:
		a.reject(now, j, "fits-no-upstream", 0)
	case now+a.leastTime(j) > j.deadline && !a.settling(now):
		a.reject(now, j, "too-late", 0)
	case isLate() && !a.settling(now):
		reason := "overload"
		switch {
		case a.outage(now) > 0:
			reason = "no-upstream"
		case a.crashes.hazardous(now, j.Queue):
			reason = "confined"
		case now+j.expected > j.latestUseful:
			reason = "too-late"
		}
		a.reject(now, j, reason, wait)
	}
}

// unblock makes the tasks pending for which all earlier steps are done.
func (a *Assigner) unblock(j *job) {
	for _, t := range j.tasks {
		if t.state == stateBlocked && !slices.ContainsFunc(t.step.After, func(b int) bool { return j.unfinished[b] > 0 }) {
			a.makePending(t)
		}
	}
}

// makePending adds a task to those that wait to be scheduled.
func (a *Assigner) makePending(t *task) {
	t.state = statePending
	t.agent = nil
	a.pending = append(a.pending, t)
	a.unsorted = true
}

// CallerLeft applies the end of a caller's connection: the job is dropped without an
// answer.
func (a *Assigner) CallerLeft(now time.Duration, id string, ticket uint64) {
	for j := a.jobs[id]; j != nil; j = j.replacement {
		if j.Ticket == ticket && !j.answered {
			a.setAnswered(j)
			a.logDecision(Decision{Event: "caller-left", Task: messenger.TaskRef{Job: id}, Reason: j.progress(), JobAge: now - j.arrived})
			a.drop(j)
			if a.jobs[id] == j {
				a.forget(now, j)
			}
			return
		}
	}
}

// callerGone reports whether the caller's connection has ended. It probes the connection once for
// all tasks of a pass.
func (j *job) callerGone(now time.Duration) bool {
	if j.CallerGone != nil && j.probedAt != now {
		j.probedAt, j.gone = now, j.CallerGone()
	}
	return j.gone
}

// dropGone drops the jobs whose callers were found to have left when a task was about to be
// launched.
func (a *Assigner) dropGone(now time.Duration) {
	for _, j := range a.gone {
		a.CallerLeft(now, j.ID, j.Ticket)
	}
	a.gone = a.gone[:0]
}

// progress returns whether a task of the job was launched, for the log.
func (j *job) progress() string {
	if j.launched {
		return "launched"
	}
	return "waiting"
}

// unanswered returns the submission of the job that has no answer: the job itself, or the
// resubmission that waits until the job is removed. It returns nil if there is none.
func (j *job) unanswered() *job {
	for j != nil && j.answered {
		j = j.replacement
	}
	return j
}

// Cancel ends a job. It reports whether the job was known and had no answer yet.
func (a *Assigner) Cancel(now time.Duration, id string) bool {
	j := a.jobs[id].unanswered()
	if j == nil {
		return false
	}
	a.finish(now, j, OutcomeCancelled, "cancelled", 0)
	return true
}

// Known reports whether a job is known and has no answer yet, and whether any of its
// tasks was launched.
func (a *Assigner) Known(id string) (known, launched bool) {
	j := a.jobs[id].unanswered()
	if j == nil {
		return false, false
	}
	return true, j.launched
}

// StopAdmitting makes the assigner reject all jobs that are submitted from now on.
func (a *Assigner) StopAdmitting() { a.closing = true }

// AbandonAll answers every job that has no answer yet, because the process shuts down.
func (a *Assigner) AbandonAll(now time.Duration) {
	for _, j := range a.sortedJobs() {
		if open := j.unanswered(); open != nil {
			a.abandon(now, open, "shutting-down", 0)
		}
	}
}

// abandon answers a job that will not complete: as given up if any of its tasks may have
// run, and as rejected otherwise.
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
	j.shortage = a.shortage(now, j)
	a.finish(now, j, OutcomeRejected, reason, a.retryDelay(max(wait, now-a.rejectingAt)))
}

const (
	// minRetryAfter is the least delay after which a rejected caller may retry, since the
	// header has whole seconds.
	minRetryAfter = time.Second
	// overloadGap is the time without a rejection after which an overload has ended.
	overloadGap = time.Second
)

// retryDelay returns the delay after which a rejected caller may retry, given how long the
// work ahead takes to drain or, if that is longer, how long the overload has lasted. It
// adds jitter of up to the same time, so that callers do not retry together.
func (a *Assigner) retryDelay(wait time.Duration) time.Duration {
	wait = max(wait, minRetryAfter)
	return wait + time.Duration(a.random.Int64N(int64(wait)))
}

// finish answers a job and drops its remaining tasks.
func (a *Assigner) finish(now time.Duration, j *job, o Outcome, reason string, retryAfter time.Duration) {
	a.setAnswered(j)
	a.answer(now, j, o, reason, retryAfter)
	a.drop(j)
	a.forget(now, j)
}

// setAnswered marks a job that had no answer as answered, so that its memory is no longer counted.
func (a *Assigner) setAnswered(j *job) {
	j.answered = true
	a.held -= j.size
}

func (a *Assigner) answer(now time.Duration, j *job, o Outcome, reason string, retryAfter time.Duration) {
	waited := now - j.arrived
	if j.launched {
		waited = j.launchAt - j.arrived
	}
	a.out.Answers = append(a.out.Answers, Answer{
		Ticket: j.Ticket, Job: j.ID, Queue: j.Queue, Outcome: o, Reason: reason,
		RetryAfter: retryAfter, Elapsed: now - j.arrived, QueueTime: waited, Launched: j.launched,
		Shortage: j.shortage,
	})
}

// drop withdraws the launched tasks of a job and removes its waiting ones.
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
	j.tasks = slices.DeleteFunc(j.tasks, func(t *task) bool { return t.state == stateDropped })
}

// forget removes an answered job once none of its tasks may be running, and admits its
// resubmission if there is one.
func (a *Assigner) forget(now time.Duration, j *job) {
	if !j.answered || j.running > 0 || a.jobs[j.ID] != j {
		return
	}
	delete(a.jobs, j.ID)
	if j.recalled {
		a.out.Recalled = append(a.out.Recalled, j.ID)
	}
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

// rejectPending rejects the jobs that have run nothing and have a pending task for which
// holds returns true.
func (a *Assigner) rejectPending(now time.Duration, reason string, holds func(*task) bool) {
	for {
		i := slices.IndexFunc(a.pending, func(t *task) bool {
			return !t.job.answered && t.job.running == 0 && !t.job.ran && holds(t)
		})
		if i < 0 {
			return
		}
		a.rejectWaiting(now, a.pending[i].job, reason)
	}
}

// rejectWaiting rejects a job that has run nothing.
func (a *Assigner) rejectWaiting(now time.Duration, j *job, reason string) {
	_, wait := a.outlook(now, j)
	a.reject(now, j, reason, wait)
}

// rejectTooLate rejects the jobs whose answer would come too late to be of use.
func (a *Assigner) rejectTooLate(now time.Duration) {
	a.rejectPending(now, "too-late", func(t *task) bool { return a.tooLate(now, t) })
}

// tooLate reports whether the end of a task that has not started would come too late for
// its job's answer to be of use.
func (a *Assigner) tooLate(now time.Duration, t *task) bool {
	return now+a.startDelay(now, t.job)+t.expected > t.job.latestUseful
}

// rejectDisplaced rejects the jobs that would be late while tasks that can still be in
// time find no capacity, because those take precedence. Deferred tasks do not compete with them: there is free
// capacity, and it is used once no faster upstream can complete the job in time.
func (a *Assigner) rejectDisplaced(now time.Duration) {
	if (a.lacksCapacity || a.lacksExposed) && !a.settling(now) {
		a.rejectPending(now, "overtaken", func(t *task) bool {
			lacking := a.lacksCapacity
			if t.hazardous {
				lacking = a.lacksExposed
			}
			return lacking && t.latestStart() < now && !t.deferred
		})
	}
}

// checkDeadlines abandons the jobs whose callers are about to time out. It rejects the
// resubmissions that wait for earlier runs and are too late: their tasks are not pending.
func (a *Assigner) checkDeadlines(now time.Duration) {
	var due, late []*job
	for _, j := range a.jobs {
		if !j.answered && now >= j.deadline {
			due = append(due, j)
		}
		if r := j.replacement; r != nil && !r.answered && slices.ContainsFunc(r.tasks, func(t *task) bool { return a.tooLate(now, t) }) {
			late = append(late, r)
		}
	}
	byTicket := func(x, y *job) int { return cmp.Compare(x.Ticket, y.Ticket) }
	slices.SortFunc(due, byTicket)
	for _, j := range due {
		a.abandon(now, j, "deadline", 0)
	}
	slices.SortFunc(late, byTicket)
	for _, j := range late {
		a.rejectWaiting(now, j, "too-late")
	}
}
