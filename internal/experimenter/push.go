package experimenter

import (
	"math/rand/v2"
	"time"
)

// Policy names a baseline that sends each task to some agent's queue at once.
type Policy string

// The baselines.
const (
	PolicyRandom     Policy = "random"
	PolicyRoundRobin Policy = "round-robin"
	// PolicyLeastOfTwo takes the less loaded of two agents drawn at random.
	PolicyLeastOfTwo Policy = "least-of-two"
	// PolicyPush takes the least loaded of four agents drawn at random. The agents'
	// queues are bounded; a task that finds one full is placed again.
	PolicyPush Policy = "push"
)

const (
	pushChoices = 4
	pushBound   = 4
	pushBackoff = 5 * time.Millisecond // pushBackoff doubles with every refusal of a task.
	maxDoubling = 8
)

// RunPush runs a workload through a baseline. The load of an agent is what the
// entry has outstanding there and what the agent's latest result said of others.
func RunBaseline(sc *Scenario, w *Workload, policy Policy) *Result {
	p := &pusher{
		scenario: sc, workload: w, policy: policy,
		clock:  &clock{},
		random: rand.New(rand.NewPCG(sc.Seed, 4)),
		result: &Result{Jobs: make([]JobResult, len(w.Jobs))},
		tally:  newTally(),
		left:   make([]int, len(w.Jobs)),
		views:  make([][]view, sc.Entries),
		queues: make([]pushQueue, sc.Agents),
	}
	for i := range p.views {
		p.views[i] = make([]view, sc.Agents)
	}
	for i := range w.Jobs {
		p.result.Jobs[i].Outcome = JobOpen
		p.left[i] = len(w.Jobs[i].Tasks)
		p.clock.at(w.Jobs[i].At, func() { p.arrive(i) })
		if at := w.Jobs[i].CancelAt; at > 0 {
			p.clock.at(at, func() { p.finish(i, JobCancelled) })
		}
	}
	for _, f := range sc.Faults {
		p.clock.at(f.At, func() { p.strike(&f) })
	}
	p.clock.run(sc.Duration + settleTime)
	p.result.Messages = p.tally.messages
	p.result.UsefulMessages = p.tally.useful()
	return p.result
}

type pusher struct {
	scenario *Scenario
	workload *Workload
	policy   Policy
	clock    *clock
	random   *rand.Rand
	result   *Result
	tally    *tally
	left     []int
	next     int // next is the agent that round robin takes next.
	views    [][]view
	queues   []pushQueue
	anyDead  bool // anyDead means that entries have noticed dead agents.
}

// view is what one entry knows of one agent.
type view struct {
	outstanding int
	others      int
}

// pushQueue is an agent that runs what it was sent in order of arrival.
type pushQueue struct {
	waiting []pushTask
	running int
	dead    bool
}

type pushTask struct {
	job      int
	index    int
	refusals int
}

func (p *pusher) arrive(i int) {
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

func (p *pusher) send(i, agent int, batch []pushTask) {
	message := p.tally.message()
	p.tally.start(pair{i, agent}, message)
	p.clock.after(p.delay(i, agent), func() {
		q := &p.queues[agent]
		for _, t := range batch {
			if p.policy == PolicyPush && q.running+len(q.waiting) >= p.scenario.Slots+pushBound {
				p.refuse(t, agent)
				continue
			}
			q.waiting = append(q.waiting, t)
		}
		p.startAt(agent)
	})
}

// refuse sends a task back to its entry, which places it again.
func (p *pusher) refuse(t pushTask, agent int) {
	p.tally.message()
	load := p.queues[agent].running + len(p.queues[agent].waiting)
	p.clock.after(p.delay(t.job, agent), func() {
		entry := p.workload.Jobs[t.job].Entry
		p.learn(entry, agent, load)
		t.refusals++
		p.clock.after(pushBackoff<<min(t.refusals, maxDoubling), func() {
			to := p.choose(entry)
			p.views[entry][to].outstanding++
			p.send(t.job, to, []pushTask{t})
		})
	})
}

func (p *pusher) startAt(agent int) {
	q := &p.queues[agent]
	for len(q.waiting) > 0 && q.running < p.scenario.Slots && !q.dead {
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

func (p *pusher) runTime(t pushTask, agent int) (took time.Duration, failed bool) {
	took = p.workload.Jobs[t.job].Tasks[t.index].RunTime
	if f := p.scenario.fault(FaultFailing, agent); f != nil && p.clock.now >= f.At {
		return failAfter, true
	}
	if f := p.scenario.fault(FaultSlow, agent); f != nil && p.clock.now >= f.At {
		took = seconds(took.Seconds() * f.Factor)
	}
	return took, false
}

func (p *pusher) end(t pushTask, agent int, failed bool) {
	q := &p.queues[agent]
	if q.dead {
		return
	}
	q.running--
	message := p.tally.message()
	p.tally.result(pair{t.job, agent}, message)
	load := q.running + len(q.waiting)
	p.clock.after(p.delay(t.job, agent), func() {
		p.learn(p.workload.Jobs[t.job].Entry, agent, load)
		p.left[t.job]--
		switch {
		case failed:
			p.finish(t.job, JobFailed)
		case p.left[t.job] == 0:
			p.finish(t.job, JobComplete)
		}
	})
	p.startAt(agent)
}

// learn applies the load that a message of an agent tells.
func (p *pusher) learn(entry, agent, load int) {
	v := &p.views[entry][agent]
	v.outstanding--
	v.others = max(0, load-v.outstanding)
}

func (p *pusher) finish(i int, outcome JobOutcome) {
	if p.result.Jobs[i].Outcome != JobOpen {
		return
	}
	p.result.Jobs[i] = JobResult{Outcome: outcome}
	if outcome == JobComplete {
		p.result.Jobs[i].Response = p.clock.now - p.workload.Jobs[i].At
	}
}

// strike applies a fault that is not looked up when a task starts.
func (p *pusher) strike(f *Fault) {
	switch f.Kind {
	case FaultAgentsCrash:
		for _, n := range f.Agents {
			p.queues[n].dead = true
			p.clock.after(noticeAfter, func() { p.queues[n].waiting = nil; p.anyDead = true })
		}
	case FaultEntryCrash:
		for i := range p.workload.Jobs {
			if j := &p.workload.Jobs[i]; j.Entry == f.Entry && j.At <= f.At {
				p.finish(i, JobFailed)
			}
		}
	}
}

func (p *pusher) choose(entry int) int {
	for {
		agent := p.draw(entry)
		if !p.anyDead || !p.queues[agent].dead {
			return agent
		}
	}
}

func (p *pusher) draw(entry int) int {
	agents := p.scenario.Agents
	switch p.policy {
	case PolicyRoundRobin:
		p.next++
		return p.next % agents
	case PolicyLeastOfTwo:
		return p.leastOf(entry, 2)
	case PolicyPush:
		return p.leastOf(entry, pushChoices)
	}
	return p.random.IntN(agents)
}

func (p *pusher) leastOf(entry, n int) int {
	best := p.random.IntN(p.scenario.Agents)
	for range n - 1 {
		other := p.random.IntN(p.scenario.Agents)
		if p.load(entry, other) < p.load(entry, best) {
			best = other
		}
	}
	return best
}

func (p *pusher) load(entry, agent int) int {
	v := p.views[entry][agent]
	return v.outstanding + v.others
}

func (p *pusher) delay(i, agent int) time.Duration {
	return delay(p.workload.Jobs[i].Entry, agent) + time.Duration(p.random.Int64N(int64(jitter)))
}
