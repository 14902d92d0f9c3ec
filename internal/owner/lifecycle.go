package owner

import (
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// Sent records that tasks of a submission are about to be sent to an agent. It
// returns the tasks that may be sent, which excludes those already at an agent or
// ended.
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
		t.startUnknown = false
		t.agent = agent
		allowed = append(allowed, index)
	}
	if len(allowed) > 0 {
		o.linkAgent(now, j, agent)
	}
	return allowed
}

// Result applies results from an agent. Results of unknown submissions and
// duplicate results have no effect.
func (o *Owner) Result(now time.Time, agent messenger.Peer, r *messenger.Result) {
	j := o.jobs.get(r.Submission)
	if j == nil {
		return
	}
	for i := range r.Tasks {
		if j.phase == phaseAnswered {
			o.settleAfterAnswer(j, agent, &r.Tasks[i])
			return
		}
		o.taskResult(now, j, agent, &r.Tasks[i])
	}
	o.updateMemory(j)
}

// settleAfterAnswer lets an agent drop a result that arrived after the answer.
func (o *Owner) settleAfterAnswer(j *job, agent messenger.Peer, r *messenger.TaskResult) {
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
	t.startUnknown = false
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
		o.answerIfDecided(now, j)
	}
}

// answerIfDecided answers an open job once its outcome is decided: when all tasks
// are done, one has failed, or an agent's record says that the job was cancelled.
func (o *Owner) answerIfDecided(now time.Time, j *job) {
	if j.done == len(j.tasks) {
		o.complete(now, j)
		return
	}
	for i := range j.tasks {
		if j.tasks[i].state == taskFailed {
			o.stop(now, j, j.tasks[i].reason(), "task "+formatIndex(uint16(i))+": "+j.tasks[i].detail)
			return
		}
	}
	if j.cancelled {
		o.stop(now, j, submitter.ReasonCancelled, "the job was cancelled before this entry owned it")
	}
}

// taskRefused reschedules a task if the refusal proves that it did not start. A
// refusal for a stale epoch means that another entry owns the job and may start the
// task, so the task is not rescheduled and the job is not answered with not-run.
func (o *Owner) taskRefused(now time.Time, j *job, t *task, r *messenger.TaskResult) {
	if !o.Rules.ProvesNotStarted(r.Refusal) {
		return
	}
	if r.Refusal == messenger.RefusalStaleEpoch {
		j.ownedElsewhere = true
		return
	}
	if j.phase != phaseOpen {
		t.state = taskWaiting
		t.agent = ""
		return
	}
	t.reschedules++
	if t.reschedules > o.limits.MaxReschedules {
		t.state = taskWaiting
		t.agent = ""
		o.stop(now, j, submitter.ReasonOverloaded, "task "+formatIndex(r.Index)+" was refused by too many agents")
		return
	}
	o.requeue(j, t, r.Index)
}

// requeue reschedules a task that is proven not to have started.
func (o *Owner) requeue(j *job, t *task, index uint16) {
	t.state = taskWaiting
	t.startUnknown = false
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
	o.stopRetryAfter(now, j, reason, detail, 0)
}

