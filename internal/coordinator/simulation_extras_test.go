package coordinator_test

import (
	"time"

	"sardinelock.dev/sardinelock/internal/claimer"
	"sardinelock.dev/sardinelock/internal/guard"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/timer"
)

// simulationExtras are options of some histories beyond one region, wall clocks without
// steps and enough memory for all records.
type simulationExtras struct {
	// regions is the number of regions; 0 and 1 mean one. Process indices alternate
	// between them.
	regions int
	// stepClocks allows steps of the wall clocks of processes.
	stepClocks bool
	// followWallClock makes processes read the wall clock all the time instead of only
	// at their start.
	followWallClock bool
	// recordBytes limits the records of each entry, and a fraction of it those of each
	// agent; 0 means no tight limit.
	recordBytes int
	// checkFramesUnchanged checks that no frame is changed after it was sent.
	checkFramesUnchanged bool
}

// drawExtras draws the extras of a history. Half of the histories have none.
func (o *simulationOptions) drawExtras(pick func(int) int) {
	if pick(2) == 0 {
		return
	}
	o.checkFramesUnchanged = pick(2) == 0
	o.stepClocks = pick(2) == 0
	// A few jobs reach this limit: the records of a job of four tasks take about 1 KiB.
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

// regionSplit is the state of a network split between the regions.
type regionSplit struct {
	regionsSplit bool
	// regionWithoutPlatform is the region that cannot reach the platform; empty if all
	// can.
	regionWithoutPlatform string
}

// extraFault may inject a fault that only histories with extras have. It reports
// whether it did.
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

// splitRegions splits the network between the regions, with broken or with silently
// failing connections, and may cut one region off from the platform.
func (sim *simulation) splitRegions() {
	names := append(sim.options.regionNames(), "")
	sim.regionsSplit = true
	sim.regionWithoutPlatform = names[sim.pick(len(names))]
	silent := sim.pick(2) == 0
	sim.logf("the regions are split (silent=%t), without the platform: %q", silent, sim.regionWithoutPlatform)
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

// rejoinRegions ends the split. Messages that were in flight arrive late.
func (sim *simulation) rejoinRegions() {
	if !sim.regionsSplit {
		return
	}
	sim.logf("the regions are connected again")
	sim.regionsSplit, sim.regionWithoutPlatform = false, ""
	for _, c := range sim.conns {
		c.silent = c.ends[0].side != c.ends[1].side
	}
}

// regionsReachable reports whether two processes can connect as far as their regions
// are concerned. Agents know only the entries of their own region.
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

// agentMemoryDivisor is the ratio of an entry's memory limit to an agent's, so that
// each is the first to reach its limit in some histories.
const agentMemoryDivisor = 4

// memorySlack is how far an agent's records may exceed their limit after a task has
// started: by the request key, which is counted after the check, and by the results of
// calls that are aborted at the same time.
const memorySlack = 160

// checkMemory checks that an agent whose records exceed their limit starts nothing.
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

// stepSomeClock steps the wall clock of a process by up to twice the window.
func (sim *simulation) stepSomeClock() {
	ps := sim.processes()
	p := ps[sim.pick(len(ps))]
	p.clockStep = time.Duration(sim.pick(9)-4) * testWindow / 2
	sim.logf("the wall clock of %s is stepped: its error is now %s", p.peer, p.clockStep)
}

// setClockOffset sets how far the process's clock is ahead of the simulated time.
func (p *process) setClockOffset(sim *simulation, offset time.Duration) {
	p.clockOffset = offset
	started := sim.now
	p.clock = timer.Clock{
		Start:   started.Add(offset),
		Elapsed: func() time.Duration { return sim.now.Sub(started) },
	}
}

// now returns the time on the process's clock, which steps of the wall clock do not
// affect unless followWallClock is set.
func (p *process) now(sim *simulation) time.Time {
	if sim.options.followWallClock {
		return sim.now.Add(p.clockOffset + p.clockStep)
	}
	return p.clock.Now()
}
