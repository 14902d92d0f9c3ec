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
type simulationExtras struct {
	// regions is the number of regions; 0 and 1 mean one. Seats take turns.
	regions int
	// clockSteps lets the wall clocks of processes be stepped.
	stepClocks bool
	// wallClock switches off that a process reads its wall clock at its start only.
	followWallClock bool
	// recordBytes bounds the records of each entry, and a part of it those of each
	// agent; 0 means plenty.
	recordBytes int
	// watchFrames checks that nobody changes a frame after it was sent.
	checkFramesUnchanged bool
}

// drawExtras draws what a history has beyond its sizes and faults. Half of the
// histories have no extras.
func (o *simulationOptions) drawExtras(pick func(int) int) {
	if pick(2) == 0 {
		return
	}
	o.checkFramesUnchanged = pick(2) == 0
	o.stepClocks = pick(2) == 0
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

func (o *simulationOptions) regionNames() []string {
	if o.regions < 2 {
		return []string{"default"}
	}
	return []string{"east", "west"}
}

// regionsApart is how the regions are cut from each other.
type regionSplit struct {
	regionsSplit bool
	// unserved is the region that does not reach the platform; empty if all do.
	regionWithoutPlatform string
}

// extraFault lets something happen that only histories with extras have.
func (sim *simulation) extraFault() bool {
	if sim.options.regions > 1 && sim.pick(10) == 0 {
		if sim.regionsSplit {
			sim.rejoinRegions()
		} else {
			sim.splitRegions()
		}
		return true
	}
	if sim.options.stepClocks && sim.pick(10) == 0 {
		sim.stepSomeClock()
		return true
	}
	return false
}

// partRegions cuts the regions from each other, with notice or in silence, and
// perhaps one of them from the platform.
func (sim *simulation) splitRegions() {
	names := append(sim.options.regionNames(), "")
	sim.regionsSplit = true
	sim.regionWithoutPlatform = names[sim.pick(len(names))]
	silent := sim.pick(2) == 0
	sim.logf("the regions part (silent=%t), without the platform: %q", silent, sim.regionWithoutPlatform)
	for _, c := range sim.conns {
		switch {
		case c.broken || c.ends[0].region == c.ends[1].region:
		case silent:
			c.silent = true
		default:
			sim.breakConn(c)
		}
	}
}

// joinRegions ends what partRegions did. What was on its way arrives late.
func (sim *simulation) rejoinRegions() {
	if !sim.regionsSplit {
		return
	}
	sim.logf("the regions join")
	sim.regionsSplit, sim.regionWithoutPlatform = false, ""
	for _, c := range sim.conns {
		c.silent = c.ends[0].side != c.ends[1].side
	}
}

// reaches reports whether a process can connect to another as far as their
// regions go. Agents know the entries of their own region only.
func (sim *simulation) regionsReachable(a, b *process) bool {
	if a.region == b.region {
		return true
	}
	return !sim.regionsSplit && a.role == messenger.RoleEntry && b.role == messenger.RoleEntry
}

func (sim *simulation) lacksPlatform(p *process) bool { return sim.regionWithoutPlatform == p.region }

// checkRegion checks that a task starts in the region of its partition.
func (sim *simulation) checkRegion(p *process, ref guard.TaskRef) {
	home := claimer.HomeRegion(ref.Submission.Partition(), sim.options.regionNames())
	if home != p.region {
		sim.oracle.fail("regions: %s/%d of region %s started in region %s", sim.oracle.name(ref.Submission), ref.Index, home, p.region)
	}
}

// agentShare is by how much less memory an agent has than an entry, so that each is
// the first to reach its limit in some histories.
const agentMemoryDivisor = 4

// memorySlack is how far the records of an agent may be beyond their limit when a
// task has started: by the request key, which is counted after the check, and by the
// results of calls that are aborted at the same time.
const memorySlack = 160

// checkMemory checks that an agent whose records are beyond their limit starts
// nothing more.
func (sim *simulation) checkMemory(p *process) {
	_, bytes := p.guard.Records()
	if limit := sim.options.recordBytes / agentMemoryDivisor; limit > 0 && bytes > limit+memorySlack {
		sim.oracle.fail("memory: %s starts a task with %d bytes of records, the limit is %d", p.peer, bytes, limit)
	}
}

func (sim *simulation) agentsIn(region string) int {
	n := 0
	for _, a := range sim.agents {
		if a.region == region {
			n++
		}
	}
	return n
}

// stepSome steps the wall clock of a process by up to twice the window.
func (sim *simulation) stepSomeClock() {
	ps := sim.processes()
	p := ps[sim.pick(len(ps))]
	p.clockStep = time.Duration(sim.pick(9)-4) * testWindow / 2
	sim.logf("the wall clock of %s is stepped: now %s off", p.peer, p.clockStep)
}

// setOffset sets what the process's clock is ahead of the world's.
func (p *process) setClockOffset(sim *simulation, offset time.Duration) {
	p.clockOffset = offset
	started := sim.now
	p.clock = timer.Clock{
		Start:   started.Add(offset),
		Elapsed: func() time.Duration { return sim.now.Sub(started) },
	}
}

// now returns the time on the process's clock, which steps of the wall clock do
// not change.
func (p *process) now(sim *simulation) time.Time {
	if sim.options.followWallClock {
		return sim.now.Add(p.clockOffset + p.clockStep)
	}
	return p.clock.Now()
}
