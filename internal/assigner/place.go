package assigner

import (
	"cmp"
	"math"
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
)

const (
	// firstStartWindow is the longest time between the launch of the first task at an agent
	// and its start.
	firstStartWindow = 150 * time.Millisecond
	// randomWeight is the weight of randomness in each choice. Entries with the same view
	// of the load, which is as old as the latest report, must not all choose the same
	// upstream: among equal upstreams, the probability is proportional to the free capacity.
	randomWeight = 12 * time.Millisecond
	// clockSkewDivisor bounds the rate error of an agent's clock, as a divisor: 2%.
	clockSkewDivisor = 50
	// minFreeShare is the least share of the capacity that is counted as free.
	minFreeShare = 0.01
	// avoidCost is the added cost of an upstream at which a run of the task ended badly, or
	// which may crash under tasks of other queues.
	avoidCost = 300 * time.Millisecond
	// defaultRun is the mean run time that is assumed until tasks have ended.
	defaultRun = 250 * time.Millisecond
	// nominalRunTimePercent is the relative run time of an upstream that takes exactly the
	// expected time.
	nominalRunTimePercent = 100
)

// latestStart returns the latest start with which the job meets its objective.
func (t *task) latestStart() time.Duration { return t.job.objective - t.expected }

// distantSlack is the time for which a task can wait and still be in time, from which it is
// scheduled after tasks that are late.
const distantSlack = 3 * time.Second

// isUrgent reports whether a task can still be in time, but cannot wait for long. For the first tasks of a job
// that includes a margin. There is none while a queue is hazardous: capacity is then short because of
// its tasks, and their placement has rules of its own.
func (a *Assigner) isUrgent(now time.Duration, t *task) bool {
	latest := t.latestStart()
	if !t.job.launched && !a.confining {
		latest -= t.beginMargin()
	}
	return latest >= now && latest < now+distantSlack
}

// schedule launches the pending tasks, the most urgent first. Tasks that can no longer be
// in time, or hardly, come after those that can, unless the latter can wait for long.
func (a *Assigner) schedule(now time.Duration) {
	a.lacksCapacity, a.lacksExposed = false, false
	if len(a.pending) == 0 || a.holding {
		return
	}
	a.updatePriorities(now)
	if confining := a.crashes.anyHazard(now); confining != a.confining {
		a.confining, a.unsorted = confining, true
	}
	if a.unsorted {
		slices.SortStableFunc(a.pending, func(x, y *task) int {
			return cmp.Or(cmp.Compare(x.job.Priority, y.job.Priority), cmp.Compare(a.due(x), a.due(y)), x.ref.Compare(y.ref))
		})
		a.unsorted = false
	}
	for _, t := range a.pending {
		a.updateSuspicion(now, t)
		t.deferred = false
		t.outstanding = a.outstanding.of(now, t.ref)
	}
	others, unscheduled := a.scheduleSelected(now, func(t *task) bool { return a.isUrgent(now, t) })
	a.lacksCapacity = unscheduled.others > 0 && a.serving
	a.lacksExposed = unscheduled.hazardous > 0 && a.serving
	if others {
		distant, _ := a.scheduleSelected(now, func(t *task) bool { return t.latestStart() < now+distantSlack })
		if distant {
			a.scheduleSelected(now, func(t *task) bool { return t.latestStart() >= now+distantSlack })
		}
	}
	a.dropGone(now)
}

// scheduleSelected launches the pending tasks that are selected. It reports whether any
// was not selected, and for how many of the selected ones there was no capacity.
func (a *Assigner) scheduleSelected(now time.Duration, selected func(*task) bool) (skipped bool, unscheduled unscheduledTasks) {
	failedAttempts, failedLimited := 0, 0
	a.unscheduled, a.deferred = a.unscheduled[:0], a.deferred[:0]
	a.pending = slices.DeleteFunc(a.pending, func(t *task) bool {
		if !selected(t) {
			skipped = true
			return false
		}
		if t.job.withoutPlace || a.mayBeRecalled(now, t.job) {
			return false
		}
		failed := &failedAttempts
		if t.step.MaxPerUpstream > 0 {
			failed = &failedLimited
		}
		t.maxWait = a.maxLaunchWait(t)
		if *failed >= maxFailedAttempts || slices.ContainsFunc(a.unscheduled, t.needsAtLeast) {
			unscheduled.add(t)
			return false
		}
		if len(a.deferred) >= maxFailedAttempts || slices.ContainsFunc(a.deferred, t.isDeferredWith) {
			t.deferred = true
			unscheduled.add(t)
			return false
		}
		c := a.choose(now, t)
		if c.agent == nil {
			unscheduled.add(t)
			switch {
			case len(t.outstanding) > 0:
			case c.deferred:
				// Others may use the free capacity that is too slow for this task.
				t.deferred = true
				a.deferred = append(a.deferred, t)
			default:
				*failed++
				a.unscheduled = append(a.unscheduled, t)
			}
			return false
		}
		if t.job.callerGone(now) {
			// The caller may have submitted the job to another entry, which runs it.
			a.gone = append(a.gone, t.job)
			return false
		}
		a.launch(now, t, c.agent, c.wait)
		return true
	})
	return skipped, unscheduled
}

