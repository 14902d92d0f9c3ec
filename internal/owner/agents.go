package owner

import (
	"bytes"
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// agentJobs has the open jobs that have tasks at an agent.
type agentJobs struct {
	jobs map[identifier.Submission]*job
}

// lostAgent is an agent whose connection has ended.
type lostAgent struct {
	agent messenger.Peer
	since time.Time
}

// AgentUp records that an agent is connected.
func (o *Owner) AgentUp(agent messenger.Peer) {
	o.connected[agent] = true
	o.unlose(agent)
}

func (o *Owner) unlose(agent messenger.Peer) {
	o.lost = slices.DeleteFunc(o.lost, func(l lostAgent) bool { return l.agent == agent })
}

// AgentDown records that the connection to an agent ended. What was sent over it
// may be lost.
func (o *Owner) AgentDown(now time.Time, agent messenger.Peer) {
	delete(o.connected, agent)
	o.unlose(agent)
	o.lose(now, agent)
	for _, j := range o.jobsAt(agent) {
		for i := range j.tasks {
			if j.tasks[i].state == taskSent && j.tasks[i].agent == agent {
				j.tasks[i].unsure = true
			}
		}
	}
}

// Reconciled records that the agent has given all its unsettled records of a
// partition since its connection began. A task that was sent before that and is in
// no record did not start and never will, and is placed again.
func (o *Owner) Reconciled(_ time.Time, agent messenger.Peer, p identifier.Partition) {
	for _, j := range o.jobsAt(agent) {
		if j.spec.Submission.Partition() != p {
			continue
		}
		for i := range j.tasks {
			t := &j.tasks[i]
			if t.state == taskSent && t.agent == agent && t.unsure {
				o.requeue(j, t, uint16(i))
			}
		}
	}
}

// expireLost fails the jobs with tasks at agents that stay unreachable.
func (o *Owner) expireLost(now time.Time) {
	for len(o.lost) > 0 && now.Sub(o.lost[0].since) >= o.limits.AgentLossTimeout {
		agent := o.lost[0].agent
		o.lost = o.lost[1:]
		for _, j := range o.jobsAt(agent) {
			if j.phase == phaseOpen {
				o.stop(now, j, submitter.ReasonUpstreamLost, "the agent "+string(agent)+" cannot be reached")
			}
		}
	}
}

// jobsAt returns the jobs without an answer that have a task in state sent at the
// agent, in the order of their ids.
func (o *Owner) jobsAt(agent messenger.Peer) []*job {
	a := o.agents[agent]
	if a == nil {
		return nil
	}
	var out []*job
	for _, j := range a.jobs {
		for i := range j.tasks {
			if j.tasks[i].state == taskSent && j.tasks[i].agent == agent {
				out = append(out, j)
				break
			}
		}
	}
	slices.SortFunc(out, func(x, y *job) int {
		return bytes.Compare(x.spec.Submission[:], y.spec.Submission[:])
	})
	return out
}

// lose begins the wait for an agent that is not connected.
func (o *Owner) lose(now time.Time, agent messenger.Peer) {
	if !slices.ContainsFunc(o.lost, func(l lostAgent) bool { return l.agent == agent }) {
		o.lost = append(o.lost, lostAgent{agent: agent, since: now})
	}
}

// linkAgent notes that a task of the job is at the agent.
func (o *Owner) linkAgent(now time.Time, j *job, agent messenger.Peer) {
	if !o.connected[agent] {
		o.lose(now, agent)
	}
	a := o.agents[agent]
	if a == nil {
		a = &agentJobs{jobs: make(map[identifier.Submission]*job)}
		o.agents[agent] = a
	}
	a.jobs[j.spec.Submission] = j
}

// unlinkAgents removes a job from the agents that its tasks are at. An agent that
// refused all its tasks may keep a reference until another job there ends.
func (o *Owner) unlinkAgents(j *job) {
	for _, agent := range j.agentsInState(taskSent, taskDone, taskFailed) {
		if a := o.agents[agent]; a != nil {
			delete(a.jobs, j.spec.Submission)
			if len(a.jobs) == 0 {
				delete(o.agents, agent)
			}
		}
	}
}
