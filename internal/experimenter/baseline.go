package experimenter

import (
	"math/rand/v2"
	"time"
)

// Policy names a baseline, which sends each task to the queue of an agent on arrival.
type Policy string

// The baselines.
const (
	PolicyRandom     Policy = "random"
	PolicyRoundRobin Policy = "round-robin"
	// PolicyLeastOfTwo chooses the less loaded of two agents drawn at random.
	PolicyLeastOfTwo Policy = "least-of-two"
	// PolicyPush chooses the least loaded of four agents drawn at random. The agents'
	// queues are bounded; a task that finds its queue full is rescheduled.
	PolicyPush Policy = "push"
)

const (
	pushCandidates      = 4
	maxPushQueue        = 4
	pushBackoff         = 5 * time.Millisecond // pushBackoff doubles with each refusal of a task.
	maxBackoffDoublings = 8
)

// RunBaseline runs a workload through a baseline. An entry estimates the load of an agent
// as its own outstanding tasks there and the load by other entries according to the
// agent's latest message.
func RunBaseline(sc *Scenario, w *Workload, policy Policy) *Result {
	p := &baseline{
		scenario: sc, workload: w, policy: policy,
		clock:     &clock{},
		random:    rand.New(rand.NewPCG(sc.Seed, 4)),
		result:    &Result{Jobs: make([]JobResult, len(w.Jobs))},
		messages:  newMessageCounter(),
		remaining: make([]int, len(w.Jobs)),
		views:     make([][]view, sc.Entries),
		queues:    make([]pushQueue, sc.Agents),
	}
	for i := range p.views {
		p.views[i] = make([]view, sc.Agents)
	}
	for i := range w.Jobs {
		p.result.Jobs[i].Outcome = JobOpen
		p.remaining[i] = len(w.Jobs[i].Tasks)
		p.clock.at(w.Jobs[i].At, func() { p.arrive(i) })
		if at := w.Jobs[i].CancelAt; at > 0 {
			p.clock.at(at, func() { p.finish(i, JobCancelled) })
		}
	}
	for _, f := range sc.Faults {
		p.clock.at(f.At, func() { p.injectFault(&f) })
	}
	p.clock.run(sc.Duration + settleTime)
	p.result.Messages = p.messages.total
	p.result.UsefulMessages = p.messages.useful()
	return p.result
}

type baseline struct {
	scenario        *Scenario
	workload        *Workload
	policy          Policy
	clock           *clock
	random          *rand.Rand
	result          *Result
	messages        *messageCounter
	remaining       []int
	roundRobinCount int // roundRobinCount counts the agents that round robin has chosen.
	views           [][]view
	queues          []pushQueue
	crashesNoticed  bool // crashesNoticed is set when entries have detected the first crash of agents.
}

// view is what one entry knows about the load of one agent.
type view struct {
	outstanding int
	otherLoad   int
}

// pushQueue is an agent that runs its tasks in order of arrival.
type pushQueue struct {
	waiting []pushTask
	running int
	crashed bool
}

type pushTask struct {
	job      int
	index    int
	refusals int
}

func (p *baseline) arrive(i int) {
	j := &p.workload.Jobs[i]
	batches := make([][]pushTask, p.scenario.Agents)
	for n := range j.Tasks {
		agent := p.choose(j.Entry)
		p.views[j.Entry][agent].outstanding++
		batches[agent] = append(batches[agent], pushTask{job: i, index: n})
	}
	for agent, batch := range batches {
		if len(batch) > 0 {
			p.send(i, agent, batch)
		}
	}
}

func (p *baseline) send(i, agent int, batch []pushTask) {
	message := p.messages.count()
	p.messages.recordStart(jobAgent{i, agent}, message)
	p.clock.after(p.delay(i, agent), func() {
		q := &p.queues[agent]
		for _, t := range batch {
			if p.policy == PolicyPush && q.running+len(q.waiting) >= p.scenario.Slots+maxPushQueue {
				p.refuse(t, agent)
				continue
			}
			q.waiting = append(q.waiting, t)
		}
		p.startAt(agent)
	})
}

// refuse returns a task to its entry, which reschedules it after a backoff.
func (p *baseline) refuse(t pushTask, agent int) {
	p.messages.count()
	load := p.queues[agent].running + len(p.queues[agent].waiting)
	p.clock.after(p.delay(t.job, agent), func() {
		entry := p.workload.Jobs[t.job].Entry
		p.updateView(entry, agent, load)
		t.refusals++
		p.clock.after(pushBackoff<<min(t.refusals, maxBackoffDoublings), func() {
			to := p.choose(entry)
			p.views[entry][to].outstanding++
			p.send(t.job, to, []pushTask{t})
		})
	})
}

