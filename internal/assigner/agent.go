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
	peer         messenger.Peer
	instance     string
	dataCentre   string
	position     int // index in Assigner.order and Assigner.spareCPU
	load         messenger.Load
	loadKnown    bool               // whether the agent has reported its load
	lastReceived time.Duration      // when the latest frame was received
	lastClock    time.Duration      // the agent's clock in its latest stamp
	lastEcho     time.Duration      // the agent's clock in the latest echo sent to it
	lastSent     time.Duration      // when the latest frame was sent
	idleSince    time.Duration      // when the latest task there ended
	leftIdleAt   time.Duration      // when a task was last launched there while it was idle
	busySince    time.Duration      // when a task was last launched there while it had none
	sent         uint64             // number of launches on the connection
	unreported   []unreportedLaunch // launches that the reported load does not include yet
	tasks        map[messenger.TaskRef]*task
	limited      map[*Step]int // number of tasks here of each step that has a limit at each upstream
	launches     []messenger.Launch
	withdraws    []messenger.Withdraw
	exposed      bool          // whether tasks of hazardous queues may be launched at the agent
	absentSince  time.Duration // when the upstream became absent; 0 if it is not
	// evacuated is whether the data centre of the agent is being evacuated, as known to this entry.
	evacuated bool
	// reportedWaiting is what waits at this entry, as told in the latest frame to the agent. loadReceived is
	// whether a load report has come since.
	reportedWaiting messenger.Resources
	loadReceived    bool
}

// countLimited changes the number of tasks of a step at the agent, if the step has a limit.
func (g *agent) countLimited(s *Step, change int) {
	if s.MaxPerUpstream == 0 {
		return
	}
	if g.limited[s] += change; g.limited[s] == 0 {
		delete(g.limited, s)
	}
}

// spareCPU returns the capacity that is not occupied, in thousandths of a core.
func (g *agent) spareCPU() int64 { return g.load.Capacity.MilliCPU - g.occupied().MilliCPU }

// updatePositions updates each agent's position and the spare CPU by position.
func (a *Assigner) updatePositions() {
	a.spareCPU = a.spareCPU[:0]
	for i, g := range a.order {
		g.position = i
		a.spareCPU = append(a.spareCPU, g.spareCPU())
	}
	a.exposureOrder = append(a.exposureOrder[:0], a.order...)
	slices.SortFunc(a.exposureOrder, func(x, y *agent) int {
		return cmp.Or(cmp.Compare(nameHash(x.instance), nameHash(y.instance)), cmp.Compare(x.instance, y.instance))
	})
}

// unreportedLaunch holds the resources of a launch.
type unreportedLaunch struct {
	sequence  uint64
	resources messenger.Resources
}

// sorted returns the tasks at the agent in a fixed order.
func (g *agent) sorted() []*task {
	return slices.SortedFunc(maps.Values(g.tasks), func(x, y *task) int { return x.ref.Compare(y.ref) })
}

// AgentUp applies the connection of an agent. The agent has stopped all earlier runs for
// this entry before it connects.
func (a *Assigner) AgentUp(now time.Duration, peer messenger.Peer, instance, dataCentre string) {
	a.noticeReturn(now)
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
			a.departed[i].leaseExpiry, a.departed[i].proof = now, messenger.ProofReconnected
		}
	}
	a.resolveDeparted(now)
	g := &agent{
		peer: peer, instance: instance, dataCentre: dataCentre, lastReceived: now, lastSent: now,
		idleSince: now - a.limits.IdleThreshold, tasks: make(map[messenger.TaskRef]*task), limited: make(map[*Step]int),
		evacuated: slices.Contains(a.evacuated, dataCentre),
	}
	a.agents[peer] = g
	a.order = append(a.order, g)
	slices.SortFunc(a.order, func(x, y *agent) int { return cmp.Compare(x.instance, y.instance) })
	a.updatePositions()
	a.logDecision(Decision{Event: "agent-connected", Instance: instance})
}

// AgentDown applies the end of an agent's connection. Its tasks may still run until its
// lease expires.
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
	d := departedAgent{instance: g.instance, proof: messenger.ProofLeaseExpired, leaseExpiry: max(g.lastReceived, g.busySince+wakeMargin) + a.limits.LeaseExpiry}
	d.tasks = g.sorted()
	for _, t := range d.tasks {
		t.state = stateDeparted
		t.agent = nil
	}
	a.departed = append(a.departed, d)
}

// maxLostAgents is the number of agents that are lost while a task is at them before its job
// is given up: what the entry sends may be what ends them.
const maxLostAgents = 3

// resolveDeparted reschedules the tasks of departed agents whose lease has expired, so
// that their runs have ended.
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
			a.logDecision(Decision{Event: "task-lost", Task: t.ref, Run: t.run, Instance: d.instance, Proof: d.proof.Name()})
			t.avoid = append(t.avoid, d.instance)
			t.lostAgents++
			a.endRun(now, t, true)
		}
	}
}

// endRun applies the end of a run that did not complete, and reschedules the task unless
// the job is answered.
func (a *Assigner) endRun(now time.Duration, t *task, ran bool) {
	j := t.job
	j.running--
	j.ran = j.ran || ran
	if j.answered {
		t.state = stateDropped
		a.forget(now, j)
		return
	}
	if t.lostAgents >= maxLostAgents {
		t.state = stateDropped
		a.finish(now, j, OutcomeGivenUp, "agents-lost", 0)
		return
	}
	if a.crashes.givenUp(t.ref) {
		t.state = stateDropped
		a.failCrashing(now, j, t.ref)
		return
	}
	a.makePending(t)
	a.abandonWithoutPlace(now, j)
}

