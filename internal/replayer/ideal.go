package replayer

import (
	"cmp"
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/assigner"
	"sardinelock.dev/sardinelock/internal/messenger"
)

// ideal is the baseline: a single queue that knows which upstreams are healthy and how
// long each task runs. Messages take no time.
type ideal struct {
	world     *world
	upstreams []*idealUpstream
	queue     []*idealTask
	jobs      map[*callerJob]*idealJob
}

type idealUpstream struct {
	capacity, used messenger.Resources
	slowdown       float64
	speed          float64
	down           bool
	leaving        bool // A leaving upstream starts no more tasks.
	evacuations    int  // evacuations counts those of its data centre that are in force.
	running        []*idealTask
}

type idealJob struct {
	remaining int
}

type idealTask struct {
	job      *callerJob
	runTime  time.Duration
	upstream *idealUpstream
	starts   int // starts counts the starts, to recognise the end of an earlier run.
}

// PlayIdeal returns the result of the ideal scheduler for a pattern and a seed.
func PlayIdeal(p Pattern, seed uint64) Result {
	w := newWorld(p, seed)
	i := &ideal{world: w, jobs: make(map[*callerJob]*idealJob)}
	for n := range p.Upstreams {
		i.upstreams = append(i.upstreams, &idealUpstream{capacity: newUpstream(w, n).capacity, slowdown: 1, speed: w.speed(n)})
	}
	for _, f := range p.Faults {
		w.at(f.At, func() { i.injectFault(f) })
	}
	w.submitJob = i.submit
	return w.play()
}

// injectFault takes the upstreams of a fault down, or slows them, while it lasts. The
// tasks that ran there are rescheduled.
func (i *ideal) injectFault(f Fault) {
	if f.Kind == FaultEvacuate {
		i.evacuate(f)
		return
	}
	count := min(max(1, f.Count), len(i.upstreams))
	for n := range count {
		h := i.upstreams[f.upstream(n, len(i.upstreams))]
		switch f.Kind {
		case FaultRack:
			for _, h := range i.upstreams[:min(3, len(i.upstreams))] {
				i.takeDown(h, f.Duration)
			}
		case FaultHang, FaultCrash, FaultFail:
			if f.Kind != FaultFail || f.Factor > maxUsableFailures {
				i.takeDown(h, f.Duration)
			}
		case FaultRemove:
			h.leaving = true
			i.world.after(f.Delay, func() { i.takeDown(h, goneForGood) })
		case FaultRollingRestart:
			i.world.after(time.Duration(n)*time.Second, func() { i.takeDown(h, 5*time.Second) })
		case FaultSlow:
			h.slowdown = f.Factor
			i.world.after(f.Duration, func() { h.slowdown = 1; i.dispatch() })
		}
	}
}

const (
	// maxUsableFailures is the share of failing tasks up to which the ideal scheduler uses an
	// upstream, without failures: it remains an upper bound.
	maxUsableFailures = 0.5
	// goneForGood is longer than any pattern.
	goneForGood = time.Hour
)

// evacuate starts nothing in a data centre while the fault lasts. What runs there goes on.
func (i *ideal) evacuate(f Fault) {
	for n, h := range i.upstreams {
		if dataCentre(n) != f.evacuated() {
			continue
		}
		h.evacuations++
		i.world.after(f.Duration, func() {
			h.evacuations--
			if f.Delay > 0 {
				h.slowdown = f.Factor
				i.world.after(f.Delay, func() { h.slowdown = 1; i.dispatch() })
			}
			i.dispatch()
		})
	}
}

func (i *ideal) takeDown(h *idealUpstream, d time.Duration) {
	h.down = true
	for _, t := range h.running {
		t.starts++
		i.queue = append(i.queue, t)
	}
	h.running, h.used = nil, messenger.Resources{}
	i.world.after(d, func() { h.down = false; i.dispatch() })
	i.dispatch()
}

func (i *ideal) submit(c *callerJob) {
	i.jobs[c] = &idealJob{remaining: len(c.runTimes)}
	if c.alwaysFails || c.crash != nil {
		i.world.answered(c, assigner.Answer{Outcome: assigner.OutcomeFailed})
		return
	}
	for _, d := range c.runTimes {
		i.queue = append(i.queue, &idealTask{job: c, runTime: d})
	}
	i.dispatch()
}

// dispatch starts the tasks that fit, in order of urgency. Tasks that can no longer
// meet the job's objective come last; those past the late limit are dropped.
func (i *ideal) dispatch() {
	now := i.world.now
	i.queue = slices.DeleteFunc(i.queue, func(t *idealTask) bool {
		return t.job.callerLeft || now+t.runTime > t.job.arrived+lateFactor*t.job.objective()
	})
	urgency := func(t *idealTask) time.Duration {
		latest := t.job.arrived + t.job.objective() - t.runTime
		if latest < now {
			latest += time.Hour
		}
		return latest
	}
	slices.SortStableFunc(i.queue, func(x, y *idealTask) int { return cmp.Compare(urgency(x), urgency(y)) })
	i.queue = slices.DeleteFunc(i.queue, i.start)
}

func (i *ideal) start(t *idealTask) bool {
	var best *idealUpstream
	for _, h := range i.upstreams {
		if !h.down && !h.leaving && h.evacuations == 0 && h.used.Add(t.job.resources).Fits(h.capacity) && (best == nil || h.slowdown/h.speed < best.slowdown/best.speed) {
			best = h
		}
	}
	if best == nil {
		return false
	}
	best.used = best.used.Add(t.job.resources)
	best.running = append(best.running, t)
	t.upstream = best
	starts := t.starts
	i.world.after(time.Duration(float64(t.runTime)*best.slowdown/best.speed), func() {
		if t.starts == starts {
			i.taskDone(t)
		}
	})
	return true
}

func (i *ideal) taskDone(t *idealTask) {
	h := t.upstream
	h.used = h.used.Sub(t.job.resources)
	h.running = slices.DeleteFunc(h.running, func(o *idealTask) bool { return o == t })
	j := i.jobs[t.job]
	j.remaining--
	if j.remaining == 0 && !t.job.callerLeft {
		i.world.answered(t.job, assigner.Answer{Outcome: assigner.OutcomeCompleted})
	}
	i.dispatch()
}
