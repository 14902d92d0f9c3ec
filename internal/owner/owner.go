// Package owner decides the life of each submission at the entry that owns its
// partition.
//
// A submission becomes a job when it is first submitted. Each of its tasks waits
// for a place, is sent to one agent, and ends; a task that an agent refused goes
// back to waiting, and a task that may have started is never sent again. The job
// ends with one answer, which every request for the submission gets, and the job
// is kept with its answer for the deduplication window. The package does no I/O:
// events come in with a time, and what is to be done is collected until
// [Owner.Take].
package owner

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// Limits are the settings of an owner.
type Limits struct {
	// Window is how long an answered job is kept, counted from its answer.
	Window time.Duration
	// MaxJobs bounds the jobs that are kept, answered or not.
	MaxJobs int
	// LostAfter is how long the tasks at an unreachable agent are awaited.
	LostAfter time.Duration
	// MaxReplacements bounds how often one task may be placed again after a refusal.
	MaxReplacements int
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
	jobs   map[identifier.Submission]*job
	open   map[identifier.Submission]*job // open has the jobs without an answer.
	lost   map[messenger.Peer]time.Time   // lost has the agents that went away, with the time.
	out    Output
}

// New returns an owner without jobs.
func New(limits Limits) *Owner {
	return &Owner{
		limits: limits,
		jobs:   make(map[identifier.Submission]*job),
		open:   make(map[identifier.Submission]*job),
		lost:   make(map[messenger.Peer]time.Time),
	}
}

// Jobs returns the number of jobs that are kept and of those without an answer.
func (o *Owner) Jobs() (kept, open int) { return len(o.jobs), len(o.open) }

// Submit applies a request. It returns the tasks that must be placed: all of a
// new job, those that no agent has started of a recovered one, and none of a job
// that is known, to which the waiter is attached or whose answer it gets.
func (o *Owner) Submit(now time.Time, w Waiter, in Job) []uint16 {
	digest := fingerprint(&in)
	if j := o.jobs[in.Submission]; j != nil {
		o.attach(j, w, digest)
		return nil
	}
	if len(o.jobs) >= o.limits.MaxJobs {
		o.out.Answers = append(o.out.Answers, Answered{Waiter: w, Answer: &messenger.Answer{
			Submission: in.Submission,
			Outcome:    string(submitter.OutcomeNotRun),
			Reason:     string(submitter.ReasonMemoryLimit),
			Detail:     "the entry keeps as many jobs as its limit allows",
			RetryAfter: time.Second,
		}})
		return nil
	}
	j := newJob(now, in, digest)
	j.waiters = append(j.waiters, w)
	o.jobs[in.Submission] = j
	o.open[in.Submission] = j
	return j.unsent()
}

// Job returns the job of a submission that has no answer yet.
func (o *Owner) Job(s identifier.Submission) (Job, bool) {
	j := o.open[s]
	if j == nil {
		return Job{}, false
	}
	return j.spec, true
}

// Sent records that tasks of a submission were sent to an agent.
func (o *Owner) Sent(s identifier.Submission, agent messenger.Peer, tasks []uint16) {
	j := o.open[s]
	if j == nil {
		return
	}
	for _, index := range tasks {
		t := &j.tasks[index]
		t.state = taskSent
		t.agent = agent
	}
	j.everSent = true
}

// Result applies the results of an agent. Results of unknown submissions and
// those that come twice have no effect.
func (o *Owner) Result(now time.Time, agent messenger.Peer, r *messenger.Result) {
	j := o.open[r.Submission]
	if j == nil {
		return
	}
	for i := range r.Tasks {
		if j.answer != nil {
			return
		}
		o.taskResult(now, j, agent, &r.Tasks[i])
	}
}

// Refuse answers a job of which nothing was sent with not-run.
func (o *Owner) Refuse(now time.Time, s identifier.Submission, reason submitter.Reason, detail string, retryAfter time.Duration) {
	j := o.open[s]
	if j == nil || j.everSent {
		return
	}
	o.answer(now, j, &messenger.Answer{
		Outcome:    string(submitter.OutcomeNotRun),
		Reason:     string(reason),
		Detail:     detail,
		RetryAfter: retryAfter,
	})
}

// Cancel ends a job without an answer.
func (o *Owner) Cancel(now time.Time, s identifier.Submission) {
	if j := o.open[s]; j != nil {
		o.stop(now, j, submitter.ReasonCancelled, "the job was cancelled")
	}
}

// AgentUp records that an agent is connected.
func (o *Owner) AgentUp(agent messenger.Peer) { delete(o.lost, agent) }

// AgentDown records that the connection to an agent ended.
func (o *Owner) AgentDown(now time.Time, agent messenger.Peer) { o.lost[agent] = now }

// Tick applies the passing of time: deadlines, lost agents and the window.
func (o *Owner) Tick(now time.Time) {
	for _, j := range o.open {
		if !now.Before(j.spec.Deadline) {
			o.stop(now, j, submitter.ReasonDeadlineExceeded, "the deadline passed before every task had ended")
		}
	}
	for agent, since := range o.lost {
		if now.Sub(since) >= o.limits.LostAfter {
			o.failTasksAt(now, agent)
			delete(o.lost, agent)
		}
	}
	for id, j := range o.jobs {
		if j.answer != nil && now.Sub(j.answeredAt) > o.limits.Window {
			delete(o.jobs, id)
		}
	}
}

