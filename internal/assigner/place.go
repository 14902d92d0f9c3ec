package assigner

import (
	"cmp"
	"math"
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
)

const (
	// returnAfter is how long a task may wait at an agent until it goes back, so that
	// it can be placed where room has become free.
	maxAgentWait = 25 * time.Millisecond
	// lookAhead is the longest expected wait with which a task is sent to an agent: it
	// covers the way there, so that room that becomes free is used at once.
	maxLaunchWait = 3 * time.Millisecond
	// scatter is the weight of chance in each choice. Entries with the same view, which
	// is as old as the last report, must not choose the same upstream: among equal
	// ones the chance is in proportion to the room that is free.
	randomWeight = 12 * time.Millisecond
	// clockSkew is by how much the clock of an agent may be off, as a divisor: 2%.
	clockSkewDivisor = 50
	// minFree is the least share of room that counts as free.
	minFreeShare = 0.01
	// avoidCost is what an upstream counts more where the task has ended badly.
	avoidCost = 300 * time.Millisecond
	// defaultRun is the run time of tasks until one is known.
	defaultRun = 250 * time.Millisecond
	// nominalPace is the pace of an upstream that takes the expected time, in percent.
	nominalPace = 100
)

// urgency returns the latest start with which the job meets its objective.
func (t *task) latestStart() time.Duration { return t.job.objective - t.expected }

// place launches the waiting tasks, the most urgent first. What cannot be in time
// any more comes after what still can.
func (a *Assigner) schedule(now time.Duration) {
	a.lacksCapacity = false
	if len(a.pending) == 0 {
		return
	}
	if a.unsorted {
		slices.SortStableFunc(a.pending, func(x, y *task) int {
			return cmp.Or(cmp.Compare(x.job.Priority, y.job.Priority), cmp.Compare(x.latestStart(), y.latestStart()), x.ref.Compare(y.ref))
		})
		a.unsorted = false
	}
	late, unscheduled := a.scheduleSelected(now, func(t *task) bool { return t.latestStart() >= now })
	a.lacksCapacity = unscheduled > 0 && a.serving
	if late {
		a.scheduleSelected(now, func(t *task) bool { return t.latestStart() < now })
	}
}

// placeAll launches the tasks that are selected. It reports whether any was not, and
// how many found no room.
func (a *Assigner) scheduleSelected(now time.Duration, selected func(*task) bool) (skipped bool, unscheduled int) {
	failedAttempts := 0
	a.unscheduled = a.unscheduled[:0]
	a.pending = slices.DeleteFunc(a.pending, func(t *task) bool {
		if !selected(t) {
			skipped = true
			return false
		}
		if failedAttempts >= maxFailedAttempts || slices.ContainsFunc(a.unscheduled, t.needsAtLeast) {
			unscheduled++
			return false
		}
		g, wait := a.choose(now, t)
		if g == nil {
			unscheduled++
			failedAttempts++
			a.unscheduled = append(a.unscheduled, t)
			return false
		}
		a.launch(now, t, g, wait)
		return true
	})
	return skipped, unscheduled
}

// maxTries bounds the tasks that are tried in vain in one pass, each of which asks for
// less than those before it or for another label.
const maxFailedAttempts = 16

// asksMore reports whether a task asks for as much as another one or more, of the same
// upstreams.
func (t *task) needsAtLeast(o *task) bool {
	return t.job.Service == o.job.Service && t.step.Label == o.step.Label && o.step.Resources.Fits(t.step.Resources)
}

// maxLooks bounds the upstreams with room that are compared for a task, and as many
// without: more make a choice hardly better, and take more than 2 us.
const maxCandidates = 24

