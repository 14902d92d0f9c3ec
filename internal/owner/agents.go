package owner

import (
	"bytes"
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// agentJobs holds the jobs without an answer that have tasks at one agent.
type agentJobs struct {
	jobs map[identifier.Submission]*job
}

// disconnectedAgent is an agent whose connection has ended.
type disconnectedAgent struct {
	agent messenger.Peer
	since time.Time
}

// AgentUp records that an agent is connected.
func (o *Owner) AgentUp(agent messenger.Peer) {
	o.connected[agent] = true
	o.removeDisconnected(agent)
}

func (o *Owner) removeDisconnected(agent messenger.Peer) {
	o.disconnected = slices.DeleteFunc(o.disconnected, func(l disconnectedAgent) bool { return l.agent == agent })
}

// AgentDown records that the connection to an agent ended. Messages that were sent
// over it may be lost, so the start of every task at the agent becomes unknown.
func (o *Owner) AgentDown(now time.Time, agent messenger.Peer) {
	delete(o.connected, agent)
	o.removeDisconnected(agent)
	o.markDisconnected(now, agent)
	for _, j := range o.jobsAt(agent) {
		for i := range j.tasks {
			if j.tasks[i].state == taskSent && j.tasks[i].agent == agent {
				j.tasks[i].startUnknown = true
			}
		}
	}
}

// Reconciled records that the agent has sent all its unsettled records of a
// partition over its current connection. A task that was sent before this
// connection and is in no record did not start and never will, so it is rescheduled.
func (o *Owner) Reconciled(_ time.Time, agent messenger.Peer, p identifier.Partition) {
	for _, j := range o.jobsAt(agent) {
		if j.spec.Submission.Partition() != p {
			continue
		}
		for i := range j.tasks {
			t := &j.tasks[i]
			if t.state == taskSent && t.agent == agent && t.startUnknown {
				o.requeue(j, t, uint16(i))
			}
		}
	}
}

// expireDisconnected fails the jobs with tasks at agents that have been
// disconnected for AgentLossTimeout.
func (o *Owner) expireDisconnected(now time.Time) {
	for len(o.disconnected) > 0 && now.Sub(o.disconnected[0].since) >= o.limits.AgentLossTimeout {
		agent := o.disconnected[0].agent
		o.disconnected = o.disconnected[1:]
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

// markDisconnected starts the loss timeout of an agent that is not connected.
func (o *Owner) markDisconnected(now time.Time, agent messenger.Peer) {
	if !slices.ContainsFunc(o.disconnected, func(l disconnectedAgent) bool { return l.agent == agent }) {
		o.disconnected = append(o.disconnected, disconnectedAgent{agent: agent, since: now})
	}
}

// linkAgent records that a task of the job is at the agent.
func (o *Owner) linkAgent(now time.Time, j *job, agent messenger.Peer) {
	if !o.connected[agent] {
		o.markDisconnected(now, agent)
	}
	a := o.agents[agent]
	if a == nil {
		a = &agentJobs{jobs: make(map[identifier.Submission]*job)}
		o.agents[agent] = a
	}
	a.jobs[j.spec.Submission] = j
}

// unlinkAgents removes a job from the agents that its tasks are at. It does not
// reach an agent that refused every task of the job, which keeps its reference.
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
