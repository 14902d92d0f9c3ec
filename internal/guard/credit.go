package guard

import (
	"time"

	"sardinelock.dev/sardinelock/internal/creditor"
	"sardinelock.dev/sardinelock/internal/messenger"
)

// resources is what the tasks at the agent take: credits of entries while they
// wait or run, memory and accelerators while they run.
type resources struct {
	credits *creditor.Creditor
	running map[TaskRef]charge
	// memory and accelerators are the sums over running.
	memory       int64
	accelerators int
}

// charge is what one running task takes.
type charge struct {
	from         messenger.Peer // from is empty once the entry is gone.
	memory       int64
	accelerators int
}

func newResources(limits creditor.Limits) resources {
	return resources{credits: creditor.New(limits), running: make(map[TaskRef]charge)}
}

// fits reports whether the upstream has the memory and accelerators for a task
// now. A task that needs more than there is runs alone.
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

// take charges a task that starts.
func (g *Guard) take(p *pending) {
	c := g.chargeOf(p)
	g.resources.running[p.ref] = c
	g.resources.memory += c.memory
	g.resources.accelerators += c.accelerators
}

// giveBack frees what a task that has ended took.
func (g *Guard) giveBack(ref TaskRef) {
	c := g.resources.running[ref]
	delete(g.resources.running, ref)
	g.resources.memory -= c.memory
	g.resources.accelerators -= c.accelerators
	g.resources.credits.Ended(c.from)
}

// entryGone ends the credits of an entry whose waiting starts were dropped.
func (g *Guard) entryGone(entry messenger.Peer) {
	for ref, c := range g.resources.running {
		if c.from == entry {
			c.from = ""
			g.resources.running[ref] = c
		}
	}
	g.resources.credits.EntryDown(entry)
}

// receiveBacklog applies what a frame says about the sender's backlog. Starts
// without such a word mean that there is none.
func (g *Guard) receiveBacklog(now time.Time, from messenger.Peer, f *messenger.Frame) {
	switch {
	case f.Credit != nil:
		g.resources.credits.Backlog(now, from, f.Credit.Backlog)
	case len(f.Starts) > 0:
		g.resources.credits.Backlog(now, from, 0)
	}
}

// addCredits lets changed limits ride on frames that go out. An entry with a
// backlog gets a frame for it.
func (g *Guard) addCredits(now time.Time) {
	slots := 0
	if g.state == messenger.UpstreamServing {
		slots = g.upstream.Slots
	}
	g.resources.credits.SetSlots(slots)
	for _, grant := range g.resources.credits.Divide(now) {
		l := g.entries[grant.Entry]
		if l == nil || l.frame == nil && !grant.Urgent {
			continue
		}
		l.prompt = l.prompt || grant.Urgent
		g.frameTo(grant.Entry).Credit = &messenger.Credit{Limit: grant.Limit}
		g.resources.credits.Told(grant.Entry)
	}
}
