package assigner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
)

// agent is a connected agent.
type agent struct {
	peer          messenger.Peer
	instance      string
	dataCentre    string
	position      int // at is the place in the order of agents.
	load          messenger.Load
	loadKnown     bool               // known means that the agent has told its load.
	lastReceived  time.Duration      // heardAt is when the latest frame came.
	lastClock     time.Duration      // clock is the latest stamp of the agent.
	lastEcho      time.Duration      // echoed is the latest stamp of the agent that it was sent back.
	lastSent      time.Duration      // sentAt is when the latest frame was sent.
	idleSince     time.Duration      // emptyAt is when the last task there ended.
	leftIdleAt    time.Duration      // wokenAt is when a task was launched there after a rest.
	firstLaunchAt time.Duration      // filledAt is when a task was launched there while there was none.
	sent          uint64             // sent counts the launches on the connection.
	unreported    []unreportedLaunch // ahead has the launches that the load does not cover yet.
	tasks         map[messenger.TaskRef]*task
	launches      []messenger.Launch
	withdraws     []messenger.Withdraw
}

// spare returns what is not occupied of the capacity, in thousandths of a core.
func (g *agent) spareCPU() int64 { return g.load.Capacity.MilliCPU - g.occupied().MilliCPU }

// index notes where each agent stands in their order.
func (a *Assigner) updatePositions() {
	a.spareCPU = a.spareCPU[:0]
	for i, g := range a.order {
		g.position = i
		a.spareCPU = append(a.spareCPU, g.spareCPU())
	}
}

// ahead is the room of one launch.
type unreportedLaunch struct {
	sequence  uint64
	resources messenger.Resources
}

// sorted returns the tasks at the agent in a fixed order.
func (g *agent) sorted() []*task {
	return slices.SortedFunc(maps.Values(g.tasks), func(x, y *task) int { return x.ref.Compare(y.ref) })
}

// AgentUp takes the connection of an agent. Nothing that it ran for this entry before
// is left.
func (a *Assigner) AgentUp(now time.Duration, peer messenger.Peer, instance, dataCentre string) {
	if old := a.agents[peer]; old != nil {
		a.AgentDown(now, peer)
	}
	for _, g := range slices.Clone(a.order) {
		if g.instance == instance {
			a.AgentDown(now, g.peer)
			a.out.Closes = append(a.out.Closes, g.peer)
		}
	}
	for i := range a.departed {
		if a.departed[i].instance == instance {
			a.departed[i].leaseExpiry = now
		}
	}
	a.resolveDeparted(now)
	g := &agent{
		peer: peer, instance: instance, dataCentre: dataCentre, lastReceived: now, lastSent: now,
		idleSince: now - a.limits.IdleThreshold, tasks: make(map[messenger.TaskRef]*task),
	}
	a.agents[peer] = g
	a.order = append(a.order, g)
	slices.SortFunc(a.order, func(x, y *agent) int { return cmp.Compare(x.instance, y.instance) })
	a.updatePositions()
	a.logDecision(Decision{Event: "agent-connected", Instance: instance})
}

// AgentDown takes the end of an agent's connection. What ran there may still be at
// work for a while.
func (a *Assigner) AgentDown(now time.Duration, peer messenger.Peer) {
	g := a.agents[peer]
	if g == nil {
		return
	}
	delete(a.agents, peer)
	a.order = slices.DeleteFunc(a.order, func(o *agent) bool { return o == g })
	a.updatePositions()
	a.logDecision(Decision{Event: "agent-disconnected", Instance: g.instance, Age: now - g.lastReceived})
	if len(g.tasks) == 0 {
		return
	}
	d := departedAgent{instance: g.instance, leaseExpiry: max(g.lastReceived, g.firstLaunchAt+wakeMargin) + a.limits.LeaseExpiry}
	d.tasks = g.sorted()
	for _, t := range d.tasks {
		t.state = stateDeparted
		t.agent = nil
	}
	a.departed = append(a.departed, d)
}

// resolveDeparted places anew what has certainly ended.
func (a *Assigner) resolveDeparted(now time.Duration) {
	var due []departedAgent
	a.departed = slices.DeleteFunc(a.departed, func(d departedAgent) bool {
		if now < d.leaseExpiry {
			return false
		}
		due = append(due, d)
		return true
	})
	for _, d := range due {
		for _, t := range d.tasks {
			a.logDecision(Decision{Event: "task-lost", Task: t.ref, Run: t.run, Instance: d.instance})
			t.avoid = append(t.avoid, d.instance)
			a.endRun(now, t, true)
		}
	}
}

// resolve takes the end of a run that was not completed.
func (a *Assigner) endRun(now time.Duration, t *task, ran bool) {
	j := t.job
	j.running--
	j.ran = j.ran || ran
	if j.answered {
		t.state = stateDropped
		a.forget(now, j)
		return
	}
	a.makePending(t)
}

