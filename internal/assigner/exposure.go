package assigner

import (
	"hash/fnv"
	"math"
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
)

// Every first start of a task of a hazardous queue may take an upstream away from all other
// queues. While a queue is hazardous, its tasks run at exposed upstreams only, whose share of
// the capacity is that of the queue in the demand, in steps. All entries expose the same
// upstreams, since the order depends on their names alone and a step hides the differences
// between the demands that they see.

const (
	// exposureSteps is the number of steps of the exposed share of the capacity.
	exposureSteps = 4
	// demandHalfLife is the half-life of the demand of a queue. An entry that has had jobs for
	// less time exposes the smallest share.
	demandHalfLife = 5 * time.Second
	// minOtherDemand is the share of the demand below which the other queues need no upstream.
	minOtherDemand = 0.01
	// outageWeight is the weight of one outage of an upstream in the mean.
	outageWeight = 0.3
)

// addDemand adds the work of a job to the demand of its queue.
func (q *queue) addDemand(now time.Duration, j *Job) {
	q.service, q.priority = j.Service, j.Priority
	q.demand, q.demandAt = q.demandNow(now), now
	for i := range j.Steps {
		s := &j.Steps[i]
		q.demand += float64(s.Count) * float64(s.Resources.MilliCPU) * q.expect(s.DeclaredRunTime).Seconds()
	}
}

func (q *queue) demandNow(now time.Duration) float64 {
	return q.demand * math.Exp2(-float64(now-q.demandAt)/float64(demandHalfLife))
}

// nameHash returns a number that is the same for a name at all entries.
func nameHash(instance string) uint64 {
	h := fnv.New64a()
	// Writing to a hash never fails.
	_, _ = h.Write([]byte(instance))
	return h.Sum64()
}

// exposure is the state of a pass over the upstreams of a service.
type exposure struct {
	demand, hazardous float64 // the demand of all queues and of the hazardous ones
	any               bool    // whether any queue is hazardous
	upstreams         int
	capacity          int64   // of all upstreams, in thousandths of a core
	share             float64 // the share of the capacity to expose
	exposed           int     // number of exposed upstreams
	exposedCapacity   int64
	full              bool // whether enough upstreams are exposed
}

// updateExposure determines the upstreams that are exposed to hazardous queues.
func (a *Assigner) updateExposure(now time.Duration) {
	if !a.exposing && !a.crashes.anyHazard(now) {
		return
	}
	a.exposing = a.crashes.anyHazard(now)
	services := make(map[string]*exposure)
	for name, q := range a.queues {
		e := services[q.service]
		if e == nil {
			e = &exposure{}
			services[q.service] = e
		}
		e.demand += q.demandNow(now)
		hazardous := a.crashes.hazardous(now, name)
		if hazardous {
			e.hazardous += q.demandNow(now)
			e.any = true
		}
		if hazardous != q.hazardous {
			q.hazardous = hazardous
			a.logHazard(name, hazardous)
		}
	}
	for _, g := range a.exposureOrder {
		if e := services[g.load.Service]; e != nil && !g.isEvacuated() {
			e.upstreams++
			e.capacity += g.load.Capacity.MilliCPU
		}
	}
	for _, e := range services {
		switch {
		case !e.hasOthers():
			e.share = 1
		case now-a.firstJobAt < demandHalfLife:
			e.share = 1.0 / exposureSteps
		default:
			e.share = max(1, math.Round(e.hazardous/e.demand*exposureSteps)) / exposureSteps
		}
	}
	for _, g := range a.exposureOrder {
		e := services[g.load.Service]
		g.exposed = e != nil && !g.isEvacuated() && e.expose(g)
	}
}

func (a *Assigner) logHazard(queue string, hazardous bool) {
	event := "queue-harmless"
	if hazardous {
		event = "queue-hazardous"
	}
	a.logDecision(Decision{Event: event, Reason: queue})
}

// hasOthers reports whether queues that are not hazardous have any demand to speak of.
func (e *exposure) hasOthers() bool { return e.hazardous < (1-minOtherDemand)*e.demand }

// expose reports whether the next upstream is exposed. One is always, and one is not if
// other queues have demand.
func (e *exposure) expose(g *agent) bool {
	switch {
	case !e.any || e.full:
		return false
	case e.hasOthers() && e.upstreams > 1 && e.exposed == e.upstreams-1:
		return false
	case e.exposed > 0 && float64(e.exposedCapacity+g.load.Capacity.MilliCPU) > e.share*float64(e.capacity):
		// No later upstream is exposed instead, so that a larger share exposes the same ones
		// and more.
		e.full = true
		return false
	}
	e.exposed++
	e.exposedCapacity += g.load.Capacity.MilliCPU
	return true
}