// choose returns the agent whose upstream is expected to end the task first, among
// some of those with room, and how long the task is expected to wait there. It returns
// nil if none has room, or if those that have are so slow that the task is in time only
// elsewhere.
func (a *Assigner) choose(now time.Duration, t *task) (*agent, time.Duration) {
	var best *agent
	var bestCost, bestWait, bestKey time.Duration
	fullCost := time.Duration(math.MaxInt64)
	next := 0
	if len(a.order) > maxCandidates {
		next = a.random.IntN(len(a.order))
	}
	candidates, fullCandidates := 0, 0
	for i := 0; i < len(a.order) && candidates < maxCandidates; i++ {
		at := next
		if next++; next == len(a.order) {
			next = 0
		}
		if fullCandidates >= maxCandidates && t.step.Resources.MilliCPU > a.spareCPU[at] {
			continue
		}
		g := a.order[at]
		if !a.eligible(now, t, g) {
			continue
		}
		wait := g.wait(t.step.Resources, a.meanRun)
		cost := wait + a.cost(t, g)
		if wait > maxLaunchWait {
			fullCandidates++
			fullCost = min(fullCost, cost)
			continue
		}
		candidates++
		if key := cost + a.randomCost(g); best == nil || key < bestKey {
			best, bestCost, bestWait, bestKey = g, cost, wait, key
		}
	}
	if best != nil && fullCost < bestCost && now+bestCost > t.latestStart() && now+fullCost <= t.latestStart() {
		return nil, 0
	}
	return best, bestWait
}

