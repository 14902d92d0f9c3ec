package owner

import (
	"time"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// Recover applies an agent's record of a submission. A submission that is not known
// becomes a recovered job, which has only a record until it is submitted again.
func (o *Owner) Recover(now time.Time, agent messenger.Peer, r messenger.Record) {
	j := o.jobs.get(r.Submission)
	switch {
	case j == nil:
		j = &job{
			phase:  phaseRecovered,
			spec:   Job{Submission: r.Submission, Service: r.Service, RequestKey: r.RequestKey},
			digest: r.Digest,
		}
		o.add(j)
		o.startRetention(now, j)
		o.reserveKey(j)
	case j.phase == phaseAnswered:
		o.recoverAnswered(j, agent, &r)
		return
	case r.Digest != 0 && j.digest != 0 && r.Digest != j.digest:
		o.conflict(now, j)
		return
	}
	o.mergeRecord(now, j, agent, &r)
	o.updateMemory(j)
	o.startRecoveredGrace(now, j)
}

// startRecoveredGrace starts the grace period of a recovered job that may be running.
// The requests for it may have ended together with the former owner.
func (o *Owner) startRecoveredGrace(now time.Time, j *job) {
	if j.phase == phaseRecovered && len(j.waiters) == 0 && j.abandonedAt.IsZero() && o.mayRun(j) {
		o.startGrace(now, j)
	}
}

// recoverAnswered lets the agent delete its results and cancels tasks that still run.
func (o *Owner) recoverAnswered(j *job, agent messenger.Peer, r *messenger.Record) {
	x := AgentJob{Agent: agent, Submission: j.spec.Submission}
	if !r.Settled {
		o.out.Settles = append(o.out.Settles, x)
	}
	if len(r.Running) > 0 && !r.Cancelled {
		o.out.Cancels = append(o.out.Cancels, x)
	}
}

// conflict answers an open job whose id is in an agent's record with another digest.
func (o *Owner) conflict(now time.Time, j *job) {
	if j.phase == phaseOpen {
		o.out.Drops = append(o.out.Drops, j.spec.Submission)
		o.answer(now, j, unknown(j.spec.Submission, submitter.ReasonConflictingRequest,
			"the submission id was used before with another body, service or team"))
	}
}

// mergeRecord updates a job from the tasks of an agent's record, except for tasks
// that are at another agent or have ended.
func (o *Owner) mergeRecord(now time.Time, j *job, agent messenger.Peer, r *messenger.Record) {
	o.fillIdentity(j, r)
	j.cancelled = j.cancelled || r.Cancelled
	for _, index := range r.Running {
		if t := o.taskForRecord(j, agent, index); t != nil {
			t.state = taskSent
			t.startUnknown = false
			t.agent = agent
		}
	}
	for i := range r.Ended {
		if j.phase == phaseAnswered {
			return
		}
		t := o.taskForRecord(j, agent, r.Ended[i].Index)
		if t == nil {
			continue
		}
		t.agent = agent
		if r.Settled {
			o.markAnswerLost(now, j, t)
			continue
		}
		o.taskEnded(now, j, t, &r.Ended[i])
	}
	if len(r.Running) > 0 && j.phase != phaseAnswered {
		o.linkAgent(now, j, agent)
	}
	if j.phase == phaseOpen {
		o.answerIfDecided(now, j)
	}
}

// fillIdentity copies the digest, service and request key from a record into a job
// that lacks them. A record that was made by a cancellation alone has none of them.
func (o *Owner) fillIdentity(j *job, r *messenger.Record) {
	if j.digest == 0 {
		j.digest = r.Digest
	}
	if j.phase == phaseRecovered && j.spec.RequestKey == "" {
		j.spec.Service = r.Service
		j.spec.RequestKey = r.RequestKey
		o.reserveKey(j)
	}
}

// taskForRecord returns the task that a record of the agent may update, or nil if the
// task is at another agent or has ended.
func (o *Owner) taskForRecord(j *job, agent messenger.Peer, index uint16) *task {
	if int(index) >= submitter.MaxTasks || j.phase == phaseOpen && int(index) >= len(j.tasks) {
		return nil
	}
	j.grow(int(index) + 1)
	t := &j.tasks[index]
	if t.state == taskWaiting || t.state == taskSent && t.agent == agent {
		return t
	}
	return nil
}

// markAnswerLost records that a task ended and that its result was delivered before
// and is no longer available.
func (o *Owner) markAnswerLost(now time.Time, j *job, t *task) {
	t.state = taskDone
	j.answerLost = true
	if j.phase == phaseOpen {
		o.out.Drops = append(o.out.Drops, j.spec.Submission)
		o.answer(now, j, answerLost(j.spec.Submission))
	}
}

// resumeRecovered opens a recovered job with its specification and returns the tasks that
// no agent has started.
func (o *Owner) resumeRecovered(now time.Time, j *job, w Waiter, in Job) []uint16 {
	if len(j.tasks) > len(in.Tasks) {
		o.out.Answers = append(o.out.Answers, Answered{Waiter: w, Answer: unknown(in.Submission,
			submitter.ReasonConflictingRequest, "the submission id was used before with more tasks")})
		return nil
	}
	lost := j.answerLost
	o.openJob(now, j, in)
	o.addWaiter(now, j, w, in.Deadline)
	if holder, held := o.keyHolders[in.RequestKey]; held && holder != in.Submission {
		o.stopRetryAfter(now, j, submitter.ReasonDuplicateRequest, "the request key is used by submission "+holder.String(), 0)
		return nil
	}
	o.reserveKey(j)
	if lost {
		o.answer(now, j, answerLost(in.Submission))
		return nil
	}
	o.answerIfDecided(now, j)
	o.expireAtOnce(now, j)
	if j.phase != phaseOpen {
		return nil
	}
	return j.unsent()
}

// Started returns how many tasks of a submission were sent to an agent or have
// ended, as far as this owner knows.
func (o *Owner) Started(s identifier.Submission) int {
	j := o.jobs.get(s)
	if j == nil {
		return 0
	}
	n := 0
	for i := range j.tasks {
		if j.tasks[i].state != taskWaiting {
			n++
		}
	}
	return n
}

// Released is an open job that moves to another owner, with the requests that wait
// for it. Its deadline is that of the requests.
type Released struct {
	Job     Job
	Waiters []Waiter
}