// checkAgents closes the connections of agents that are silent.
func (a *Assigner) checkAgents(now time.Duration) {
	for _, g := range slices.Clone(a.order) {
		if a.silence(now, g) > a.limits.LivenessTimeout {
			a.logDecision(Decision{Event: "agent-silent", Instance: g.instance, Age: now - g.lastReceived})
			a.out.Closes = append(a.out.Closes, g.peer)
			a.AgentDown(now, g.peer)
		}
	}
}

// wakeSlack is how long the first task after a rest may wait at its agent: returnAfter,
// and what clocks that differ by 2% drift apart in a rest of 2 s, with a margin.
const wakeMargin = 100 * time.Millisecond

// rested reports whether an agent has had no task for a time.
func (a *Assigner) idle(now time.Duration, g *agent, d time.Duration) bool {
	return len(g.tasks) == 0 && now-g.idleSince >= d
}

// silence returns for how long an agent has been silent that should not be.
func (a *Assigner) silence(now time.Duration, g *agent) time.Duration {
	silence := now - max(g.lastReceived, g.leftIdleAt)
	// The agent begins its rest later or earlier than the entry, by the way of a frame.
	if a.idle(now, g, a.limits.IdleThreshold/2) {
		silence -= a.limits.IdleHeartbeatInterval
	}
	return silence
}

// doubtful reports whether an agent has been silent for so long that nothing is sent to it.
func (a *Assigner) suspect(now time.Duration, g *agent) bool {
	return a.silence(now, g) > a.limits.SuspicionTimeout
}

// Receive takes a frame of an agent.
func (a *Assigner) Receive(now time.Duration, peer messenger.Peer, f *messenger.Frame) {
	g := a.agents[peer]
	if g == nil {
		return
	}
	g.lastReceived = now
	if f.Stamp != nil {
		g.lastClock = max(g.lastClock, f.Stamp.Clock)
	}
	for i := range f.Ends {
		a.applyEnd(now, g, &f.Ends[i])
	}
	if f.Load != nil {
		a.applyLoad(g, f.Load)
		a.spareCPU[g.position] = g.spareCPU()
	}
}

func (a *Assigner) applyLoad(g *agent, l *messenger.Load) {
	if !g.loadKnown || g.load.State != l.State || g.load.Incarnation != l.Incarnation {
		a.logDecision(Decision{Event: "upstream-state", Instance: g.instance, Reason: string(l.State)})
	}
	if l.Capacity == (messenger.Resources{}) {
		l.Capacity = g.load.Capacity
	}
	g.load, g.loadKnown = *l, true
	g.unreported = slices.DeleteFunc(g.unreported, func(h unreportedLaunch) bool { return h.sequence <= l.LaunchesReceived })
}

// ended takes the end of a run.
func (a *Assigner) applyEnd(now time.Duration, g *agent, e *messenger.End) {
	t := g.tasks[e.Task]
	if t == nil || t.run != e.Run {
		return
	}
	delete(g.tasks, e.Task)
	g.idleSince = now
	j := t.job
	t.agent = nil
	switch e.Kind {
	case messenger.EndDone:
		a.queue(j.Queue).learn(t.step.DeclaredRunTime, e.RunTime)
		a.meanRun += time.Duration(learnWeight * float64(e.RunTime-a.meanRun))
		a.completeTask(now, t)
		return
	case messenger.EndFailed:
		if a.countFailure(now, t) {
			return
		}
	case messenger.EndStaleRun:
		j.baseRun += runStep
	}
	if e.Kind != messenger.EndReturned && e.Kind != messenger.EndWithdrawn {
		t.avoid = append(t.avoid, g.instance)
	}
	if !j.answered {
		a.logDecision(Decision{Event: "task-ended", Task: t.ref, Run: t.run, Instance: g.instance, Reason: string(e.Kind), Age: e.RunTime})
	}
	ran := e.Kind.Ran() && (e.Kind != messenger.EndWithdrawn || e.Started)
	a.endRun(now, t, ran)
}

// failed counts a failure and reports whether it was the task's last.
func (a *Assigner) countFailure(now time.Duration, t *task) bool {
	t.failures++
	j := t.job
	if j.answered || t.failures < j.MaxAttempts {
		return false
	}
	t.state = stateDone
	j.running--
	j.ran = true
	a.finish(now, j, OutcomeFailed, "attempts-used-up", 0)
	return true
}

// done completes a task, and its job with the last one.
func (a *Assigner) completeTask(now time.Duration, t *task) {
	j := t.job
	j.running--
	j.ran = true
	t.state = stateDone
	j.unfinished[t.ref.Step]--
	switch {
	case j.answered:
		a.forget(now, j)
	case !slices.ContainsFunc(j.unfinished, func(n int) bool { return n > 0 }):
		a.finish(now, j, OutcomeCompleted, "", 0)
	case j.unfinished[t.ref.Step] == 0:
		a.unblock(j)
	}
}
