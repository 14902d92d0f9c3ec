package owner

import (
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// Sent records that tasks of a submission are sent to an agent. It returns those
// that may be sent: a task that is known to be at an agent is not among them.
func (o *Owner) Sent(now time.Time, s identifier.Submission, agent messenger.Peer, tasks []uint16) []uint16 {
	j := o.jobs.get(s)
	if j == nil || j.phase != phaseOpen {
		return nil
	}
	allowed := tasks[:0:0]
	for _, index := range tasks {
		t := &j.tasks[index]
		if t.state != taskWaiting {
			continue
		}
		t.state = taskSent
		t.unsure = false
		t.agent = agent
		allowed = append(allowed, index)
	}
	if len(allowed) > 0 {
		o.linkAgent(now, j, agent)
	}
	return allowed
}

// Result applies the results of an agent. Results of unknown submissions and
// those that come twice have no effect.
func (o *Owner) Result(now time.Time, agent messenger.Peer, r *messenger.Result) {
	j := o.jobs.get(r.Submission)
	if j == nil {
		return
	}
	for i := range r.Tasks {
		if j.phase == phaseAnswered {
			o.settleLate(j, agent, &r.Tasks[i])
			return
		}
		o.taskResult(now, j, agent, &r.Tasks[i])
	}
	o.weigh(j)
}

// settleLate lets an agent drop a result that came after the answer.
func (o *Owner) settleLate(j *job, agent messenger.Peer, r *messenger.TaskResult) {
	if r.Kind != messenger.ResultRefused {
		o.out.Settles = append(o.out.Settles, AgentJob{Agent: agent, Submission: j.spec.Submission})
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
	case messenger.ResultDone, messenger.ResultFailed:
		o.taskEnded(now, j, t, r)
	case messenger.ResultRefused:
		o.taskRefused(now, j, t, r)
	}
}

// taskEnded applies the end of a task that started.
func (o *Owner) taskEnded(now time.Time, j *job, t *task, r *messenger.TaskResult) {
	t.unsure = false
	if r.Kind == messenger.ResultDone {
		t.state = taskDone
		t.result = r.Payload
		j.done++
	} else {
		t.state = taskFailed
		t.detail = r.Detail
		t.cause = r.Cause
	}
	if j.phase == phaseOpen {
		o.conclude(now, j)
	}
}

// conclude answers an open job whose tasks decide its outcome.
func (o *Owner) conclude(now time.Time, j *job) {
	if j.done == len(j.tasks) {
		o.complete(now, j)
		return
	}
	for i := range j.tasks {
		if j.tasks[i].state == taskFailed {
			o.stop(now, j, j.tasks[i].reason(), "task "+itoa(uint16(i))+": "+j.tasks[i].detail)
			return
		}
	}
	if j.cancelled {
		o.stop(now, j, submitter.ReasonCancelled, "the job was cancelled before this entry owned it")
	}
}

// taskRefused places a task again, if the refusal proves that it did not start. A
// refusal for a stale epoch says that another entry owns the job, so that it is
// neither placed again nor said not to have run.
func (o *Owner) taskRefused(now time.Time, j *job, t *task, r *messenger.TaskResult) {
	if !o.Rules.ProvesNotStarted(r.Refusal) {
		return
	}
	if r.Refusal == messenger.RefusalStaleEpoch {
		j.foreign = true
		return
	}
	if j.phase != phaseOpen {
		t.state = taskWaiting
		t.agent = ""
		return
	}
	t.replacements++
	if t.replacements > o.limits.MaxReschedules {
		t.state = taskWaiting
		t.agent = ""
		o.stop(now, j, submitter.ReasonOverloaded, "task "+itoa(r.Index)+" was refused by too many agents")
		return
	}
	o.requeue(j, t, r.Index)
}

// requeue places a task again that is proven not to have started.
func (o *Owner) requeue(j *job, t *task, index uint16) {
	t.state = taskWaiting
	t.unsure = false
	t.agent = ""
	if j.phase == phaseOpen {
		o.out.Requeues = append(o.out.Requeues, Requeue{Submission: j.spec.Submission, Index: index})
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

// stop ends a job that cannot be completed.
func (o *Owner) stop(now time.Time, j *job, reason submitter.Reason, detail string) {
	o.end(now, j, reason, detail, 0)
}

// end ends a job that cannot be completed: what waits is dropped and what runs
// is cancelled. Where nothing may have started, the answer is not-run.
func (o *Owner) end(now time.Time, j *job, reason submitter.Reason, detail string, retryAfter time.Duration) {
	var a *messenger.Answer
	switch {
	case j.foreign:
		a = unknown(j.spec.Submission, submitter.ReasonOwnerChanged, "another entry owns the job: "+detail)
	case j.mayHaveStarted():
		a = &messenger.Answer{Outcome: string(submitter.OutcomeFailed), Reason: string(reason), Detail: detail}
	default:
		a = o.notRun(j.spec.Submission, reason, detail, retryAfter)
	}
	o.out.Drops = append(o.out.Drops, j.spec.Submission)
	for _, agent := range j.agentsInState(taskSent) {
		o.out.Cancels = append(o.out.Cancels, AgentJob{Agent: agent, Submission: j.spec.Submission})
	}
	o.answer(now, j, a)
}

// answer ends a job and tells everyone who waits.
func (o *Owner) answer(now time.Time, j *job, a *messenger.Answer) {
	a.Submission = j.spec.Submission
	for _, agent := range j.agentsInState(taskDone, taskFailed) {
		o.out.Settles = append(o.out.Settles, AgentJob{Agent: agent, Submission: j.spec.Submission})
	}
	o.answerWaiters(j, a)
	o.unlinkAgents(j)
	if j.phase == phaseOpen {
		o.open--
	}
	j.phase = phaseAnswered
	j.answer = a
	j.tasks = nil
	j.spec.Tasks = nil
	if isNotRun(a) && o.keys[j.spec.RequestKey] == j.spec.Submission {
		delete(o.keys, j.spec.RequestKey)
	}
	if isNotRun(a) && !o.Rules.KeepsNotRun() {
		o.remove(j)
		return
	}
	o.keep(now, j)
	o.keepResults(j)
	o.weigh(j)
}

// keep sets how long a job that is not open is kept.
func (o *Owner) keep(now time.Time, j *job) {
	j.keptTill = now.Add(o.limits.Window + o.limits.MaxClockSkew)
	o.due.push(due{at: j.keptTill, id: j.spec.Submission})
}

// add takes a job into the records.
func (o *Owner) add(j *job) *job {
	o.jobs.put(j)
	o.weigh(j)
	return j
}

// weigh accounts for the memory of a job after it has changed.
func (o *Owner) weigh(j *job) {
	if o.jobs.get(j.spec.Submission) != j {
		return
	}
	n := j.memory()
	o.bytes += n - j.bytes
	j.bytes = n
}

// begin opens a job with its specification.
func (o *Owner) begin(now time.Time, j *job, in Job) {
	j.phase = phaseOpen
	j.begun = now
	j.spec = in
	j.spec.digest = j.digest
	j.grow(len(in.Tasks))
	o.open++
	o.due.push(due{at: in.Deadline, id: in.Submission})
	o.weigh(j)
	for _, agent := range j.agentsInState(taskSent) {
		o.linkAgent(now, j, agent)
	}
}

// holdKey lets a job hold its request key.
func (o *Owner) holdKey(j *job) {
	if j.spec.RequestKey == "" {
		return
	}
	if _, held := o.keys[j.spec.RequestKey]; !held {
		o.keys[j.spec.RequestKey] = j.spec.Submission
	}
}

// resubmit applies a request for a known submission.
func (o *Owner) resubmit(now time.Time, j *job, w Waiter, in Job) []uint16 {
	if digest := Digest(&in); j.digest != 0 && digest != j.digest {
		o.out.Answers = append(o.out.Answers, Answered{Waiter: w, Answer: unknown(in.Submission,
			submitter.ReasonConflictingRequest, "the submission id was used before with another body, service or team")})
		return nil
	} else if j.digest == 0 {
		j.digest = digest
	}
	if j.phase != phaseRecovered {
		o.serve(now, j, w, in.Deadline)
		return nil
	}
	return o.resume(now, j, w, in)
}

// serve answers a request from a known job or lets it wait.
func (o *Owner) serve(now time.Time, j *job, w Waiter, deadline time.Time) {
	switch {
	case j.phase == phaseAnswered:
		o.out.Answers = append(o.out.Answers, Answered{Waiter: w, Answer: j.answer})
	case j.answerLost:
		o.out.Answers = append(o.out.Answers, Answered{Waiter: w, Answer: answerLost(j.spec.Submission)})
	default:
		o.wait(now, j, w, deadline)
		o.expireWaiters(now, j)
	}
}

// wait adds a request to those that wait for a job. One that waits already is
// not added again, so that it gets one answer.
func (o *Owner) wait(_ time.Time, j *job, w Waiter, deadline time.Time) {
	if o.waiting[w] != nil {
		return
	}
	o.waiting[w] = j
	j.waiters = append(j.waiters, waiter{Waiter: w, deadline: deadline})
	j.abandoned = time.Time{}
	if j.phase != phaseOpen || deadline.Before(j.spec.Deadline) {
		o.due.push(due{at: deadline, id: j.spec.Submission})
	}
}

// unwait removes a request and notes when none is left.
func (o *Owner) unwait(now time.Time, j *job, w Waiter) {
	delete(o.waiting, w)
	j.waiters = slices.DeleteFunc(j.waiters, func(x waiter) bool { return x.Waiter == w })
	if len(j.waiters) == 0 && o.runs(j) {
		o.abandon(now, j)
	}
}
