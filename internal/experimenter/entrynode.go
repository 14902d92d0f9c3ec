package experimenter

import (
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/placer"
)

// entryNode is an entry: the real placer and a minimal model of an owner.
type entryNode struct {
	system       *system
	number       int
	placer       *placer.Placer
	conns        []*conn // conns holds one connection per agent, indexed by the agent's number.
	crashed      bool
	flushPlanned bool
	jobAgents    map[int][]int // jobAgents holds the agents that received tasks of each open job, in order.
}

// conn is a connection between an entry and an agent.
type conn struct {
	entry         *entryNode
	agent         *agentNode
	toAgent       *link
	toEntry       *link
	outgoing      *messenger.Frame // outgoing collects what the next flush sends to the agent; it may be nil.
	agentNotified bool             // agentNotified is set when the agent has detected that the connection ended.
	entryNotified bool             // entryNotified is set when the entry has detected that the connection ended.
}

func (e *entryNode) connect(a *agentNode) {
	s := e.system
	c := s.newConn(e, a)
	e.conns = append(e.conns, c)
	a.conns = append(a.conns, c)
	if e.jobAgents == nil {
		e.jobAgents = make(map[int][]int)
	}
	s.connected(c)
}

// submit enqueues a job at the placer.
func (e *entryNode) submit(i int, _ *Job) {
	spec := e.system.spec(i)
	if r := e.placer.Enqueue(e.system.now(), spec); r.Reason != "" {
		e.system.result.Jobs[i].Outcome = JobRefused
		return
	}
	e.planFlush()
}

// receive applies a frame from an agent.
func (e *entryNode) receive(c *conn, f *messenger.Frame) {
	if e.crashed || c.entryNotified {
		return
	}
	now := e.system.now()
	peer := agentPeer(c.agent.number)
	if f.Capacity != nil {
		e.placer.SetCapacity(now, peer, *f.Capacity)
	}
	if f.Credit != nil && !e.system.settings.NoCredits {
		e.placer.SetCredit(now, peer, f.Credit.Limit)
	}
	for i := range f.Results {
		e.result(c, &f.Results[i])
	}
	e.planFlush()
}

func (e *entryNode) result(c *conn, r *messenger.Result) {
	s := e.system
	i := s.jobNumbers[r.Submission]
	for _, t := range r.Tasks {
		e.placer.Ended(s.now(), placer.End{
			Agent:      agentPeer(c.agent.number),
			Submission: r.Submission,
			Index:      t.Index,
			Kind:       t.Kind,
			Refusal:    t.Refusal,
			RunTime:    t.RunTime,
		})
		if s.result.Jobs[i].Outcome == JobOpen {
			e.taskEnded(i, &t)
		}
	}
}

func (e *entryNode) taskEnded(i int, t *messenger.TaskResult) {
	s := e.system
	switch t.Kind {
	case messenger.ResultRefused:
		e.placer.Requeue(s.now(), s.spec(i), t.Index)
	case messenger.ResultFailed:
		s.fail(i)
		e.cancel(i)
	default:
		s.remaining[i]--
		if s.remaining[i] > 0 {
			return
		}
		delete(e.jobAgents, i)
		s.result.Jobs[i] = JobResult{
			Outcome:  JobComplete,
			Response: s.clock.now - warmUp - s.workload.Jobs[i].At,
		}
	}
}

// cancel drops the waiting tasks of a job and cancels the others at its agents.
func (e *entryNode) cancel(i int) {
	id := e.system.workload.Jobs[i].ID
	e.placer.Drop(id)
	for _, n := range e.jobAgents[i] {
		f := e.conns[n].outgoingFrame()
		f.Cancels = append(f.Cancels, messenger.Cancel{Submission: id, Epoch: 1})
	}
	delete(e.jobAgents, i)
}

// planFlush schedules a flush after the other events of the current time.
func (e *entryNode) planFlush() {
	if !e.flushPlanned {
		e.flushPlanned = true
		e.system.clock.after(0, e.flush)
	}
}

// flush schedules waiting tasks on agents and sends the collected frames.
func (e *entryNode) flush() {
	e.flushPlanned = false
	if e.crashed {
		return
	}
	s := e.system
	for _, a := range e.placer.Dispatch(s.now()) {
		e.start(a)
	}
	for n, c := range e.conns {
		if c.outgoing == nil {
			continue
		}
		f := c.outgoing
		c.outgoing = nil
		if backlog := e.placer.Backlog(agentPeer(n)); backlog > 0 && len(f.Starts) > 0 {
			f.Credit = &messenger.Credit{Backlog: backlog}
		}
		message := s.messages.count()
		for i := range f.Starts {
			s.messages.recordStart(jobAgent{s.jobNumbers[f.Starts[i].Submission], n}, message)
		}
		c.toAgent.send(func() { c.agent.receive(c, f) })
	}
}

func (e *entryNode) start(a placer.Assignment) {
	s := e.system
	job := s.jobNumbers[a.Submission]
	n := s.agentNumbers[a.Agent]
	start := messenger.Start{Submission: a.Submission, Epoch: 1, StartBy: s.clock.now + startTimeout, EndBy: time.Hour, RemainingWork: a.Work}
	for _, index := range a.Tasks {
		start.Tasks = append(start.Tasks, messenger.TaskStart{Index: index})
	}
	f := e.conns[n].outgoingFrame()
	f.Starts = append(f.Starts, start)
	e.addJobAgent(job, n)
}

func (e *entryNode) addJobAgent(job, agent int) {
	for _, n := range e.jobAgents[job] {
		if n == agent {
			return
		}
	}
	e.jobAgents[job] = append(e.jobAgents[job], agent)
}

// connectionClosed handles the end of a connection. Open jobs with tasks at the agent fail.
func (e *entryNode) connectionClosed(c *conn) {
	c.entryNotified = true
	if e.crashed {
		return
	}
	e.placer.AgentDown(e.system.now(), agentPeer(c.agent.number))
	for i := range e.system.workload.Jobs {
		for _, n := range e.jobAgents[i] {
			if n == c.agent.number && e.system.result.Jobs[i].Outcome == JobOpen {
				e.system.fail(i)
				e.cancel(i)
				break
			}
		}
	}
	e.flush()
}

// crash ends the entry and fails its jobs.
func (e *entryNode) crash() {
	e.crashed = true
	for i := range e.system.workload.Jobs {
		j := &e.system.workload.Jobs[i]
		if j.Entry == e.number && warmUp+j.At <= e.system.clock.now {
			e.system.fail(i)
		}
	}
	for _, c := range e.conns {
		e.system.clock.after(disconnectDelay, func() { c.agent.connectionClosed(c) })
	}
}

func (c *conn) outgoingFrame() *messenger.Frame {
	if c.outgoing == nil {
		c.outgoing = &messenger.Frame{}
	}
	return c.outgoing
}