// unscheduledTasks counts tasks for which a pass found no capacity. Tasks that are under
// suspicion, have outstanding starts or a limit at each upstream are left out, since these may wait for
// more than capacity.
type unscheduledTasks struct{ hazardous, others int }

func (u *unscheduledTasks) add(t *task) {
	switch {
	case t.suspicion != nil || len(t.outstanding) > 0 || t.step.MaxPerUpstream > 0:
	case t.hazardous:
		u.hazardous++
	default:
		u.others++
	}
}

// maxFailedAttempts bounds the failed attempts to schedule a task in one pass. Each is for
// a task that needs less than those before it, or other upstreams. The tasks that have a limit at each
// upstream have attempts of their own, since these fail although there is capacity, and so do the tasks that are
// deferred.
const maxFailedAttempts = 16

// needsAtLeast reports whether a task needs the same upstreams as another task, at
// least as many resources, and may wait no longer than that one. A limit at each upstream is one more need, which only tasks of
// the same step share.
func (t *task) needsAtLeast(o *task) bool {
	return t.maxWait <= o.maxWait && t.job.Service == o.job.Service && t.step.Label == o.step.Label && o.step.Resources.Fits(t.step.Resources) &&
		(t.hazardous || !o.hazardous) && t.suspicion == o.suspicion && (o.step.MaxPerUpstream == 0 || t.step == o.step)
}

// isDeferredWith reports whether a task is deferred if another one is: it needs the same, and has as little time.
// A difference of launchWait does not matter, so that tasks of jobs that arrive one after the other are alike.
func (t *task) isDeferredWith(o *task) bool {
	return t.needsAtLeast(o) && t.expected >= o.expected && t.latestStart() <= o.latestStart()+launchWait
}

// maxCandidates bounds the number of upstreams with free capacity that are compared for a
// task and, separately, of those without. More candidates hardly improve the choice, and
// take more than 2 us.
const maxCandidates = 24

// choose returns the agent whose upstream is expected to complete the task first, among
// some of those with free capacity, and the expected wait there. There is no agent if none
// has free capacity, or if those that do are so slow that the task can be in time only at
// an upstream that is still occupied. Some tasks may then wait at an occupied one.
func (a *Assigner) choose(now time.Duration, t *task) chosen {
	if g := a.spread(now, t); g != nil {
		return chosen{agent: g}
	}
	c := choice{maxWait: t.maxWait}
	next := 0
	if len(a.order) > maxCandidates {
		next = a.random.IntN(len(a.order))
	}
	for i := 0; i < len(a.order) && c.free < maxCandidates; i++ {
		at := next
		if next++; next == len(a.order) {
			next = 0
		}
		if c.occupied >= maxCandidates && t.step.Resources.MilliCPU > a.spareCPU[at] {
			continue
		}
		g := a.order[at]
		if !a.eligible(now, t, g) {
			continue
		}
		wait := g.wait(t.step.Resources, a.meanRun)
		cost := wait + a.cost(t, g)
		if wait > launchWait {
			c.addOccupied(placement{g, cost, wait})
			continue
		}
		c.addFree(placement{g, cost, wait}, cost+a.randomCost(g))
	}
	return c.result(now, t.latestStart())
}

// eligible reports whether the task may be launched at an agent now.
func (a *Assigner) eligible(now time.Duration, t *task, g *agent) bool {
	l := &g.load
	switch {
	case !g.loadKnown || g.isEvacuated() || a.suspect(now, g) || l.Service != t.job.Service:
		return false
	case !t.allowedBesideHazards(g) || !t.allowedBesideOutstanding(g):
		return false
	case len(t.outstanding) > 0 && now < t.heldUntil:
		return false
	case a.allowSuspect(l):
	case l.State == messenger.RunnerProbing:
		if len(g.tasks) > 0 || l.Used.MilliCPU > 0 || l.Queued.MilliCPU > 0 {
			return false
		}
	case l.State != messenger.RunnerReady:
		return false
	}
	return t.step.matches(l) && t.belowUpstreamLimit(g)
}

