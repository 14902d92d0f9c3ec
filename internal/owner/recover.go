package owner

import (
	"time"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// Recover applies what an agent remembers of a submission. A submission that is
// not known becomes a recovered job, which costs only its record until it is
// submitted again.
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
		o.keep(now, j)
		o.holdKey(j)
	case j.phase == phaseAnswered:
		o.recoverAnswered(j, agent, &r)
		return
	case r.Digest != 0 && j.digest != 0 && r.Digest != j.digest:
		o.conflict(now, j)
		return
	}
	o.merge(now, j, agent, &r)
	o.weigh(j)
	o.abandonRecovered(now, j)
}

// abandonRecovered begins the grace time of a recovered job that may run. Those
// who asked the former owner for it may have gone with that one.
func (o *Owner) abandonRecovered(now time.Time, j *job) {
	if j.phase == phaseRecovered && len(j.waiters) == 0 && j.abandoned.IsZero() && o.runs(j) {
		o.abandon(now, j)
	}
}

// recoverAnswered lets the agent drop its results and stops what still runs.
func (o *Owner) recoverAnswered(j *job, agent messenger.Peer, r *messenger.Record) {
	x := AgentJob{Agent: agent, Submission: j.spec.Submission}
	if !r.Settled {
		o.out.Settles = append(o.out.Settles, x)
	}
	if len(r.Running) > 0 && !r.Cancelled {
		o.out.Cancels = append(o.out.Cancels, x)
	}
}

// conflict answers an open job whose id an agent knows with another body.
func (o *Owner) conflict(now time.Time, j *job) {
	if j.phase == phaseOpen {
		o.out.Drops = append(o.out.Drops, j.spec.Submission)
		o.answer(now, j, unknown(j.spec.Submission, submitter.ReasonConflictingRequest,
			"the submission id was used before with another body, service or team"))
	}
}

// merge takes over the tasks of a record that are not known yet, and those that
// were sent to the agent.
func (o *Owner) merge(now time.Time, j *job, agent messenger.Peer, r *messenger.Record) {
	o.identify(j, r)
	j.cancelled = j.cancelled || r.Cancelled
	for _, index := range r.Running {
		if t := o.recoverTask(j, agent, index); t != nil {
			t.state = taskSent
			t.unsure = false
			t.agent = agent
		}
	}
	for i := range r.Ended {
		if j.phase == phaseAnswered {
			return
		}
		t := o.recoverTask(j, agent, r.Ended[i].Index)
		if t == nil {
			continue
		}
		t.agent = agent
		if r.Settled {
			o.loseAnswer(now, j, t)
			continue
		}
		o.taskEnded(now, j, t, &r.Ended[i])
	}
	if len(r.Running) > 0 && j.phase != phaseAnswered {
		o.linkAgent(now, j, agent)
	}
	if j.phase == phaseOpen {
		o.conclude(now, j)
	}
}

// identify completes what is known of a job from a record. The record of an agent
// that was only told of a cancellation says nothing but that.
func (o *Owner) identify(j *job, r *messenger.Record) {
	if j.digest == 0 {
		j.digest = r.Digest
	}
	if j.phase == phaseRecovered && j.spec.RequestKey == "" {
		j.spec.Service = r.Service
		j.spec.RequestKey = r.RequestKey
		o.holdKey(j)
	}
}

// recoverTask returns the task that a record of the agent decides, or nil if the
// task is known to be elsewhere or to have ended.
func (o *Owner) recoverTask(j *job, agent messenger.Peer, index uint16) *task {
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

// loseAnswer notes that a task ended and that its result was given away.
func (o *Owner) loseAnswer(now time.Time, j *job, t *task) {
	t.state = taskDone
	j.answerLost = true
	if j.phase == phaseOpen {
		o.out.Drops = append(o.out.Drops, j.spec.Submission)
		o.answer(now, j, answerLost(j.spec.Submission))
	}
}

// resume opens a recovered job with its specification and returns the tasks that
// no agent has started.
func (o *Owner) resume(now time.Time, j *job, w Waiter, in Job) []uint16 {
	if len(j.tasks) > len(in.Tasks) {
		o.out.Answers = append(o.out.Answers, Answered{Waiter: w, Answer: unknown(in.Submission,
			submitter.ReasonConflictingRequest, "the submission id was used before with more tasks")})
		return nil
	}
	lost := j.answerLost
	o.begin(now, j, in)
	o.wait(now, j, w, in.Deadline)
	if holder, held := o.keys[in.RequestKey]; held && holder != in.Submission {
		o.end(now, j, submitter.ReasonDuplicateRequest, "the request key is used by submission "+holder.String(), 0)
		return nil
	}
	o.holdKey(j)
	if lost {
		o.answer(now, j, answerLost(in.Submission))
		return nil
	}
	o.conclude(now, j)
	o.expireAtOnce(now, j)
	if j.phase != phaseOpen {
		return nil
	}
	return j.unsent()
}

// Started returns how many tasks of a submission are known to have been sent to
// an agent or to have ended.
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

// Released is a job without an answer that leaves this owner, with the requests
// that wait for it and have its deadline.
type Released struct {
	Job     Job
	Waiters []Waiter
}