func (p *baseline) startAt(agent int) {
	q := &p.queues[agent]
	for len(q.waiting) > 0 && q.running < p.scenario.Slots && !q.crashed {
		t := q.waiting[0]
		q.waiting = q.waiting[1:]
		if p.result.Jobs[t.job].Outcome != JobOpen {
			p.views[p.workload.Jobs[t.job].Entry][agent].outstanding--
			continue
		}
		q.running++
		p.result.Starts++
		took, failed := p.runTime(t, agent)
		p.clock.after(took, func() { p.end(t, agent, failed) })
	}
}

func (p *baseline) runTime(t pushTask, agent int) (took time.Duration, failed bool) {
	took = p.workload.Jobs[t.job].Tasks[t.index].RunTime
	if f := p.scenario.fault(FaultFailing, agent); f != nil && p.clock.now >= f.At {
		return failureDelay, true
	}
	if f := p.scenario.fault(FaultSlow, agent); f != nil && p.clock.now >= f.At {
		took = seconds(took.Seconds() * f.Factor)
	}
	return took, false
}

func (p *baseline) end(t pushTask, agent int, failed bool) {
	q := &p.queues[agent]
	if q.crashed {
		return
	}
	q.running--
	message := p.messages.count()
	p.messages.recordResult(jobAgent{t.job, agent}, message)
	load := q.running + len(q.waiting)
	p.clock.after(p.delay(t.job, agent), func() {
		p.updateView(p.workload.Jobs[t.job].Entry, agent, load)
		p.remaining[t.job]--
		switch {
		case failed:
			p.finish(t.job, JobFailed)
		case p.remaining[t.job] == 0:
			p.finish(t.job, JobComplete)
		}
	})
	p.startAt(agent)
}

// updateView applies the load that a message of an agent reports.
func (p *baseline) updateView(entry, agent, load int) {
	v := &p.views[entry][agent]
	v.outstanding--
	v.otherLoad = max(0, load-v.outstanding)
}

func (p *baseline) finish(i int, outcome JobOutcome) {
	if p.result.Jobs[i].Outcome != JobOpen {
		return
	}
	p.result.Jobs[i] = JobResult{Outcome: outcome}
	if outcome == JobComplete {
		p.result.Jobs[i].Response = p.clock.now - p.workload.Jobs[i].At
	}
}

// injectFault applies a crash. The other faults are looked up when a task starts.
func (p *baseline) injectFault(f *Fault) {
	switch f.Kind {
	case FaultAgentsCrash:
		for _, n := range f.Agents {
			p.queues[n].crashed = true
			p.clock.after(disconnectDelay, func() { p.queues[n].waiting = nil; p.crashesNoticed = true })
		}
	case FaultEntryCrash:
		for i := range p.workload.Jobs {
			if j := &p.workload.Jobs[i]; j.Entry == f.Entry && j.At <= f.At {
				p.finish(i, JobFailed)
			}
		}
	}
}

func (p *baseline) choose(entry int) int {
	for {
		agent := p.draw(entry)
		if !p.crashesNoticed || !p.queues[agent].crashed {
			return agent
		}
	}
}

func (p *baseline) draw(entry int) int {
	agents := p.scenario.Agents
	switch p.policy {
	case PolicyRoundRobin:
		p.roundRobinCount++
		return p.roundRobinCount % agents
	case PolicyLeastOfTwo:
		return p.leastOf(entry, 2)
	case PolicyPush:
		return p.leastOf(entry, pushCandidates)
	}
	return p.random.IntN(agents)
}

func (p *baseline) leastOf(entry, n int) int {
	best := p.random.IntN(p.scenario.Agents)
	for range n - 1 {
		other := p.random.IntN(p.scenario.Agents)
		if p.load(entry, other) < p.load(entry, best) {
			best = other
		}
	}
	return best
}

func (p *baseline) load(entry, agent int) int {
	v := p.views[entry][agent]
	return v.outstanding + v.otherLoad
}

func (p *baseline) delay(i, agent int) time.Duration {
	return delay(p.workload.Jobs[i].Entry, agent) + time.Duration(p.random.Int64N(int64(jitter)))
}