// Take returns what is to be done and clears it.
func (o *Owner) Take() Output {
	out := o.out
	o.out = Output{}
	return out
}

// attach adds a waiter to a known job, or answers it.
func (o *Owner) attach(j *job, w Waiter, digest [sha256.Size]byte) {
	switch {
	case digest != j.fingerprint:
		o.out.Answers = append(o.out.Answers, Answered{Waiter: w, Answer: &messenger.Answer{
			Submission: j.spec.Submission,
			Outcome:    string(submitter.OutcomeUnknown),
			Reason:     string(submitter.ReasonConflictingRequest),
			Detail:     "the submission id was used before with another body, service or team",
		}})
	case j.answer != nil:
		o.out.Answers = append(o.out.Answers, Answered{Waiter: w, Answer: j.answer})
	default:
		j.waiters = append(j.waiters, w)
	}
}

func (o *Owner) taskResult(now time.Time, j *job, agent messenger.Peer, r *messenger.TaskResult) {
	if int(r.Index) >= len(j.tasks) {
		return
	}
	t := &j.tasks[r.Index]
	if t.state != taskSent || t.agent != agent {
		return
	}
	switch r.Kind {
	case messenger.ResultDone:
		t.state = taskDone
		t.result = r.Payload
		j.done++
		if j.done == len(j.tasks) {
			o.complete(now, j)
		}
	case messenger.ResultFailed:
		t.state = taskFailed
		o.stop(now, j, submitter.ReasonTaskFailed, "task "+itoa(r.Index)+": "+r.Detail)
	case messenger.ResultRefused:
		o.taskRefused(now, j, t, r)
	}
}

// taskRefused places a task again, unless the refusal says that it had started.
func (o *Owner) taskRefused(now time.Time, j *job, t *task, r *messenger.TaskResult) {
	if r.Refusal == messenger.RefusalDuplicate {
		return
	}
	t.state = taskWaiting
	t.agent = ""
	t.replacements++
	if t.replacements > o.limits.MaxReplacements {
		o.stop(now, j, submitter.ReasonOverloaded, "task "+itoa(r.Index)+" was refused by too many agents")
		return
	}
	o.out.Requeues = append(o.out.Requeues, Requeue{Submission: j.spec.Submission, Index: r.Index})
}

func (o *Owner) failTasksAt(now time.Time, agent messenger.Peer) {
	for _, j := range o.open {
		for i := range j.tasks {
			if j.tasks[i].state == taskSent && j.tasks[i].agent == agent {
				o.stop(now, j, submitter.ReasonUpstreamLost, "the agent of task "+itoa(uint16(i))+" cannot be reached")
				break
			}
		}
	}
}

func (o *Owner) complete(now time.Time, j *job) {
	results := make([][]byte, len(j.tasks))
	for i := range j.tasks {
		results[i] = j.tasks[i].result
	}
	o.answer(now, j, &messenger.Answer{
		Outcome: string(submitter.OutcomeComplete),
		Results: results,
	})
}

// stop ends a job that cannot be completed: what waits is dropped and what runs
// is cancelled. Where nothing was ever sent, the answer is not-run.
func (o *Owner) stop(now time.Time, j *job, reason submitter.Reason, detail string) {
	outcome := submitter.OutcomeFailed
	if !j.mayHaveStarted() {
		outcome = submitter.OutcomeNotRun
	}
	o.out.Drops = append(o.out.Drops, j.spec.Submission)
	for _, agent := range j.agentsInState(taskSent) {
		o.out.Cancels = append(o.out.Cancels, AgentJob{Agent: agent, Submission: j.spec.Submission})
	}
	o.answer(now, j, &messenger.Answer{
		Outcome: string(outcome),
		Reason:  string(reason),
		Detail:  detail,
	})
}

// answer ends a job and tells everyone who waits.
func (o *Owner) answer(now time.Time, j *job, a *messenger.Answer) {
	a.Submission = j.spec.Submission
	for _, agent := range j.agentsInState(taskDone) {
		o.out.Settles = append(o.out.Settles, AgentJob{Agent: agent, Submission: j.spec.Submission})
	}
	for _, w := range j.waiters {
		o.out.Answers = append(o.out.Answers, Answered{Waiter: w, Answer: a})
	}
	j.answer = a
	j.answeredAt = now
	j.waiters = nil
	j.tasks = nil
	j.spec.Tasks = nil
	delete(o.open, j.spec.Submission)
}

// fingerprint hashes what must be the same in every request for a submission.
func fingerprint(in *Job) [sha256.Size]byte {
	h := sha256.New()
	writeField := func(b []byte) {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(b)))
		h.Write(size[:])
		h.Write(b)
	}
	writeField([]byte(in.Service))
	writeField([]byte(in.Team))
	writeField([]byte(in.RequestKey))
	for i := range in.Tasks {
		writeField(in.Tasks[i].Payload)
	}
	return [sha256.Size]byte(h.Sum(nil))
}