// eligible reports whether the task may be launched at an agent now.
func (a *Assigner) eligible(now time.Duration, t *task, g *agent) bool {
	l := &g.load
	switch {
	case !g.loadKnown || a.suspect(now, g) || l.Service != t.job.Service:
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

// insists reports whether a suspect upstream is used all the same: with most of the
// upstreams of a service suspect, the fault is not theirs.
func (a *Assigner) allowSuspect(l *messenger.Load) bool {
	if l.State != messenger.RunnerSuspect && l.State != messenger.RunnerProbing {
		return false
	}
	suspect, all := 0, 0
	for _, g := range a.order {
		if !g.loadKnown || g.load.Service != l.Service {
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

// maxSuspect is the share of the upstreams that may be passed over as suspect, as a
// divisor: a half, some five times of what fails at once.
const maxSuspectDivisor = 2

// before reports whether a task that can be in time goes before those of a job.
func (t *task) before(j *job) bool {
	if t.job.Priority != j.Priority {
		return t.job.Priority < j.Priority
	}
	return t.latestStart() < j.objective-j.expected
}

// suits reports whether an upstream has the label and the size for a step.
func (s *Step) matches(l *messenger.Load) bool {
	return s.Resources.Fits(l.Capacity) && (s.Label == "" || slices.Contains(l.Labels, s.Label))
}

func (t *task) belowUpstreamLimit(g *agent) bool {
	most := t.step.MaxPerUpstream
	if most == 0 {
		return true
	}
	n := 0
	for _, other := range t.job.tasks {
		if other.ref.Step == t.ref.Step && other.agent == g {
			n++
		}
	}
	return n < most
}

// cost returns what speaks against an upstream, as a time.
func (a *Assigner) cost(t *task, g *agent) time.Duration {
	l := &g.load
	var cost time.Duration
	if l.RelativeRunTimePercent > 0 {
		cost += t.expected * time.Duration(l.RelativeRunTimePercent-nominalPace) / nominalPace
	}
	if g.dataCentre != a.dataCentre {
		cost += a.limits.CrossDataCentreLatency
	}
	if t.step.Rack != "" && !slices.Contains(l.Labels, t.step.Rack) {
		cost += t.expected / 2
	}
	if slices.Contains(t.avoid, g.instance) {
		cost += avoidCost
	}
	return cost
}

// chance returns the random part of a choice: the least of several is in proportion
// to the room that is free.
func (a *Assigner) randomCost(g *agent) time.Duration {
	l := &g.load
	if l.Capacity.MilliCPU == 0 {
		return 0
	}
	used := g.occupied()
	free := max(minFreeShare, 1-float64(used.MilliCPU)/float64(l.Capacity.MilliCPU))
	return time.Duration(float64(randomWeight) * math.Log(a.random.ExpFloat64()/free))
}

// occupied returns the room in use or asked for at the agent, with the launches that
// its load does not cover.
func (g *agent) occupied() messenger.Resources {
	r := g.load.Used.Add(g.load.Queued)
	for _, h := range g.unreported {
		r = r.Add(h.resources)
	}
	return r
}

// wait returns how long a task of a size is expected to wait at the agent, if the
// room in use becomes free evenly over the run time of a task.
func (g *agent) wait(room messenger.Resources, run time.Duration) time.Duration {
	l := &g.load
	used := g.occupied().Add(room)
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

// outlook reports whether any known upstream has the size and the labels for the
// job, and how long the job is expected to wait, from what is ahead of it.
func (a *Assigner) outlook(now time.Duration, j *job) (fits bool, wait time.Duration) {
	var capacity, used messenger.Resources
	for _, g := range a.order {
		l := &g.load
		if !g.loadKnown || l.Service != j.Service || l.State != messenger.RunnerReady || a.suspect(now, g) {
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
			used = used.Add(t.step.Resources)
		} else if t.latestStart() >= now && t.before(j) {
			// The other entries have as much waiting.
			for range a.entries {
				used = used.Add(t.step.Resources)
			}
		}
	}
	if capacity == (messenger.Resources{}) {
		return true, a.outage(now)
	}
	excess := used.Sub(capacity)
	return true, share(excess.MilliCPU, capacity.MilliCPU, a.meanRun)
}

// everySuits reports whether each step has an upstream of the service that could
// run it. With none known that is open, and assumed.
func (a *Assigner) everyStepMatches(j *job) bool {
	known := false
	suits := make([]bool, len(j.Steps))
	for _, g := range a.order {
		if !g.loadKnown || g.load.Service != j.Service || g.load.Capacity == (messenger.Resources{}) {
			continue
		}
		known = true
		for i := range j.Steps {
			suits[i] = suits[i] || j.Steps[i].matches(&g.load)
		}
	}
	return !known || !slices.Contains(suits, false)
}

func (a *Assigner) launch(now time.Duration, t *task, g *agent, wait time.Duration) {
	j := t.job
	if !j.launched {
		j.launched, j.launchAt = true, now
	}
	t.run++
	t.run = max(t.run, j.baseRun+1)
	g.sent++
	if a.idle(now, g, a.limits.IdleThreshold/2) {
		g.leftIdleAt = now
	}
	if len(g.tasks) == 0 {
		g.firstLaunchAt = now
	}
	t.state, t.agent = stateLaunched, g
	j.running++
	g.tasks[t.ref] = t
	g.unreported = append(g.unreported, unreportedLaunch{sequence: g.sent, resources: t.step.Resources})
	a.spareCPU[g.position] -= t.step.Resources.MilliCPU
	age := now - g.lastReceived
	agentNow := g.lastClock + age
	g.launches = append(g.launches, messenger.Launch{
		Task: t.ref, Run: t.run, Payload: j.Payload, Resources: t.step.Resources, Service: j.Service,
		Urgency:         agentNow + t.latestStart() - now,
		StartBy:         agentNow + min(maxAgentWait+age/clockSkewDivisor, j.deadline-now),
		ExpectedRunTime: t.expected, Incarnation: g.load.Incarnation, Failures: t.failures, AllowSuspect: a.allowSuspect(&g.load),
		Priority: j.Priority,
	})
	a.logDecision(Decision{Event: "task-launched", Task: t.ref, Run: t.run, Instance: g.instance, Wait: wait, Age: age})
}

// send makes the frames for the agents.
func (a *Assigner) send(now time.Duration) {
	for _, g := range a.order {
		if len(g.launches)+len(g.withdraws) == 0 && !a.heartbeatDue(now, g) {
			continue
		}
		f := &messenger.Frame{
			Launches: g.launches, Withdraws: g.withdraws,
			Stamp: &messenger.Stamp{Clock: now, Echo: g.lastClock},
		}
		g.launches, g.withdraws, g.lastSent, g.lastEcho = nil, nil, now, g.lastClock
		a.out.Sends = append(a.out.Sends, Send{To: g.peer, Frame: f})
	}
}

// beatDue reports whether a frame must be sent to an agent, so that both sides know of
// each other. One that rests is answered, so that its beats alone set the pace.
func (a *Assigner) heartbeatDue(now time.Duration, g *agent) bool {
	if a.idle(now, g, a.limits.IdleThreshold) {
		return g.lastClock > g.lastEcho || now-g.lastSent >= a.limits.IdleHeartbeatInterval+a.limits.HeartbeatInterval
	}
	return now-g.lastSent >= a.limits.HeartbeatInterval
}
