package guard

import (
	"time"

	"sardinelock.dev/sardinelock/internal/creditor"
	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
)

// DefaultMaxResultDelay is the value of Limits.MaxResultDelay that suits most
// deployments. It is longer than most tasks run, so that the results of a job leave
// an agent together.
const DefaultMaxResultDelay = time.Second

// resources accounts for what the tasks at the agent use: credits of entries while
// they wait or run, memory and accelerators while they run.
type resources struct {
	credits *creditor.Creditor
	running map[TaskRef]charge
	// unfinished counts the tasks of each submission that wait or run.
	unfinished map[identifier.Submission]int
	// memory and accelerators are the sums over running.
	memory       int64
	accelerators int
}

// charge is what one running task uses.
type charge struct {
	from         messenger.Peer // from is empty once the entry has disconnected.
	memory       int64
	accelerators int
}

func newResources(limits creditor.Limits) resources {
	return resources{credits: creditor.New(limits), running: make(map[TaskRef]charge), unfinished: make(map[identifier.Submission]int)}
}

// fits reports whether the upstream now has the memory and accelerators for a task.
// A task that needs more than the whole upstream has runs alone.
func (g *Guard) fits(p *pending) bool {
	c := g.chargeOf(p)
	return g.resources.memory+c.memory <= g.upstream.MemoryBytes &&
		g.resources.accelerators+c.accelerators <= g.upstream.Accelerators
}

func (g *Guard) chargeOf(p *pending) charge {
	return charge{
		from:         p.from,
		memory:       min(p.task.MemoryBytes, g.upstream.MemoryBytes),
		accelerators: min(p.task.Accelerators, g.upstream.Accelerators),
	}
}

// chargeTask charges the memory and accelerators of a task that starts.
func (g *Guard) chargeTask(p *pending) {
	c := g.chargeOf(p)
	g.resources.running[p.ref] = c
	g.resources.memory += c.memory
	g.resources.accelerators += c.accelerators
}

// releaseTask releases the charge and the credit of a task that has ended.
func (g *Guard) releaseTask(ref TaskRef) {
	c := g.resources.running[ref]
	delete(g.resources.running, ref)
	g.resources.memory -= c.memory
	g.resources.accelerators -= c.accelerators
	g.resources.credits.Ended(c.from)
	g.countEnd(ref.Submission)
}

// releaseCredit releases the credit of a start that waited and will not run.
func (g *Guard) releaseCredit(p *pending) {
	g.resources.credits.Ended(p.from)
	g.countEnd(p.ref.Submission)
}

// releaseEntry releases the credits of an entry, except those of its running tasks.
func (g *Guard) releaseEntry(entry messenger.Peer) {
	for ref, c := range g.resources.running {
		if c.from == entry {
			c.from = ""
			g.resources.running[ref] = c
		}
	}
	g.resources.credits.EntryDown(entry)
}

// addCredits adds changed credit limits to the frames that are about to be sent.
func (g *Guard) addCredits() {
	slots := 0
	if g.state == messenger.UpstreamServing {
		slots = g.upstream.Slots
	}
	g.resources.credits.SetSlots(slots)
	for _, grant := range g.resources.credits.PendingGrants() {
		if c := g.entries[grant.Entry]; c != nil && c.frame != nil {
			c.frame.Credit = &messenger.Credit{Limit: grant.Limit}
			g.resources.credits.GrantSent(grant)
		}
	}
}

// enqueue adds a start to the queue for a slot. The queue is ordered by the
// remaining work of the job and by age.
func (g *Guard) enqueue(now time.Time, p pending) {
	g.resources.credits.Started(p.from)
	g.resources.unfinished[p.ref.Submission]++
	p.rank = p.start.RemainingWork + time.Duration(ageing*float64(g.Clock(now)))
	g.waiting.insert(p)
}

// ageing is the weight of one second of waiting relative to one second of work.
const ageing = 0.25

// countEnd counts the end of a task that was queued.
func (g *Guard) countEnd(s identifier.Submission) {
	g.resources.unfinished[s]--
	if g.resources.unfinished[s] <= 0 {
		delete(g.resources.unfinished, s)
	}
}

// delayResult delays a result while other tasks of its job are unfinished at this
// agent, and reports whether it did. A failure is never delayed: it ends the job.
func (g *Guard) delayResult(now time.Time, to messenger.Peer, s identifier.Submission, r messenger.TaskResult) bool {
	if r.Kind != messenger.ResultDone || g.resources.unfinished[s] == 0 || g.limits.MaxResultDelay <= 0 {
		return false
	}
	c := g.entries[to]
	if len(c.delayed) == 0 {
		c.delayedSince = now
	}
	c.delayed = append(c.delayed, delayedResult{submission: s, result: r})
	return true
}

// sendDelayed adds delayed results to the frames that are about to be sent. If no
// frame is due for the entry, they wait until [Guard.delayedDue]. The last result of a
// job at this agent is never delayed, so the others are sent with it.
func (g *Guard) sendDelayed(now time.Time) {
	for _, entry := range g.entryOrder {
		c := g.entries[entry]
		if len(c.delayed) == 0 {
			continue
		}
		if c.frame == nil && !g.delayedDue(now, c) {
			g.out.wakeBy(c.delayedSince.Add(g.limits.MaxResultDelay))
			continue
		}
		delayed := c.delayed
		c.delayed = nil
		for _, d := range delayed {
			g.addResult(entry, d.submission, d.result)
		}
	}
}

// delayedDue reports whether delayed results should be sent now: they have waited
// for MaxResultDelay, an echo is due anyway, or the entry waits for credit and the
// agent is running out of work.
func (g *Guard) delayedDue(now time.Time, c *connection) bool {
	if now.Sub(c.delayedSince) >= g.limits.MaxResultDelay || g.echoDue(now, c) {
		return true
	}
	if c.backlog == 0 {
		return false
	}
	idle := g.waiting.len() == 0 && g.running < g.upstream.Slots
	return idle || len(c.delayed) >= delayedBatch && g.waiting.len() < g.upstream.Slots/lowWaterDivisor
}

const (
	// lowWaterDivisor sets the low-water mark of the queue, as a divisor of the slots:
	// with fewer starts waiting, an entry with a backlog is sent results early.
	lowWaterDivisor = 2
	// delayedBatch is how many results an entry with a backlog is sent together while
	// no slot is idle.
	delayedBatch = 8
)

// receiveBacklog applies the sender's backlog as reported in a frame. A frame with
// starts but no report means that there is no backlog.
func (g *Guard) receiveBacklog(c *connection, f *messenger.Frame) {
	switch {
	case f.Credit != nil:
		c.backlog = f.Credit.Backlog
	case len(f.Starts) > 0:
		c.backlog = 0
	}
}

// delayedResult is a result that waits for others of its job.
type delayedResult struct {
	submission identifier.Submission
	result     messenger.TaskResult
}