// allowSuspect reports whether an upstream is used although it is suspect. If most
// upstreams of a service are suspect, the upstreams are unlikely to be at fault.
func (a *Assigner) allowSuspect(l *messenger.Load) bool {
	if l.State != messenger.RunnerSuspect && l.State != messenger.RunnerProbing {
		return false
	}
	suspect, all := 0, 0
	for _, g := range a.order {
		if !g.loadKnown || g.isEvacuated() || g.load.Service != l.Service {
			continue
		}
		switch g.load.State {
		case messenger.RunnerSuspect, messenger.RunnerProbing:
			suspect++
			all++
		case messenger.RunnerReady:
			all++
		}
	}
	return suspect*maxSuspectDivisor > all
}

// maxSuspectDivisor bounds the share of a service's upstreams that are avoided as suspect,
// as a divisor: a half, some five times the share that fails at once.
const maxSuspectDivisor = 2

// before reports whether a task that can be in time is scheduled before the tasks of a job.
func (a *Assigner) before(t *task, j *job) bool {
	if t.job.Priority != j.Priority {
		return t.job.Priority < j.Priority
	}
	return a.due(t) < j.latestStart()
}

// matches reports whether an upstream has the label and the capacity for a step.
func (s *Step) matches(l *messenger.Load) bool {
	return s.Resources.Fits(l.Capacity) && (s.Label == "" || slices.Contains(l.Labels, s.Label))
}

func (t *task) belowUpstreamLimit(g *agent) bool {
	most := t.step.MaxPerUpstream
	return most == 0 || g.limited[t.step] < most
}

// cost returns the cost of running the task at an upstream, as a time: its slowness, its
// distance, and whether a run of the task ended badly there.
func (a *Assigner) cost(t *task, g *agent) time.Duration {
	l := &g.load
	var cost time.Duration
	if l.RelativeRunTimePercent > 0 {
		cost += t.expected * time.Duration(l.RelativeRunTimePercent-nominalRunTimePercent) / nominalRunTimePercent
	}
	if g.dataCentre != a.dataCentre {
		cost += a.limits.CrossDataCentreLatency
	}
	if t.step.Rack != "" && !slices.Contains(l.Labels, t.step.Rack) {
		cost += t.expected / 2
	}
	if slices.Contains(t.avoid, g.instance) || g.exposed && !t.hazardous {
		cost += avoidCost
	}
	return cost
}

// randomCost returns the random part of the cost. An upstream has the least of several
// with a probability proportional to its free capacity.
func (a *Assigner) randomCost(g *agent) time.Duration {
	l := &g.load
	if l.Capacity.MilliCPU == 0 {
		return 0
	}
	used := g.occupied()
	free := max(minFreeShare, 1-float64(used.MilliCPU)/float64(l.Capacity.MilliCPU))
	return time.Duration(float64(randomWeight) * math.Log(a.random.ExpFloat64()/free))
}

// occupied returns the resources in use or requested at the agent, including the launches
// that its reported load does not include.
func (g *agent) occupied() messenger.Resources {
	r := g.load.Used.Add(g.load.Queued)
	for _, h := range g.unreported {
		r = r.Add(h.resources)
	}
	return r
}

// wait returns how long a task with the given resources is expected to wait at the agent,
// assuming that the resources in use become free evenly over the run time of a task.
func (g *agent) wait(resources messenger.Resources, run time.Duration) time.Duration {
	l := &g.load
	used := g.occupied().Add(resources)
	if used.Fits(l.Capacity) {
		return 0
	}
	excess := used.Sub(l.Capacity)
	return max(
		share(excess.MilliCPU, l.Capacity.MilliCPU, run),
		share(excess.MemoryBytes, l.Capacity.MemoryBytes, run),
		share(excess.Accelerators, l.Capacity.Accelerators, run),
	)
}

func share(part, whole int64, of time.Duration) time.Duration {
	if part <= 0 || whole <= 0 {
		return 0
	}
	return time.Duration(float64(of) * float64(part) / float64(whole))
}