// stopRetryAfter is [Owner.stop] with a delay after which the caller may retry.
// Waiting tasks leave the queue and tasks at agents are cancelled. The answer is
// not-run if no task may have started.
func (o *Owner) stopRetryAfter(now time.Time, j *job, reason submitter.Reason, detail string, retryAfter time.Duration) {
	var a *messenger.Answer
	switch {
	case j.ownedElsewhere:
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

// answer ends a job with an answer and sends it to every request that waits.
func (o *Owner) answer(now time.Time, j *job, a *messenger.Answer) {
	a.Submission = j.spec.Submission
	for _, agent := range j.agentsInState(taskDone, taskFailed) {
		o.out.Settles = append(o.out.Settles, AgentJob{Agent: agent, Submission: j.spec.Submission})
	}
	o.answerWaiters(j, a)
	o.unlinkAgents(j)
	if j.phase == phaseOpen {
		o.openCount--
	}
	j.phase = phaseAnswered
	j.answer = a
	j.tasks = nil
	j.spec.Tasks = nil
	if isNotRun(a) && o.keyHolders[j.spec.RequestKey] == j.spec.Submission {
		delete(o.keyHolders, j.spec.RequestKey)
	}
	if isNotRun(a) && !o.Rules.KeepsNotRun() {
		o.remove(j)
		return
	}
	o.startRetention(now, j)
	o.retainResults(j)
	o.updateMemory(j)
}

// startRetention starts the time for which a job that is not open is retained.
func (o *Owner) startRetention(now time.Time, j *job) {
	j.retainUntil = now.Add(o.limits.Window + o.limits.MaxClockSkew)
	o.timers.push(timer{at: j.retainUntil, id: j.spec.Submission})
}

// add inserts a job into the set of jobs.
func (o *Owner) add(j *job) *job {
	o.jobs.put(j)
	o.updateMemory(j)
	return j
}

// updateMemory accounts for the memory of a job after it has changed.
func (o *Owner) updateMemory(j *job) {
	if o.jobs.get(j.spec.Submission) != j {
		return
	}
	n := j.memoryBytes()
	o.recordBytes += n - j.accountedBytes
	j.accountedBytes = n
}

// openJob opens a job with its specification.
func (o *Owner) openJob(now time.Time, j *job, in Job) {
	j.phase = phaseOpen
	j.openedAt = now
	j.spec = in
	j.spec.digest = j.digest
	j.grow(len(in.Tasks))
	o.openCount++
	o.timers.push(timer{at: in.Deadline, id: in.Submission})
	o.updateMemory(j)
	for _, agent := range j.agentsInState(taskSent) {
		o.linkAgent(now, j, agent)
	}
}

// reserveKey reserves the request key of a job for it, unless another job holds it.
func (o *Owner) reserveKey(j *job) {
	if j.spec.RequestKey == "" {
		return
	}
	if _, held := o.keyHolders[j.spec.RequestKey]; !held {
		o.keyHolders[j.spec.RequestKey] = j.spec.Submission
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
		o.answerOrWait(now, j, w, in.Deadline)
		return nil
	}
	return o.resumeRecovered(now, j, w, in)
}

// answerOrWait answers a request from a known job, or adds it to the waiters if the
// job has no answer yet.
func (o *Owner) answerOrWait(now time.Time, j *job, w Waiter, deadline time.Time) {
	switch {
	case j.phase == phaseAnswered:
		o.out.Answers = append(o.out.Answers, Answered{Waiter: w, Answer: j.answer})
	case j.answerLost:
		o.out.Answers = append(o.out.Answers, Answered{Waiter: w, Answer: answerLost(j.spec.Submission)})
	default:
		o.addWaiter(now, j, w, deadline)
		o.expireWaiters(now, j)
	}
}

// addWaiter adds a request to the waiters of a job. A request that waits already is
// not added again, so that it gets one answer.
func (o *Owner) addWaiter(_ time.Time, j *job, w Waiter, deadline time.Time) {
	if o.jobOfWaiter[w] != nil {
		return
	}
	o.jobOfWaiter[w] = j
	j.waiters = append(j.waiters, waiter{Waiter: w, deadline: deadline})
	j.abandonedAt = time.Time{}
	if j.phase != phaseOpen || deadline.Before(j.spec.Deadline) {
		o.timers.push(timer{at: deadline, id: j.spec.Submission})
	}
}

// removeWaiter removes a request from the waiters of a job. It starts the grace period
// if no waiter is left.
func (o *Owner) removeWaiter(now time.Time, j *job, w Waiter) {
	delete(o.jobOfWaiter, w)
	j.waiters = slices.DeleteFunc(j.waiters, func(x waiter) bool { return x.Waiter == w })
	if len(j.waiters) == 0 && o.mayRun(j) {
		o.startGrace(now, j)
	}
}
