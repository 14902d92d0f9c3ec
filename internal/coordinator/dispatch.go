package coordinator

import (
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/owner"
	"sardinelock.dev/sardinelock/internal/placer"
)

// applyOwner applies the output of the owner of the jobs: answers, requeued tasks,
// cancellations and settlements.
func (c *Coordinator) applyOwner(now time.Time) {
	out := c.owner.Take()
	for _, a := range out.Answers {
		c.deliver(now, a.Waiter, a.Answer)
	}
	for _, r := range out.Requeues {
		if j, ok := c.owner.Job(r.Submission); ok {
			c.placer.Requeue(now, placerJob(&j, nil), r.Index)
		}
	}
	for _, s := range out.Drops {
		c.placer.Drop(s)
	}
	for _, x := range out.Cancels {
		if a := c.agents[x.Agent]; a != nil {
			epoch := c.recoverer.Epoch(x.Submission.Partition())
			f := a.pendingFrame()
			f.Cancels = append(f.Cancels, messenger.Cancel{Submission: x.Submission, Epoch: epoch})
		}
	}
	for _, x := range out.Settles {
		if a := c.agents[x.Agent]; a != nil {
			a.queueSettlement(x.Submission)
		}
	}
}

// refuseHeldBack answers the queued jobs that only upstreams under a hold can run. A job
// of which a task was sent keeps waiting for the end of the hold until its deadline,
// because a refusal would abort the tasks that run.
func (c *Coordinator) refuseHeldBack(now time.Time) {
	held := c.placer.TakeHeldBack()
	if len(held) == 0 {
		return
	}
	for _, h := range held {
		if s, ok := c.owner.Status(h.Submission); ok && s.Waiting == s.Tasks {
			c.owner.Refuse(now, h.Submission, h.Refusal.Reason, h.Refusal.Detail, h.Refusal.RetryAfter)
		}
	}
	c.applyOwner(now)
}

func (c *Coordinator) dispatch(now time.Time) {
	for _, a := range c.placer.Dispatch(now) {
		j, ok := c.owner.Job(a.Submission)
		link := c.agents[a.Agent]
		if !ok || link == nil {
			continue
		}
		assigned := a.Tasks
		a.Tasks = c.owner.Sent(now, a.Submission, a.Agent, assigned)
		c.releaseUnsentTasks(now, a, assigned)
		if len(a.Tasks) == 0 {
			continue
		}
		c.recordFirstSend(now, &j)
		f := link.pendingFrame()
		f.Starts = append(f.Starts, c.start(now, link, &j, a))
	}
}

// releaseUnsentTasks releases the slots of tasks that the placer assigned and the owner
// did not send, because they are known to be at an agent already.
func (c *Coordinator) releaseUnsentTasks(now time.Time, a placer.Assignment, assigned []uint16) {
	if len(a.Tasks) == len(assigned) {
		return
	}
	for _, index := range assigned {
		if !slices.Contains(a.Tasks, index) {
			c.placer.Ended(now, placer.End{
				Agent:      a.Agent,
				Submission: a.Submission,
				Index:      index,
				Kind:       messenger.ResultRefused,
			})
		}
	}
}

// releaseLostTasks releases the slots of tasks whose partitions this entry no longer
// serves: their results go to the new owner.
func (c *Coordinator) releaseLostTasks(now time.Time) {
	if !c.partitionsLost {
		return
	}
	c.partitionsLost = false
	c.placer.ReleaseTransferred(now, func(s identifier.Submission) bool { return !c.Owns(s.Partition()) })
}

func (c *Coordinator) start(now time.Time, link *agentLink, j *owner.Job, a placer.Assignment) messenger.Start {
	clock := link.agentClock + now.Sub(link.agentClockAt)
	s := messenger.Start{
		Submission:    j.Submission,
		Epoch:         c.recoverer.Epoch(j.Submission.Partition()),
		Service:       j.Service,
		Path:          c.paths[j.Service],
		StartBy:       clock + c.limits.StartTimeout,
		EndBy:         clock + j.Deadline.Sub(now),
		RemainingWork: a.Work,
		Tasks:         make([]messenger.TaskStart, len(a.Tasks)),
		RequestKey:    j.RequestKey,
		Digest:        owner.Digest(j),
	}
	for i, index := range a.Tasks {
		spec := &j.Tasks[index]
		s.Tasks[i] = messenger.TaskStart{
			Index:        index,
			Payload:      spec.Payload,
			MemoryBytes:  c.placer.MemoryReservation(j.Service, spec.MemoryBytes),
			Accelerators: spec.Accelerators,
		}
	}
	return s
}

func placerJob(j *owner.Job, tasks []uint16) placer.Job {
	out := placer.Job{
		Submission:   j.Submission,
		Service:      j.Service,
		Team:         j.Team,
		Deadline:     j.Deadline,
		Requirements: make([]placer.Requirements, len(j.Tasks)),
		Tasks:        tasks,
	}
	for i, t := range j.Tasks {
		out.Requirements[i] = placer.Requirements{RunTime: t.RunTime, MemoryBytes: t.MemoryBytes, Accelerators: t.Accelerators}
	}
	return out
}
