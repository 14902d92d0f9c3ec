package replayer

import (
	"cmp"
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/assigner"
	"sardinelock.dev/sardinelock/internal/messenger"
)

// ideal is a single queue that knows everything: which upstreams are sound and what
// each task takes. Nothing on the way takes time.
type ideal struct {
	world *world
	hosts []*host
	queue []*idealTask
	calls map[*call]*idealJob
}

type host struct {
	capacity, used messenger.Resources
	speed          float64
	down           bool
	running        []*idealTask
}

type idealJob struct {
	left int
}

type idealTask struct {
	call  *call
	takes time.Duration
	host  *host
	life  int // life counts the starts, so that an end of an earlier one is known.
}

// PlayIdeal plays the arrivals of a pattern and seed with full knowledge.
func PlayIdeal(p Pattern, seed uint64) Result {
	w := newWorld(p, seed)
	i := &ideal{world: w, calls: make(map[*call]*idealJob)}
	for n := range p.Upstreams {
		i.hosts = append(i.hosts, &host{capacity: newUpstream(w, n).capacity, speed: 1})
	}
	for _, f := range p.Faults {
		w.at(f.At, func() { i.strike(f) })
	}
	w.deliver = i.submit
	return w.play()
}

// strike takes away what a fault makes useless; tasks at a host that ends begin anew.
func (i *ideal) strike(f Fault) {
	count := min(max(1, f.Count), len(i.hosts))
	for n := range count {
		h := i.hosts[(n*3+1)%len(i.hosts)]
		switch f.Kind {
		case FaultRack:
			for _, h := range i.hosts[:min(3, len(i.hosts))] {
				i.end(h, f.Duration)
			}
		case FaultHang, FaultCrash, FaultFail:
			i.end(h, f.Duration)
		case FaultRollingRestart:
			i.world.after(time.Duration(n)*time.Second, func() { i.end(h, 5*time.Second) })
		case FaultSlow:
			h.speed = f.Factor
			i.world.after(f.Duration, func() { h.speed = 1; i.place() })
		}
	}
}

func (i *ideal) end(h *host, d time.Duration) {
	h.down = true
	for _, t := range h.running {
		t.life++
		i.queue = append(i.queue, t)
	}
	h.running, h.used = nil, messenger.Resources{}
	i.world.after(d, func() { h.down = false; i.place() })
	i.place()
}

func (i *ideal) submit(c *call) {
	i.calls[c] = &idealJob{left: len(c.takes)}
	if c.hopeless {
		i.world.answered(c, assigner.Answer{Outcome: assigner.OutcomeFailed})
		return
	}
	for _, takes := range c.takes {
		i.queue = append(i.queue, &idealTask{call: c, takes: takes})
	}
	i.place()
}

// place starts what fits, the most urgent first; what can only be late comes last.
func (i *ideal) place() {
	now := i.world.now
	i.queue = slices.DeleteFunc(i.queue, func(t *idealTask) bool {
		return t.call.left || now+t.takes > t.call.arrived+lateFactor*t.call.objective()
	})
	urgency := func(t *idealTask) time.Duration {
		latest := t.call.arrived + t.call.objective() - t.takes
		if latest < now {
			latest += time.Hour
		}
		return latest
	}
	slices.SortStableFunc(i.queue, func(x, y *idealTask) int { return cmp.Compare(urgency(x), urgency(y)) })
	i.queue = slices.DeleteFunc(i.queue, i.start)
}

func (i *ideal) start(t *idealTask) bool {
	var best *host
	for _, h := range i.hosts {
		if !h.down && h.used.Add(t.call.room).Fits(h.capacity) && (best == nil || h.speed < best.speed) {
			best = h
		}
	}
	if best == nil {
		return false
	}
	best.used = best.used.Add(t.call.room)
	best.running = append(best.running, t)
	t.host = best
	life := t.life
	i.world.after(time.Duration(float64(t.takes)*best.speed), func() {
		if t.life == life {
			i.done(t)
		}
	})
	return true
}

func (i *ideal) done(t *idealTask) {
	h := t.host
	h.used = h.used.Sub(t.call.room)
	h.running = slices.DeleteFunc(h.running, func(o *idealTask) bool { return o == t })
	j := i.calls[t.call]
	j.left--
	if j.left == 0 && !t.call.left {
		i.world.answered(t.call, assigner.Answer{Outcome: assigner.OutcomeCompleted})
	}
	i.place()
}
