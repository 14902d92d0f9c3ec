package coordinator_test

import (
	"time"

	"sardinelock.dev/sardinelock/internal/claimer"
	"sardinelock.dev/sardinelock/internal/guard"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/timer"
)

// worldExtras are what some histories have beyond one region, clocks without
// steps and memory for all records.
type worldExtras struct {
	// regions is the number of regions; 0 and 1 mean one. Seats take turns.
	regions int
	// clockSteps lets the wall clocks of processes be stepped.
	clockSteps bool
	// wallClock switches off that a process reads its wall clock at its start only.
	wallClock bool
	// recordBytes bounds the records of each entry, and a part of it those of each
	// agent; 0 means plenty.
	recordBytes int
	// watchFrames checks that nobody changes a frame after it was sent.
	watchFrames bool
}

// drawExtras draws what a history has beyond its sizes and faults. Half of the
// histories have no extras.
func (o *worldOptions) drawExtras(pick func(int) int) {
	if pick(2) == 0 {
		return
	}
	o.watchFrames = pick(2) == 0
	o.clockSteps = pick(2) == 0
	// A few jobs fill it; the records of a job of four tasks take about 1 KiB.
	if pick(3) == 0 {
		o.recordBytes = 1024 * (1 + pick(6))
	}
	if pick(2) == 0 {
		o.regions = 2
		o.entries = 2 + pick(3)
		o.agents = 2 + pick(3)
	}
}

func (o *worldOptions) regionNames() []string {
	if o.regions < 2 {
		return []string{"default"}
	}
	return []string{"east", "west"}
}

// regionsApart is how the regions are cut from each other.
type regionsApart struct {
	apart bool
	// unserved is the region that does not reach the platform; empty if all do.
	unserved string
}

// extraFault lets something happen that only histories with extras have.
func (w *world) extraFault() bool {
	if w.options.regions > 1 && w.pick(10) == 0 {
		if w.apart {
			w.joinRegions()
		} else {
			w.partRegions()
		}
		return true
	}
	if w.options.clockSteps && w.pick(10) == 0 {
		w.stepSome()
		return true
	}
	return false
}

// partRegions cuts the regions from each other, with notice or in silence, and
// perhaps one of them from the platform.
func (w *world) partRegions() {
	names := append(w.options.regionNames(), "")
	w.apart = true
	w.unserved = names[w.pick(len(names))]
	silent := w.pick(2) == 0
	w.logf("the regions part (silent=%t), without the platform: %q", silent, w.unserved)
	for _, c := range w.conns {
		switch {
		case c.cut || c.ends[0].region == c.ends[1].region:
		case silent:
			c.silent = true
		default:
			w.cutConn(c)
		}
	}
}

// joinRegions ends what partRegions did. What was on its way arrives late.
func (w *world) joinRegions() {
	if !w.apart {
		return
	}
	w.logf("the regions join")
	w.apart, w.unserved = false, ""
	for _, c := range w.conns {
		c.silent = c.ends[0].split != c.ends[1].split
	}
}

// reaches reports whether a process can connect to another as far as their
// regions go. Agents know the entries of their own region only.
func (w *world) reaches(a, b *process) bool {
	if a.region == b.region {
		return true
	}
	return !w.apart && a.role == messenger.RoleEntry && b.role == messenger.RoleEntry
}

func (w *world) cutFromPlatform(p *process) bool { return w.unserved == p.region }

// checkRegion checks that a task starts in the region of its partition.
func (w *world) checkRegion(p *process, ref guard.TaskRef) {
	home := claimer.HomeRegion(ref.Submission.Partition(), w.options.regionNames())
	if home != p.region {
		w.oracle.fail("regions: %s/%d of region %s started in region %s", w.oracle.name(ref.Submission), ref.Index, home, p.region)
	}
}

// agentShare is by how much less memory an agent has than an entry, so that each is
// the first to reach its limit in some histories.
const agentShare = 4

// memorySlack is how far the records of an agent may be beyond their limit when a
// task has started: by the request key, which is counted after the check, and by the
// results of calls that are aborted at the same time.
const memorySlack = 160

// checkMemory checks that an agent whose records are beyond their limit starts
// nothing more.
func (w *world) checkMemory(p *process) {
	_, bytes := p.guard.Records()
	if limit := w.options.recordBytes / agentShare; limit > 0 && bytes > limit+memorySlack {
		w.oracle.fail("memory: %s starts a task with %d bytes of records, the limit is %d", p.peer, bytes, limit)
	}
}

func (w *world) agentsIn(region string) int {
	n := 0
	for _, a := range w.agents {
		if a.region == region {
			n++
		}
	}
	return n
}

// stepSome steps the wall clock of a process by up to twice the window.
func (w *world) stepSome() {
	ps := w.processes()
	p := ps[w.pick(len(ps))]
	p.step = time.Duration(w.pick(9)-4) * worldWindow / 2
	w.logf("the wall clock of %s is stepped: now %s off", p.peer, p.step)
}

// setOffset sets what the process's clock is ahead of the world's.
func (p *process) setOffset(w *world, offset time.Duration) {
	p.offset = offset
	birth := w.now
	p.clock = timer.Clock{
		Start:   birth.Add(offset),
		Elapsed: func() time.Duration { return w.now.Sub(birth) },
	}
}

// now returns the time on the process's clock, which steps of the wall clock do
// not change.
func (p *process) now(w *world) time.Time {
	if w.options.wallClock {
		return w.now.Add(p.offset + p.step)
	}
	return p.clock.Now()
}