// outlook reports whether known upstreams have the capacity and the labels for the job's
// steps, and how long the job is expected to wait behind the work ahead of it.
func (a *Assigner) outlook(now time.Duration, j *job) (fits bool, wait time.Duration) {
	var capacity, used messenger.Resources
	hazardous := a.crashes.hazardous(now, j.Queue)
	for _, g := range a.order {
		l := &g.load
		if hazardous && !g.exposed || !g.loadKnown || l.Service != j.Service || l.State != messenger.RunnerReady || g.isEvacuated() || a.suspect(now, g) {
			continue
		}
		capacity = capacity.Add(l.Capacity)
		used = used.Add(g.occupied())
	}
	if !a.everyStepMatches(j) {
		return false, 0
	}
	for _, t := range a.pending {
		if t.job == j {
			used = used.Add(t.share)
		} else if t.latestStart() >= now && a.before(t, j) && t.hazardous == hazardous {
			// Each other entry is assumed to have as much work waiting.
			for range a.entries {
				used = used.Add(t.share)
			}
		}
	}
	if capacity == (messenger.Resources{}) {
		return true, a.startDelay(now, j)
	}
	excess := used.Sub(capacity)
	return true, share(excess.MilliCPU, capacity.MilliCPU, a.meanRun)
}

// everyStepMatches reports whether each step has an upstream of the service that could
// run it and is not being evacuated. It returns true if no upstream of the service is known yet.
func (a *Assigner) everyStepMatches(j *job) bool {
	for i := range j.Steps {
		if !a.stepMatches(j, &j.Steps[i]) {
			return false
		}
	}
	return true
}

func (a *Assigner) launch(now time.Duration, t *task, g *agent, wait time.Duration) {
	j := t.job
	if !j.launched {
		j.launched, j.launchAt = true, now
		// The other tasks of the job are due earlier now.
		a.unsorted = true
	}
	j.lastLaunchAt = now
	t.run++
	t.run = max(t.run, j.baseRun+1)
	g.sent++
	if a.idle(now, g, a.limits.IdleThreshold/2) {
		g.leftIdleAt = now
	}
	first := len(g.tasks) == 0
	startWithin := j.deadline - now
	if first {
		g.busySince = now
		startWithin = min(startWithin, firstStartWindow)
	}
	t.state, t.agent = stateLaunched, g
	g.countLimited(t.step, 1)
	j.running++
	g.tasks[t.ref] = t
	g.unreported = append(g.unreported, unreportedLaunch{sequence: g.sent, resources: t.step.Resources})
	a.spareCPU[g.position] -= t.step.Resources.MilliCPU
	age := now - g.lastReceived
	agentNow := g.lastClock + age
	g.launches = append(g.launches, messenger.Launch{
		Task: t.ref, Run: t.run, Payload: j.Payload, Resources: t.step.Resources, Service: j.Service,
		Urgency:         agentNow + t.latestStart() - now,
		StartBy:         agentNow + startWithin + age/clockSkewDivisor,
		MaxWait:         a.agentWait(t, wait),
		First:           first,
		ExpectedRunTime: t.expected, Incarnation: g.load.Incarnation, Failures: t.failures, AllowSuspect: a.allowSuspect(&g.load),
		Priority: j.Priority, Queue: j.Queue,
	})
	a.logDecision(Decision{Event: "task-launched", Task: t.ref, Run: t.run, Instance: g.instance, Wait: wait, Age: age, JobAge: now - j.arrived})
}

// send adds the frames for the agents to the output.
func (a *Assigner) send(now time.Duration) {
	waiting := a.waitingResources(now)
	for _, g := range a.order {
		w := waiting[g.load.Service]
		if len(g.launches)+len(g.withdraws) == 0 && !a.heartbeatDue(now, g) && !a.mustDecline(now, g, w) {
			continue
		}
		f := &messenger.Frame{
			Launches: g.launches, Withdraws: g.withdraws,
			Stamp: &messenger.Stamp{Clock: now, Echo: g.lastClock, Waiting: w},
		}
		g.launches, g.withdraws, g.lastSent, g.lastEcho = nil, nil, now, g.lastClock
		g.reportedWaiting, g.loadReceived = w, false
		a.out.Sends = append(a.out.Sends, Send{To: g.peer, Frame: f})
	}
}

// heartbeatDue reports whether a frame must be sent to an agent to keep the connection
// alive. While an agent is idle, the entry answers the agent's heartbeats, so that these
// alone determine the rate.
func (a *Assigner) heartbeatDue(now time.Duration, g *agent) bool {
	if a.idle(now, g, a.limits.IdleThreshold) {
		return g.lastClock > g.lastEcho || now-g.lastSent >= a.limits.IdleHeartbeatInterval+a.limits.HeartbeatInterval
	}
	return now-g.lastSent >= a.limits.HeartbeatInterval
}
