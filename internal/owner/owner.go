// Package owner implements the state machine of each submission at the entry that
// owns its partition.
//
// A submission becomes a job when it is first submitted. Each of its tasks waits
// to be scheduled, is sent to one agent, and ends. A task that an agent refused
// waits again; a task that may have started is never sent again. The job ends with
// one answer, which every request for the submission gets. The job and its answer
// are retained for the deduplication window, also when the answer is not-run: a
// late duplicate of the request must not start the job after that.
//
// A job may also be known from agents' records or from a former owner. It then
// has no specification until its submission arrives again.
//
// The package does no I/O: each event is passed in with its time, and the resulting
// actions are collected until [Owner.Take].
package owner

import (
	"time"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// Limits are the settings of an owner.
type Limits struct {
	// Window is the deduplication window: the greatest age of a submission id that
	// is accepted. An answered job is retained for Window plus MaxClockSkew from its
	// answer on.
	Window time.Duration
	// MaxClockSkew is how far in the future the time of a submission id may be.
	MaxClockSkew time.Duration
	// MaxRecordBytes bounds the memory of all jobs, without retained results. Beyond
	// it new jobs are refused; no record is evicted early.
	MaxRecordBytes int
	// MaxAnswerBytes bounds the results that are retained in answers. Beyond it the
	// oldest are dropped, and their submissions are answered with answer-lost.
	MaxAnswerBytes int
	// AgentLossTimeout is how long an agent may be disconnected before the jobs with
	// tasks there fail.
	AgentLossTimeout time.Duration
	// MaxReschedules bounds how often one task may be rescheduled after a refusal.
	MaxReschedules int
	// AbandonGrace is how long a job continues while no request waits for it.
	AbandonGrace time.Duration
}

// Waiter names a request that waits for an answer.
type Waiter struct {
	// Peer is the entry that forwarded the request; empty for a request of this entry.
	Peer   messenger.Peer
	Ticket uint64
}

// Job is a submission as it arrives at its owner.
type Job struct {
	Submission identifier.Submission
	Service    string
	Team       string
	RequestKey string
	Deadline   time.Time
	Tasks      []messenger.TaskSpec
	digest     uint64 // digest caches [Digest] of the job; 0 if it was not computed yet.
}

// Answered is an answer for one waiter.
type Answered struct {
	Waiter Waiter
	Answer *messenger.Answer
}

// AgentJob names a submission at an agent.
type AgentJob struct {
	Agent      messenger.Peer
	Submission identifier.Submission
}

// Requeue is a task that must be scheduled again.
type Requeue struct {
	Submission identifier.Submission
	Index      uint16
}

// Output holds the actions that the entry must carry out.
type Output struct {
	Answers  []Answered
	Requeues []Requeue
	// Drops are submissions whose waiting tasks must be removed from the queue.
	Drops []identifier.Submission
	// Cancels are submissions to cancel at an agent.
	Cancels []AgentJob
	// Settles are submissions whose results an agent may delete.
	Settles []AgentJob
}

// Owner is the state of all jobs that this entry owns.
type Owner struct {
	limits Limits
	// Rules are the checks that at-most-once execution depends on.
	Rules Rules
	// RequestsExpected reports whether requests for a recovered job may still be in
	// flight to this owner. Until they have arrived, the job is not abandoned.
	RequestsExpected func(now time.Time, s identifier.Submission) bool
	jobs             jobSet
	openCount        int // openCount is the number of jobs in phase open.
	jobOfWaiter      map[Waiter]*job
	// keyHolders maps each reserved request key to its submission.
	keyHolders map[string]identifier.Submission
	// agents holds the agents with tasks of jobs that have no answer.
	agents    map[messenger.Peer]*agentJobs
	connected map[messenger.Peer]bool
	// disconnected is in the order of disconnection.
	disconnected []disconnectedAgent
	timers       timerHeap
	// withResults holds the jobs whose results are retained, oldest first.
	withResults         []identifier.Submission
	latestTime          time.Time // latestTime is the latest wall-clock time seen; it never decreases.
	recordBytes         int       // recordBytes is the memory of all jobs without retained results.
	retainedResultBytes int
	out                 Output
}

// New returns an owner without jobs.
func New(limits Limits) *Owner {
	return &Owner{
		limits:           limits,
		Rules:            DefaultRules(),
		RequestsExpected: func(time.Time, identifier.Submission) bool { return false },
		jobOfWaiter:      make(map[Waiter]*job),
		keyHolders:       make(map[string]identifier.Submission),
		agents:           make(map[messenger.Peer]*agentJobs),
		connected:        make(map[messenger.Peer]bool),
	}
}

// Jobs returns the number of retained jobs and how many of them are open.
func (o *Owner) Jobs() (kept, open int) { return o.jobs.count, o.openCount }

// Waiting returns the number of requests that wait for an answer.
func (o *Owner) Waiting() int { return len(o.jobOfWaiter) }

// Bytes returns the memory of the jobs, and that of their retained results.
func (o *Owner) Bytes() (jobs, results int) { return o.recordBytes, o.retainedResultBytes }

// Known reports whether the owner has a record of the submission.
func (o *Owner) Known(s identifier.Submission) bool { return o.jobs.get(s) != nil }

// Job returns the open job of a submission.
func (o *Owner) Job(s identifier.Submission) (Job, bool) {
	j := o.jobs.get(s)
	if j == nil || j.phase != phaseOpen {
		return Job{}, false
	}
	return j.spec, true
}

// Submit applies a request. It returns the tasks that must be scheduled: all tasks
// of a new job, the tasks of a recovered job that no agent has started, and none of
// a job that is open or answered. In that last case the waiter is attached to the
// job or gets its answer.
//
// A recovered job may be submitted only once every agent that may have started a
// task of it has answered the fence; [Owner.Attach] serves requests before that.
func (o *Owner) Submit(now time.Time, w Waiter, in Job) []uint16 {
	if j := o.jobs.get(in.Submission); j != nil {
		return o.resubmit(now, j, w, in)
	}
	if a := o.rejection(now, &in); a != nil {
		o.out.Answers = append(o.out.Answers, Answered{Waiter: w, Answer: a})
		return nil
	}
	j := o.add(newJob(&in))
	o.openJob(now, j, in)
	o.addWaiter(now, j, w, in.Deadline)
	if a := o.refusal(&in); a != nil {
		o.answer(now, j, a)
		return nil
	}
	o.reserveKey(j)
	o.expireAtOnce(now, j)
	if j.phase != phaseOpen {
		return nil
	}
	return j.unsent()
}

// Attach lets a request that carries no tasks wait for the answer of a known
// submission. It returns false if the team has no such submission.
func (o *Owner) Attach(now time.Time, w Waiter, s identifier.Submission, team string, deadline time.Time) bool {
	j := o.jobs.get(s)
	if j == nil || !j.belongsTo(team) {
		return false
	}
	o.answerOrWait(now, j, w, deadline)
	return true
}

// Abandon records that the caller of a request has disconnected. A job for which no
// request waits is cancelled after the grace period, unless it is submitted again.
// A recovered job with tasks that may be running counts as abandoned from the start.
func (o *Owner) Abandon(now time.Time, w Waiter) {
	j := o.jobOfWaiter[w]
	if j == nil {
		return
	}
	o.removeWaiter(now, j, w)
}

// Cancel cancels a job that has no answer yet. It returns false if the team has no
// such job.
func (o *Owner) Cancel(now time.Time, s identifier.Submission, team string) bool {
	j := o.jobs.get(s)
	if j == nil || !j.belongsTo(team) {
		return false
	}
	if o.mayRun(j) {
		o.stop(now, j, submitter.ReasonCancelled, "the job was cancelled")
	}
	return true
}

// Refuse ends an open job that cannot be scheduled. The answer is not-run if none of
// its tasks may have started.
func (o *Owner) Refuse(now time.Time, s identifier.Submission, reason submitter.Reason, detail string, retryAfter time.Duration) {
	j := o.jobs.get(s)
	if j == nil || j.phase != phaseOpen {
		return
	}
	o.stopRetryAfter(now, j, reason, detail, retryAfter)
}

// Tick applies everything that expires with time: deadlines, grace periods,
// disconnected agents and the retention of answered jobs.
func (o *Owner) Tick(now time.Time) {
	o.expireDisconnected(now)
	for len(o.timers) > 0 && !now.Before(o.timers[0].at) {
		t := o.timers.pop()
		if j := o.jobs.get(t.id); j != nil {
			o.expire(now, j)
		}
	}
}

// Take returns the pending actions and clears them.
func (o *Owner) Take() Output {
	out := o.out
	o.out = Output{}
	return out
}
