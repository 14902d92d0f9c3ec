package owner

import (
	"time"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// Export returns all that is known of a partition's jobs, in the order of their
// ids. Requests that wait are not part of it; [Owner.Release] gives them back.
func (o *Owner) Export(now time.Time, p identifier.Partition) []messenger.HandoverJob {
	var out []messenger.HandoverJob
	for _, j := range o.jobs.in(p) {
		out = append(out, o.export(now, j))
	}
	return out
}

// PartitionBytes returns about how many bytes [Owner.Export] returns of a partition.
func (o *Owner) PartitionBytes(p identifier.Partition) int {
	n := 0
	for _, j := range o.jobs.partitions[p] {
		n += j.bytes
		if j.hasResults() {
			n += resultBytes(j.answer)
		}
	}
	return n
}

// Release forgets the jobs of a partition. It returns those without an answer
// for which requests wait, so that they can be passed to the new owner. Requests
// that wait for a job without a specification brought no tasks; they are answered,
// because no other request for the job may ever come.
func (o *Owner) Release(_ time.Time, p identifier.Partition) []Released {
	var out []Released
	for _, j := range o.jobs.in(p) {
		if j.phase == phaseOpen {
			out = append(out, released(j)...)
			o.out.Drops = append(o.out.Drops, j.spec.Submission)
		} else {
			o.answerWaiters(j, unknown(j.spec.Submission, submitter.ReasonOwnerChanged,
				"the partition of the submission went to another entry"))
		}
		o.remove(j)
	}
	return out
}

// released returns one entry a request that waits, because each has its own
// deadline.
func released(j *job) []Released {
	var out []Released
	for _, w := range j.waiters {
		spec := j.spec
		spec.Deadline = w.deadline
		out = append(out, Released{Job: spec, Waiters: []Waiter{w.Waiter}})
	}
	return out
}

// Import takes over a job from a former owner. It becomes a recovered job or an
// answered one; a request that is passed on attaches to it by [Owner.Submit]. What
// is known already is not replaced.
func (o *Owner) Import(now time.Time, h messenger.HandoverJob) {
	if o.jobs.get(h.Job.Submission) != nil {
		return
	}
	j := &job{
		phase:      phaseRecovered,
		digest:     h.Digest,
		cancelled:  h.Cancelled,
		answerLost: h.AnswerLost,
		spec: Job{
			Submission: h.Job.Submission,
			Service:    h.Job.Service,
			Team:       h.Job.Team,
			RequestKey: h.Job.RequestKey,
		},
	}
	o.add(j)
	j.keptTill = now.Add(o.limits.Window + o.limits.MaxClockSkew - h.Age)
	o.due.push(due{at: j.keptTill, id: j.spec.Submission})
	if h.Answer != nil {
		j.phase = phaseAnswered
		j.answer = h.Answer
		o.keepResults(j)
	}
	if h.Answer == nil || !isNotRun(h.Answer) {
		o.holdKey(j)
	}
	for i := range h.Tasks {
		o.importTask(now, j, &h.Tasks[i])
	}
	o.weigh(j)
	o.abandonRecovered(now, j)
}

// importTask takes over a task that was sent to an agent. Whether it started
// there is open until the agent has answered the new owner's fence.
func (o *Owner) importTask(now time.Time, j *job, h *messenger.HandoverTask) {
	t := o.recoverTask(j, h.Agent, h.Index)
	if t == nil {
		return
	}
	t.state = taskSent
	t.unsure = true
	t.agent = h.Agent
	if h.Result != nil {
		o.taskEnded(now, j, t, h.Result)
		return
	}
	o.linkAgent(now, j, h.Agent)
}

func (o *Owner) export(now time.Time, j *job) messenger.HandoverJob {
	h := messenger.HandoverJob{
		Job: messenger.Forward{
			Submission: j.spec.Submission,
			Service:    j.spec.Service,
			Team:       j.spec.Team,
			RequestKey: j.spec.RequestKey,
		},
		Answer:     j.answer,
		Digest:     j.digest,
		Recovered:  j.phase == phaseRecovered,
		Cancelled:  j.cancelled,
		AnswerLost: j.answerLost,
	}
	if j.phase != phaseOpen {
		h.Age = o.limits.Window + o.limits.MaxClockSkew - j.keptTill.Sub(now)
	}
	for i := range j.tasks {
		if j.tasks[i].state != taskWaiting {
			h.Tasks = append(h.Tasks, exportTask(uint16(i), &j.tasks[i]))
		}
	}
	return h
}

func exportTask(index uint16, t *task) messenger.HandoverTask {
	h := messenger.HandoverTask{Index: index, Agent: t.agent}
	switch t.state {
	case taskDone:
		h.Result = &messenger.TaskResult{Index: index, Kind: messenger.ResultDone, Payload: t.result}
	case taskFailed:
		h.Result = &messenger.TaskResult{Index: index, Kind: messenger.ResultFailed, Detail: t.detail, Cause: t.cause}
	}
	return h
}
