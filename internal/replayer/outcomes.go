package replayer

import (
	"cmp"
	"fmt"
	"slices"

	"sardinelock.dev/sardinelock/internal/assigner"
)

// Outcomes sums the worth of a group of jobs by what became of them. Jobs that failed, or whose
// answer came too late to be of use, are only in Offered.
type Outcomes struct {
	Jobs                    int
	Offered, Earned         float64
	Late, Rejected, GivenUp float64 // Late is the worth of the jobs that were late, not what they earned.
	RejectedJobs            int
	RejectedWhileFree       float64 // RejectedWhileFree is the part of Rejected with free capacity at that time.
}

// EarnedRatio returns the earned share of the offered worth.
func (o Outcomes) EarnedRatio() float64 { return Value{o.Offered, o.Earned}.EarnedRatio() }

// share returns a part of the offered worth as a share of it.
func (o Outcomes) share(part float64) float64 { return part / max(o.Offered, 1e-9) }

// String returns the shares of the offered worth.
func (o Outcomes) String() string {
	return fmt.Sprintf("%.3f (late %.3f, rejected %.3f, given up %.3f)", o.EarnedRatio(), o.share(o.Late), o.share(o.Rejected), o.share(o.GivenUp))
}

// Groups holds the outcomes of the jobs of callers that stayed, without those with crashing
// tasks and without retries.
type Groups struct {
	All          Outcomes
	ByDataCentre map[string]Outcomes // ByDataCentre is by the data centre of the callers.
	ByKind       map[string]Outcomes
	ByEntry      map[int]Outcomes // ByEntry is by the index of the first entry that received a job.
	Largest      Outcomes         // Largest has the tenth of the jobs with the most work.
}

func (o Outcomes) with(c *callerJob) Outcomes {
	value := c.value()
	o.Jobs++
	o.Offered += value
	o.Earned += c.earned
	switch c.answer.Outcome {
	case assigner.OutcomeRejected:
		o.Rejected += value
		o.RejectedJobs++
		if c.refusedFree {
			o.RejectedWhileFree += value
		}
	case assigner.OutcomeGivenUp:
		o.GivenUp += value
	case assigner.OutcomeCompleted:
		if c.earned < value {
			o.Late += value
		}
	}
	return o
}

// addOutcome adds a job to its groups.
func (w *world) addOutcome(c *callerJob) {
	g := &w.result.Groups
	if g.ByKind == nil {
		g.ByDataCentre, g.ByKind, g.ByEntry = make(map[string]Outcomes), make(map[string]Outcomes), make(map[int]Outcomes)
	}
	g.All = g.All.with(c)
	g.ByDataCentre[c.callerDataCentre()] = g.ByDataCentre[c.callerDataCentre()].with(c)
	g.ByKind[c.kind.Name] = g.ByKind[c.kind.Name].with(c)
	g.ByEntry[c.firstEntry] = g.ByEntry[c.firstEntry].with(c)
	w.counted = append(w.counted, c)
}

// addLargest adds the tenth of the jobs with the most work to Largest.
func (w *world) addLargest() {
	work := func(c *callerJob) float64 {
		return float64(len(c.runTimes)) * c.longestTask.Seconds() * float64(c.resources.MilliCPU)
	}
	slices.SortFunc(w.counted, func(x, y *callerJob) int { return cmp.Or(cmp.Compare(work(y), work(x)), cmp.Compare(x.id, y.id)) })
	for _, c := range w.counted[:len(w.counted)/10] {
		w.result.Groups.Largest = w.result.Groups.Largest.with(c)
	}
}

// spread returns the difference between the best and the worst earned ratio of the groups.
func spread[K comparable](groups map[K]Outcomes) float64 {
	worst, best := 1.0, 0.0
	for _, o := range groups {
		worst, best = min(worst, o.EarnedRatio()), max(best, o.EarnedRatio())
	}
	return best - worst
}

// LaunchesPerEndedTask returns the number of launches for each run that upstreams completed.
func (r *Result) LaunchesPerEndedTask() float64 {
	return float64(r.Launches) / float64(max(1, r.EndedTasks))
}

// completed records that an upstream has completed a run.
func (w *world) completed(r *run) {
	w.result.EndedTasks++
	w.jobs[r.ref.Job].completed++
}

// observeAnswer records the circumstances of an answer.
func (w *world) observeAnswer(c *callerJob) {
	a := c.answer
	if a.Outcome == assigner.OutcomeCompleted {
		return
	}
	if w.result.Reasons == nil {
		w.result.Reasons = make(map[string]int)
	}
	w.result.Reasons[string(a.Outcome)+"/"+a.Reason]++
	if a.Reason == "deadline" {
		running := 0
		for _, n := range c.running {
			running += n
		}
		if c.completed+running < len(c.runTimes) {
			w.result.HeldHopeless++
		}
	}
	useful := w.now+c.longestTask <= c.arrived+min(c.timeout(), lateFactor*c.objective())
	c.refusedFree = a.Outcome == assigner.OutcomeRejected && useful && w.hasFree(c)
}

// hasFree reports whether healthy upstreams have free capacity for all tasks of a job, in
// addition to the tasks that wait at their agents.
func (w *world) hasFree(c *callerJob) bool {
	remaining := len(c.runTimes)
	for _, g := range w.agents {
		if !g.isHealthy() {
			continue
		}
		_, _, used := g.runner.Counts()
		free := g.upstream.capacity.Sub(used).Sub(g.runner.Queued())
		for ; remaining > 0 && c.resources.Fits(free); remaining-- {
			free = free.Sub(c.resources)
		}
	}
	return remaining == 0
}

// isHealthy reports whether the agent and its upstream have no fault, and are not being evacuated.
func (g *agent) isHealthy() bool {
	u := g.upstream
	return !u.down && !u.unreachable && !u.leaving && !u.hanging && u.failRatio == 0 && u.slowdown == 1 && !g.down && !g.frozen &&
		!g.world.evacuations.includes(dataCentre(g.index))
}
