package owner

import (
	"time"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// Export returns the records of a partition's jobs in the order of their ids. The
// requests that wait for them are not included; [Owner.Release] returns those.
func (o *Owner) Export(now time.Time, p identifier.Partition) []messenger.HandoverJob {
	var out []messenger.HandoverJob
	for _, j := range o.jobs.inPartition(p) {
		out = append(out, o.exportJob(now, j))
	}
	return out
}

// PartitionBytes returns the approximate size of what [Owner.Export] returns for a
// partition.
func (o *Owner) PartitionBytes(p identifier.Partition) int {
	n := 0
	for _, j := range o.jobs.partitions[p] {
		n += j.accountedBytes
		if j.hasResults() {
			n += resultBytes(j.answer)
		}
	}
	return n
}

// Release removes the jobs of a partition. It returns the open jobs for which
// requests wait, so that they can be passed to the new owner. A request that waits
// for a recovered job brought no tasks to pass on and is answered here, because no
// other request for the job may ever arrive.
func (o *Owner) Release(_ time.Time, p identifier.Partition) []Released {
	var out []Released
	for _, j := range o.jobs.inPartition(p) {
		if j.phase == phaseOpen {
			out = append(out, splitByWaiter(j)...)
			o.out.Drops = append(o.out.Drops, j.spec.Submission)
		} else {
			o.answerWaiters(j, unknown(j.spec.Submission, submitter.ReasonOwnerChanged,
				"the partition of the submission went to another entry"))
		}
		o.remove(j)
	}
	return out
}

// splitByWaiter returns one item per waiting request, because each has its own deadline.
func splitByWaiter(j *job) []Released {
	var out []Released
	for _, w := range j.waiters {
		spec := j.spec
		spec.Deadline = w.deadline
		out = append(out, Released{Job: spec, Waiters: []Waiter{w.Waiter}})
	}
	return out
}

// Import adds a job from a former owner. It becomes a recovered job or an answered
// one; a request that the former owner passes on attaches to it by [Owner.Submit].
// A job that is known already is not replaced.
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
	j.retainUntil = now.Add(o.limits.Window + o.limits.MaxClockSkew - h.Age)
	o.timers.push(timer{at: j.retainUntil, id: j.spec.Submission})
	if h.Answer != nil {
		j.phase = phaseAnswered
		j.answer = h.Answer
		o.retainResults(j)
	}
	if h.Answer == nil || !isNotRun(h.Answer) {
		o.reserveKey(j)
	}
	for i := range h.Tasks {
		o.importTask(now, j, &h.Tasks[i])
	}
	o.updateMemory(j)
	o.startRecoveredGrace(now, j)
}

// importTask adds a task that the former owner sent to an agent. Whether it started
// there is unknown until the agent has answered the new owner's fence.
func (o *Owner) importTask(now time.Time, j *job, h *messenger.HandoverTask) {
	t := o.taskForRecord(j, h.Agent, h.Index)
	if t == nil {
		return
	}
	t.state = taskSent
	t.startUnknown = true
	t.agent = h.Agent
	if h.Result != nil {
		o.taskEnded(now, j, t, h.Result)
		return
	}
	o.linkAgent(now, j, h.Agent)
}

func (o *Owner) exportJob(now time.Time, j *job) messenger.HandoverJob {
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
		h.Age = o.limits.Window + o.limits.MaxClockSkew - j.retainUntil.Sub(now)
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