// usable reports whether an upstream runs tasks.
func (a *Assigner) usable(now time.Duration, g *agent) bool {
	return (g.load.State == messenger.RunnerReady || g.load.State == messenger.RunnerProbing) && !g.isEvacuated() && !a.suspect(now, g)
}

// allowedBesideHazards reports whether a task may be launched at an agent as far as crashes
// are concerned. Tasks that may have caused the same crash are kept apart as far as there are
// upstreams, so that the next crash shows which of them is the cause.
func (t *task) allowedBesideHazards(g *agent) bool {
	if t.hazardous && !g.exposed {
		return false
	}
	if t.suspicion == nil {
		return true
	}
	n := 0
	for _, other := range g.tasks {
		if other.suspicion == t.suspicion {
			n++
		}
	}
	return n < t.suspectsPerUpstream
}

// updateSuspicion determines how the placement of a pending task is restricted.
func (a *Assigner) updateSuspicion(now time.Duration, t *task) {
	t.hazardous = a.crashes.hazardous(now, t.job.Queue)
	t.suspicion = a.crashes.suspicion(t.ref)
	if t.suspicion != nil {
		upstreams := max(1, len(a.spreadTargets(now, t)))
		t.suspectsPerUpstream = (len(t.suspicion.runs) + upstreams - 1) / upstreams
	}
}

// spreadTargets returns the agents over which a task that may have caused a crash, and the
// others that may have, are spread.
func (a *Assigner) spreadTargets(now time.Duration, t *task) []*agent {
	var agents []*agent
	for _, g := range a.exposureOrder {
		if g.exposed == t.hazardous && g.load.Service == t.job.Service && a.usable(now, g) {
			agents = append(agents, g)
		}
	}
	return agents
}

// spread returns the agent for a task that may have caused a crash, if its upstream has free
// capacity, or nil. All entries give each such task of a crash another upstream, as far as
// there are enough.
func (a *Assigner) spread(now time.Duration, t *task) *agent {
	if t.suspicion == nil {
		return nil
	}
	agents := a.spreadTargets(now, t)
	if len(agents) == 0 {
		return nil
	}
	n := uint64(len(agents))
	g := agents[(nameHash(t.suspicion.upstream)%n+uint64(t.suspicion.index(t.ref)))%n]
	if !a.eligible(now, t, g) || g.wait(t.step.Resources, a.meanRun) > 0 {
		return nil
	}
	return g
}

// observeOutage learns for how long upstreams are absent.
func (a *Assigner) observeOutage(now time.Duration, g *agent, state messenger.RunnerState) {
	switch {
	case state == messenger.RunnerAbsent:
		if g.absentSince == 0 {
			g.absentSince = now
		}
		return
	case g.absentSince == 0 || !g.loadKnown:
		return
	case a.meanOutage == 0:
		a.meanOutage = now - g.absentSince
	default:
		a.meanOutage += time.Duration(outageWeight * float64(now-g.absentSince-a.meanOutage))
	}
	g.absentSince = 0
}

// startDelay returns the time until an upstream that may run a job is expected to be
// usable. It is 0 if one is.
func (a *Assigner) startDelay(now time.Duration, j *job) time.Duration {
	if !a.serving || !a.crashes.hazardous(now, j.Queue) {
		return a.outage(now)
	}
	least := time.Duration(math.MaxInt64)
	for _, g := range a.order {
		if !g.exposed || g.load.Service != j.Service {
			continue
		}
		if g.absentSince == 0 {
			return 0
		}
		left := now - g.absentSince
		if left < a.meanOutage {
			left = a.meanOutage - left
		}
		least = min(least, left)
	}
	if least == math.MaxInt64 {
		return 0
	}
	return least
}

// abandonUnplaceable gives up the jobs that have run in part and whose remaining tasks would
// end too late to be of use, because their placement is restricted.
func (a *Assigner) abandonUnplaceable(now time.Duration) {
	for {
		i := slices.IndexFunc(a.pending, func(t *task) bool {
			j := t.job
			return (t.hazardous || t.suspicion != nil || len(t.outstanding) > 0) && j.running == 0 && j.ran && now+a.startDelay(now, j)+t.expected > j.latestUseful
		})
		if i < 0 {
			return
		}
		reason := "confined"
		if len(a.pending[i].outstanding) > 0 {
			reason = "start-outstanding"
		}
		a.abandon(now, a.pending[i].job, reason, 0)
	}
}
