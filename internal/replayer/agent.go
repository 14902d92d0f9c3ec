package replayer

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/runner"
)

// agent is an agent's process with its upstream.
type agent struct {
	world    *world
	index    int
	life     int // life counts the runs of the process.
	peer     messenger.Peer
	runner   *runner.Runner
	links    map[messenger.Peer]*link
	dialling map[messenger.Peer]bool
	upstream *upstream
	sequence int64
	down     bool
	frozen   bool
	backlog  []func()
}

// announceEvery is the period of an upstream's announcements.
const announceEvery = 1500 * time.Millisecond

func newAgent(w *world, index int) *agent {
	a := &agent{world: w, index: index}
	a.upstream = newUpstream(w, index)
	a.begin()
	a.tick()
	a.announce()
	return a
}

// instance names the machine.
func (a *agent) instance() string { return fmt.Sprintf("agent-%d", a.index) }

func (a *agent) begin() {
	a.life++
	a.peer = messenger.Peer(fmt.Sprintf("agent-%d-%d", a.index, a.life))
	a.runner = runner.New(runnerLimits)
	a.links = make(map[messenger.Peer]*link)
	a.dialling = make(map[messenger.Peer]bool)
	a.down = false
	a.ask(a.life)
}

func (a *agent) tick() {
	a.run(a.dial)
	a.world.after(tickEvery, a.tick)
}

func (a *agent) announce() {
	if u := a.upstream; !u.down {
		a.sequence++
		seq := a.sequence
		a.run(func() {
			a.runner.Announce(a.world.now, runner.Announcement{
				Incarnation: u.life, Service: service, Capacity: u.capacity, Labels: []string{u.rack},
				Leaving: u.leaving, Sequence: seq,
			})
		})
	}
	a.world.after(announceEvery, a.announce)
}

// dial connects to the entries, once nothing is left of earlier connections.
func (a *agent) dial() {
	if a.runner.HasOrphans() {
		return
	}
	for _, e := range a.world.entries {
		if e.down || a.links[e.peer] != nil || a.dialling[e.peer] {
			continue
		}
		a.dialling[e.peer] = true
		peer, life := e.peer, a.life
		a.world.after(connectDelay, func() { a.connect(e, peer, life) })
	}
}

func (a *agent) connect(e *entry, peer messenger.Peer, life int) {
	a.run(func() {
		delete(a.dialling, peer)
		if a.life != life || e.peer != peer || e.down || e.frozen || e.cut || a.runner.HasOrphans() {
			return
		}
		l := &link{entry: e, agent: a}
		a.links[peer] = l
		a.runner.EntryUp(a.world.now, peer)
		e.run(func() {
			e.agents[a.peer] = l
			e.assigner.AgentUp(a.world.now, a.peer, a.instance(), a.world.dataCentre(a.index))
		})
	})
}

// dropped takes the end of a connection.
func (a *agent) dropped(l *link) {
	if a.links[l.entry.peer] == l {
		delete(a.links, l.entry.peer)
		a.runner.EntryDown(a.world.now, l.entry.peer)
	}
	for peer, other := range a.links {
		if other == l {
			delete(a.links, peer)
			a.runner.EntryDown(a.world.now, peer)
		}
	}
}

// run has the process do something, and what it decides then.
func (a *agent) run(do func()) {
	if a.down {
		return
	}
	if a.frozen {
		a.backlog = append(a.backlog, do)
		return
	}
	do()
	a.world.result.Wakeups++
	out := a.runner.Take(a.world.now)
	for _, c := range out.Starts {
		a.start(c, startTries)
	}
	for _, c := range out.Stops {
		a.stop(c)
	}
	for _, s := range out.Sends {
		if l := a.links[s.To]; l != nil {
			l.toEntry(s.Frame)
		}
	}
	for _, peer := range out.Closes {
		if l := a.links[peer]; l != nil {
			delete(a.links, peer)
			l.close()
		}
	}
}

func (a *agent) start(c runner.StartCall, tries int) {
	life := a.life
	answered := false
	answer := func(answer runner.Answer) {
		if answered {
			return
		}
		answered = true
		a.run(func() {
			if a.life == life {
				a.runner.Started(a.world.now, c, answer, tries < startTries)
			}
		})
	}
	deadline := a.world.now + runnerLimits.LeaseDuration
	a.upstream.order(func(lost bool) {
		r := a.upstream.start(c, a.life, deadline)
		if !lost {
			a.world.after(localDelay, func() { answer(r) })
		}
	})
	a.world.after(callTimeout, func() {
		switch {
		case answered || a.down || a.life != life:
		case tries > 1:
			answered = true
			a.start(c, tries-1)
		default:
			answer(runner.AnswerNone)
		}
	})
}

func (a *agent) stop(c runner.StopCall) {
	life := a.life
	answered := false
	answer := func(ok bool) {
		if answered {
			return
		}
		answered = true
		a.run(func() {
			if a.life == life {
				a.runner.Stopped(a.world.now, c, ok)
			}
		})
	}
	a.upstream.order(func(lost bool) {
		ok := a.upstream.stop(c, a.life)
		if !lost {
			a.world.after(localDelay, func() { answer(ok) })
		}
	})
	a.world.after(callTimeout, func() { answer(false) })
}

// ask asks the upstream again and again.
func (a *agent) ask(life int) {
	if a.down || a.life != life {
		return
	}
	if a.frozen {
		a.backlog = append(a.backlog, func() { a.ask(life) })
		return
	}
	w := a.world
	asked := w.now
	q := a.runner.NextPoll(asked)
	answered := false
	take := func(l *runner.Listing) {
		if answered || a.life != life {
			return
		}
		answered = true
		a.run(func() {
			if l == nil {
				a.runner.PollFailed(w.now, a.upstream.down)
				return
			}
			l.RequestedAt = asked
			a.runner.Listed(w.now, *l)
		})
		a.ask(life)
	}
	a.upstream.order(func(lost bool) {
		a.upstream.hold(q, a.life, func(l runner.Listing) {
			if !lost {
				w.after(localDelay, func() { take(&l) })
			}
		})
	})
	w.after(askFor+callTimeout, func() { take(nil) })
}

func (a *agent) kill() {
	a.down = true
	for _, peer := range slices.Sorted(maps.Keys(a.links)) {
		a.links[peer].close()
	}
}

func (a *agent) thaw() {
	a.frozen = false
	backlog := a.backlog
	a.backlog = nil
	for _, do := range backlog {
		a.run(do)
	}
}