// checkAgents closes the connections of agents that exceed the liveness timeout.
func (a *Assigner) checkAgents(now time.Duration) {
	for _, g := range slices.Clone(a.order) {
		if a.silence(now, g) > a.limits.LivenessTimeout {
			a.logDecision(Decision{Event: "agent-silent", Instance: g.instance, Age: now - g.lastReceived})
			a.out.Closes = append(a.out.Closes, g.peer)
			a.AgentDown(now, g.peer)
		}
	}
}

// wakeMargin is the longest time between the launch of the first task at an agent and its
// start: firstStartWindow, plus the drift of clocks that differ by 2% over an idle period
// of 2 s, in both directions, plus a margin.
const wakeMargin = 250 * time.Millisecond

// idle reports whether an agent has had no task for at least the duration.
func (a *Assigner) idle(now time.Duration, g *agent, d time.Duration) bool {
	return len(g.tasks) == 0 && now-g.idleSince >= d
}

// silence returns the time since the agent's latest frame, less the idle heartbeat
// interval while the agent is idle.
func (a *Assigner) silence(now time.Duration, g *agent) time.Duration {
	silence := now - max(g.lastReceived, g.leftIdleAt)
	// The agent's idle period begins earlier or later than the entry's view of it, by the
	// latency of a frame, so half of the threshold is used here.
	if a.idle(now, g, a.limits.IdleThreshold/2) {
		silence -= a.limits.IdleHeartbeatInterval
	}
	return silence
}

// suspect reports whether an agent exceeds the suspicion timeout, so that no task is
// launched there.
func (a *Assigner) suspect(now time.Duration, g *agent) bool {
	return a.silence(now, g) > a.limits.SuspicionTimeout
}

// Receive applies a frame from an agent.
func (a *Assigner) Receive(now time.Duration, peer messenger.Peer, f *messenger.Frame) {
	g := a.agents[peer]
	if g == nil {
		return
	}
	g.lastReceived = now
	if f.Stamp != nil {
		g.lastClock = max(g.lastClock, f.Stamp.Clock)
	}
	for i := range f.Crashes {
		a.recordCrash(now, &f.Crashes[i])
	}
	for i := range f.OutstandingStarts {
		a.recordOutstanding(now, g, &f.OutstandingStarts[i])
	}
	for i := range f.Ends {
		a.applyEnd(now, g, &f.Ends[i])
	}
	if f.Load != nil {
		a.applyLoad(now, g, f.Load)
		g.loadReceived = true
		a.spareCPU[g.position] = g.spareCPU()
	}
}

func (a *Assigner) applyLoad(now time.Duration, g *agent, l *messenger.Load) {
	a.observeOutage(now, g, l.State)
	if !g.loadKnown || g.load.State != l.State || g.load.Incarnation != l.Incarnation {
		a.logDecision(Decision{Event: "upstream-state", Instance: g.instance, Reason: string(l.State)})
		if id := messenger.UpstreamID(l.Incarnation); id != "" {
			a.outstanding.removeReplaced(g.instance, id)
		}
	}
	if l.State == messenger.RunnerAbsent && l.Capacity == (messenger.Resources{}) {
		l.Capacity = g.load.Capacity
	}
	g.load, g.loadKnown = *l, true
	g.unreported = slices.DeleteFunc(g.unreported, func(h unreportedLaunch) bool { return h.sequence <= l.LaunchesReceived })
}

// applyEnd applies the end of a run that an agent reports.
func (a *Assigner) applyEnd(now time.Duration, g *agent, e *messenger.End) {
	t := g.tasks[e.Task]
	if t == nil || t.run != e.Run {
		return
	}
	delete(g.tasks, e.Task)
	g.idleSince = now
	j := t.job
	t.agent = nil
	g.countLimited(t.step, -1)
	switch e.Kind {
	case messenger.EndDone:
		a.queue(j.Queue).learn(now, t.step.DeclaredRunTime, e.RunTime)
		a.meanRun += time.Duration(learnWeight * float64(e.RunTime-a.meanRun))
		a.completeTask(now, t)
		return
	case messenger.EndFailed:
		if a.countFailure(now, t) {
			return
		}
	case messenger.EndStaleRun:
		j.baseRun += runStep
	case messenger.EndReturned:
		t.returns++
	case messenger.EndRefused:
		t.heldUntil = now + refusalDelay
	case messenger.EndCrashed:
		a.out.Crashed = append(a.out.Crashed, j.Queue)
	}
	if e.Kind != messenger.EndReturned && e.Kind != messenger.EndEvacuated && e.Kind != messenger.EndWithdrawn {
		t.avoid = append(t.avoid, g.instance)
	}
	if !j.answered {
		a.logDecision(Decision{Event: "task-ended", Task: t.ref, Run: t.run, Instance: g.instance, Reason: string(e.Kind), Proof: e.Proof.Name(), Age: e.RunTime})
	}
	ran := e.Kind.Ran() && (e.Kind != messenger.EndWithdrawn || e.Started)
	a.endRun(now, t, ran)
}

// countFailure counts a failed attempt. If the attempts are used up, it fails the job
// and returns true.
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

// completeTask marks a task as done and completes its job if no task is left.
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
		a.abandonWithoutPlace(now, j)
	case j.withoutPlace || j.running == 0:
		a.abandonWithoutPlace(now, j)
	}
}
