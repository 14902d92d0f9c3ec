// Package owner decides the life of each submission at the entry that owns its
// partition.
//
// A submission becomes a job when it is first submitted. Each of its tasks waits
// for a place, is sent to one agent, and ends; a task that an agent refused goes
// back to waiting, and a task that may have started is never sent again. The job
// ends with one answer, which every request for the submission gets, and the job
// is kept with its answer for the deduplication window, also when the answer is
// that nothing ran: a late duplicate of the request must not start it then.
//
// A job may also be known from agents' records or from a former owner. It then
// has no specification until its submission arrives again.
//
// The package does no I/O: events come in with a time, and what is to be done is
// collected until [Owner.Take].
package owner

import (
	"time"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// Limits are the settings of an owner.
type Limits struct {
	// Window is how old a submission id may be. An answered job is kept for the
	// window and the permitted clock difference, counted from its answer.
	Window time.Duration
	// ClockDifference is how far in the future an id may be made.
	MaxClockSkew time.Duration
	// MaxRecordBytes bounds the memory of all jobs but for kept results. At the
	// bound new work is refused; nothing is forgotten.
	MaxRecordBytes int
	// MaxAnswerBytes bounds the results that are kept in answers. Beyond it the
	// oldest are dropped, and their submissions are answered with answer-lost.
	MaxAnswerBytes int
	// LostAfter is how long the tasks at an unreachable agent are awaited.
	AgentLossTimeout time.Duration
	// MaxReplacements bounds how often one task may be placed again after a refusal.
	MaxReschedules int
	// AbandonGrace is how long a job goes on when no request waits for it.
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
	digest     uint64 // digest is the digest of the other fields once it is known; 0 before.
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

// Requeue is a task that must be placed again.
type Requeue struct {
	Submission identifier.Submission
	Index      uint16
}

// Output is what the entry has to do.
type Output struct {
	Answers  []Answered
	Requeues []Requeue
	// Drops are submissions whose waiting tasks must leave the queue.
	Drops []identifier.Submission
	// Cancels are submissions to stop at an agent.
	Cancels []AgentJob
	// Settles are submissions whose results an agent may drop.
	Settles []AgentJob
}

// Owner is the state of all jobs that this entry owns.
type Owner struct {
	limits Limits
	// Rules are the decisions that at-most-once rests on.
	Rules Rules
	// Awaited reports whether requests for a recovered job may be on their way to
	// this owner, so that it is not yet known that nobody asks for the job.
	RequestsExpected func(now time.Time, s identifier.Submission) bool
	jobs             jobSet
	open             int                              // open counts the jobs in phase open.
	waiting          map[Waiter]*job                  // waiting has the job of each request that waits.
	keys             map[string]identifier.Submission // keys has the submission that holds each request key.
	agents           map[messenger.Peer]*agentJobs    // agents has the agents with tasks of open jobs.
	connected        map[messenger.Peer]bool
	lost             []lostAgent             // lost has the unreachable agents in order of loss.
	due              dueHeap                 // due has the times at which a job must be looked at.
	kept             []identifier.Submission // kept has the jobs with results, oldest first.
	latest           time.Time               // latest is the latest wall-clock time seen; it never goes back.
	bytes            int                     // bytes is the memory of all jobs but for kept results.
	results          int                     // results is the memory of kept results.
	out              Output
}

// New returns an owner without jobs.
func New(limits Limits) *Owner {
	return &Owner{
		limits:           limits,
		Rules:            DefaultRules(),
		RequestsExpected: func(time.Time, identifier.Submission) bool { return false },
		waiting:          make(map[Waiter]*job),
		keys:             make(map[string]identifier.Submission),
		agents:           make(map[messenger.Peer]*agentJobs),
		connected:        make(map[messenger.Peer]bool),
	}
}

// Jobs returns the number of jobs that are kept and of those without an answer.
func (o *Owner) Jobs() (kept, open int) { return o.jobs.count, o.open }

// Waiting returns the number of requests that wait for an answer.
func (o *Owner) Waiting() int { return len(o.waiting) }

// Bytes returns the memory that the jobs take, and that of kept results.
func (o *Owner) Bytes() (jobs, results int) { return o.bytes, o.results }

// Known reports whether the owner has a record of the submission.
func (o *Owner) Known(s identifier.Submission) bool { return o.jobs.get(s) != nil }

// Job returns the job of a submission that has no answer yet.
func (o *Owner) Job(s identifier.Submission) (Job, bool) {
	j := o.jobs.get(s)
	if j == nil || j.phase != phaseOpen {
		return Job{}, false
	}
	return j.spec, true
}

// Submit applies a request. It returns the tasks that must be placed: all of a
// new job, those that no agent has started of a recovered one, and none of a job
// that is known, to which the waiter is attached or whose answer it gets.
//
// A recovered job may be submitted only once every agent that may have started a
// task of it has answered the fence; [Owner.Attach] serves requests before that.
func (o *Owner) Submit(now time.Time, w Waiter, in Job) []uint16 {
	if j := o.jobs.get(in.Submission); j != nil {
		return o.resubmit(now, j, w, in)
	}
	if a := o.inadmissible(now, &in); a != nil {
		o.out.Answers = append(o.out.Answers, Answered{Waiter: w, Answer: a})
		return nil
	}
	j := o.add(newJob(&in))
	o.begin(now, j, in)
	o.wait(now, j, w, in.Deadline)
	if a := o.refusal(&in); a != nil {
		o.answer(now, j, a)
		return nil
	}
	o.holdKey(j)
	o.expireAtOnce(now, j)
	if j.phase != phaseOpen {
		return nil
	}
	return j.unsent()
}

// Attach lets a request wait for the answer of a known submission without
// bringing its tasks. It returns false if the submission is not known to the team.
func (o *Owner) Attach(now time.Time, w Waiter, s identifier.Submission, team string, deadline time.Time) bool {
	j := o.jobs.get(s)
	if j == nil || !j.belongsTo(team) {
		return false
	}
	o.serve(now, j, w, deadline)
	return true
}

// Abandon records that the caller of a request went away. A job for which no
// request waits is cancelled after the grace time, unless it is submitted again.
// A recovered job of which tasks may run counts as abandoned from the start.
func (o *Owner) Abandon(now time.Time, w Waiter) {
	j := o.waiting[w]
	if j == nil {
		return
	}
	o.unwait(now, j, w)
}

// Cancel ends a job without an answer. It returns false if the team has no such
// job.
func (o *Owner) Cancel(now time.Time, s identifier.Submission, team string) bool {
	j := o.jobs.get(s)
	if j == nil || !j.belongsTo(team) {
		return false
	}
	if o.runs(j) {
		o.stop(now, j, submitter.ReasonCancelled, "the job was cancelled")
	}
	return true
}

// Refuse ends a job that cannot be placed. The answer is not-run if none of its
// tasks may have started.
func (o *Owner) Refuse(now time.Time, s identifier.Submission, reason submitter.Reason, detail string, retryAfter time.Duration) {
	j := o.jobs.get(s)
	if j == nil || j.phase != phaseOpen {
		return
	}
	o.end(now, j, reason, detail, retryAfter)
}

// Tick applies the passing of time: deadlines, lost agents and the window.
func (o *Owner) Tick(now time.Time) {
	o.expireLost(now)
	for len(o.due) > 0 && !now.Before(o.due[0].at) {
		d := o.due.pop()
		if j := o.jobs.get(d.id); j != nil {
			o.expire(now, j)
		}
	}
}

// Take returns what is to be done and clears it.
func (o *Owner) Take() Output {
	out := o.out
	o.out = Output{}
	return out
}
