package experimenter

import (
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/placer"
)

// entryNode is an entry: the real placer and the least of what an owner does.
type entryNode struct {
	system *system
	number int
	placer *placer.Placer
	conns  []*conn // conns has one connection an agent, indexed by the agent's number.
	dead   bool
	woken  bool          // woken means that a flush is planned for this moment.
	sent   map[int][]int // sent has the agents of each open job's tasks, in order.
}

// conn is a connection between an entry and an agent.
type conn struct {
	entry     *entryNode
	agent     *agentNode
	toAgent   *link
	toEntry   *link
	frame     *messenger.Frame // frame gathers what goes to the agent.
	entryGone bool             // entryGone means that the agent has noticed the entry's end.
	agentGone bool             // agentGone means that the entry has noticed the agent's end.
}

func (e *entryNode) connect(a *agentNode) {
	s := e.system
	c := s.newConn(e, a)
	e.conns = append(e.conns, c)
	a.conns = append(a.conns, c)
	if e.sent == nil {
		e.sent = make(map[int][]int)
	}
	s.meet(c)
}

// submit takes a job of a caller.
func (e *entryNode) submit(i int, _ *Job) {
	spec := e.system.spec(i)
	if r := e.placer.Enqueue(e.system.now(), spec); r.Reason != "" {
		e.system.result.Jobs[i].Outcome = JobRefused
		return
	}
	e.wake()
}

// receive applies a frame of an agent.
func (e *entryNode) receive(c *conn, f *messenger.Frame) {
	if e.dead || c.agentGone {
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
	e.wake()
}

func (e *entryNode) result(c *conn, r *messenger.Result) {
	s := e.system
	i := s.numbers[r.Submission]
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
		e.stop(i)
	default:
		s.left[i]--
		if s.left[i] > 0 {
			return
		}
		delete(e.sent, i)
		s.result.Jobs[i] = JobResult{
			Outcome:  JobComplete,
			Response: s.clock.now - warmUp - s.workload.Jobs[i].At,
		}
	}
}

// stop drops the waiting tasks of a job and cancels it at its agents.
func (e *entryNode) stop(i int) {
	id := e.system.workload.Jobs[i].ID
	e.placer.Drop(id)
	for _, n := range e.sent[i] {
		f := e.conns[n].pending()
		f.Cancels = append(f.Cancels, messenger.Cancel{Submission: id, Epoch: 1})
	}
	delete(e.sent, i)
}

// wake plans a flush after the other events of this moment.
func (e *entryNode) wake() {
	if !e.woken {
		e.woken = true
		e.system.clock.after(0, e.flush)
	}
}

// flush places what can be placed and sends what is ready.
func (e *entryNode) flush() {
	e.woken = false
	if e.dead {
		return
	}
	s := e.system
	for _, a := range e.placer.Dispatch(s.now()) {
		e.start(a)
	}
	for n, c := range e.conns {
		if c.frame == nil {
			continue
		}
		f := c.frame
		c.frame = nil
		if backlog := e.placer.Backlog(agentPeer(n)); backlog > 0 && len(f.Starts) > 0 {
			f.Credit = &messenger.Credit{Backlog: backlog}
		}
		message := s.tally.message()
		for i := range f.Starts {
			s.tally.start(pair{s.numbers[f.Starts[i].Submission], n}, message)
		}
		c.toAgent.send(func() { c.agent.receive(c, f) })
	}
}

func (e *entryNode) start(a placer.Assignment) {
	s := e.system
	job := s.numbers[a.Submission]
	n := s.agentNumbers[a.Agent]
	start := messenger.Start{Submission: a.Submission, Epoch: 1, StartBy: s.clock.now + startBudget, EndBy: time.Hour, RemainingWork: a.Work}
	for _, index := range a.Tasks {
		start.Tasks = append(start.Tasks, messenger.TaskStart{Index: index})
	}
	f := e.conns[n].pending()
	f.Starts = append(f.Starts, start)
	e.noteSent(job, n)
}

func (e *entryNode) noteSent(job, agent int) {
	for _, n := range e.sent[job] {
		if n == agent {
			return
		}
	}
	e.sent[job] = append(e.sent[job], agent)
}

// agentLost applies the end of a connection: the jobs with tasks there fail.
func (e *entryNode) agentLost(c *conn) {
	c.agentGone = true
	if e.dead {
		return
	}
	e.placer.AgentDown(e.system.now(), agentPeer(c.agent.number))
	for i := range e.system.workload.Jobs {
		for _, n := range e.sent[i] {
			if n == c.agent.number && e.system.result.Jobs[i].Outcome == JobOpen {
				e.system.fail(i)
				e.stop(i)
				break
			}
		}
	}
	e.flush()
}

// die ends the entry and its jobs.
func (e *entryNode) die() {
	e.dead = true
	for i := range e.system.workload.Jobs {
		j := &e.system.workload.Jobs[i]
		if j.Entry == e.number && warmUp+j.At <= e.system.clock.now {
			e.system.fail(i)
		}
	}
	for _, c := range e.conns {
		e.system.clock.after(noticeAfter, func() { c.agent.entryLost(c) })
	}
}

func (c *conn) pending() *messenger.Frame {
	if c.frame == nil {
		c.frame = &messenger.Frame{}
	}
	return c.frame
}
