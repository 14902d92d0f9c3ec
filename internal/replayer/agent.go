package replayer

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/runner"
)

// agent is an agent process and the model of its upstream.
type agent struct {
	world       *world
	index       int
	incarnation int // incarnation counts the starts of the process.
	peer        messenger.Peer
	runner      *runner.Runner
	links       map[messenger.Peer]*link
	dialling    map[messenger.Peer]bool
	upstream    *upstream
	sequence    int64
	down        bool
	frozen      bool
	backlog     []func()
	failPoll    func()      // failPoll ends the poll that waits for an answer.
	evacuations evacuations // evacuations are those that the process knows of.
}

// announceInterval is the interval at which an upstream announces itself.
const announceInterval = 1500 * time.Millisecond

func newAgent(w *world, index int) *agent {
	a := &agent{world: w, index: index, failPoll: func() {}}
	a.upstream = newUpstream(w, index)
	a.upstream.connectionsBroken = func() { a.failPoll() }
	a.upstream.announce = a.announce
	a.startProcess()
	a.tick()
	a.announceRegularly()
	return a
}

// instance returns the name of the agent's machine.
func (a *agent) instance() string { return fmt.Sprintf("agent-%d", a.index) }

func (a *agent) startProcess() {
	a.incarnation++
	a.peer = messenger.Peer(fmt.Sprintf("agent-%d-%d", a.index, a.incarnation))
	a.runner = runner.New(a.world.now, runnerLimits)
	a.links = make(map[messenger.Peer]*link)
	a.dialling = make(map[messenger.Peer]bool)
	a.down = false
	a.evacuations = unknown
	a.learnEvacuations(a.world.evacuations)
	a.poll(a.incarnation)
}

func (a *agent) tick() {
	a.run(a.dial)
	a.world.after(tickInterval, a.tick)
}

func (a *agent) announce() {
	if u := a.upstream; !u.down {
		a.sequence++
		seq := a.sequence
		u.announced = u.capacity
		a.run(func() {
			a.runner.Announce(a.world.now, runner.Announcement{
				Incarnation: u.incarnation, Service: service, Capacity: u.capacity, Labels: []string{u.rack},
				Leaving: u.leaving, Sequence: seq, ColdFor: u.coldFor(),
			})
		})
	}
}

func (a *agent) announceRegularly() {
	a.announce()
	a.world.after(announceInterval, a.announceRegularly)
}

// dial connects to every entry that is not connected. It waits until the runs that
// earlier connections left behind have ended.
func (a *agent) dial() {
	if !a.runner.MayConnect(a.world.now) {
		return
	}
	for _, e := range a.world.entries {
		if e.down || a.links[e.peer] != nil || a.dialling[e.peer] {
			continue
		}
		a.dialling[e.peer] = true
		peer, incarnation := e.peer, a.incarnation
		a.world.after(reconnectDelay, func() { a.connect(e, peer, incarnation) })
	}
}

func (a *agent) connect(e *entry, peer messenger.Peer, incarnation int) {
	a.run(func() {
		delete(a.dialling, peer)
		if a.incarnation != incarnation || e.peer != peer || e.down || e.frozen || e.partitioned || !a.runner.MayConnect(a.world.now) {
			return
		}
		l := &link{entry: e, agent: a}
		a.links[peer] = l
		a.runner.EntryUp(a.world.now, peer)
		e.run(func() {
			e.agents[a.peer] = l
			e.assigner.AgentUp(a.world.now, a.peer, a.instance(), dataCentre(a.index))
		})
	})
}

// connectionClosed removes a closed connection and tells the runner.
func (a *agent) connectionClosed(l *link) {
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

// run handles an event in the process and carries out the runner's output. A frozen
// process queues the event until it is unfrozen.
func (a *agent) run(handle func()) {
	if a.down {
		return
	}
	if a.frozen {
		a.backlog = append(a.backlog, handle)
		return
	}
	handle()
	a.world.result.Wakeups++
	out := a.runner.Take(a.world.now)
	for _, c := range out.Starts {
		a.checkStart(c)
		a.start(c, maxStartAttempts)
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

func (a *agent) start(c runner.StartCall, attemptsLeft int) {
	incarnation := a.incarnation
	answered := false
	answer := func(answer runner.Answer) {
		if answered {
			return
		}
		answered = true
		a.run(func() {
			if a.incarnation == incarnation {
				a.runner.Started(a.world.now, c, answer, attemptsLeft < maxStartAttempts)
			}
		})
	}
	a.upstream.callStart(func(lost bool) {
		r := a.upstream.start(c, a.incarnation)
		if !lost {
			a.world.after(localDelay, func() { answer(r) })
		}
	})
	a.world.after(callTimeout, func() {
		switch {
		case answered || a.down || a.incarnation != incarnation:
		case attemptsLeft > 1:
			answered = true
			a.start(c, attemptsLeft-1)
		default:
			answer(runner.AnswerNone)
		}
	})
}

func (a *agent) stop(c runner.StopCall) {
	incarnation := a.incarnation
	answered := false
	answer := func(ok bool) {
		if answered {
			return
		}
		answered = true
		a.run(func() {
			if a.incarnation == incarnation {
				a.runner.Stopped(a.world.now, c, ok)
			}
		})
	}
	a.upstream.call(func(lost bool) {
		ok := a.upstream.stop(c, a.incarnation)
		if !lost {
			a.world.after(localDelay, func() { answer(ok) })
		}
	})
	a.world.after(callTimeout, func() { answer(false) })
}

// poll sends a poll to the upstream, and the next one as soon as it is answered or has
// failed.
func (a *agent) poll(incarnation int) {
	if a.down || a.incarnation != incarnation {
		return
	}
	if a.frozen {
		a.backlog = append(a.backlog, func() { a.poll(incarnation) })
		return
	}
	w := a.world
	call := &pollCall{agent: a, incarnation: incarnation, sentAt: w.now}
	a.failPoll = call.lost
	request := a.runner.NextPoll(w.now)
	if a.upstream.refuses() {
		w.after(localDelay, call.refused)
		return
	}
	a.upstream.call(func(lost bool) {
		a.upstream.poll(request, a.incarnation, func(l runner.Listing) {
			if !lost {
				w.after(localDelay, func() { call.answered(l) })
			}
		})
	})
	wait := pollWait
	if request.AtOnce {
		wait = 0
	}
	w.after(wait+callTimeout, call.lost)
}

// pollCall is one poll of an agent.
type pollCall struct {
	agent       *agent
	incarnation int // incarnation is that of the agent's process.
	sentAt      time.Duration
	ended       bool
}

func (c *pollCall) answered(l runner.Listing) {
	l.RequestedAt = c.sentAt
	c.end(0, func() { c.agent.runner.Listed(c.agent.world.now, l) })
}

func (c *pollCall) lost() {
	c.end(0, func() { c.agent.runner.PollFailed(c.agent.world.now, false) })
}

func (c *pollCall) refused() {
	c.end(pollRetryDelay, func() { c.agent.runner.PollFailed(c.agent.world.now, true) })
}

// end applies the end of the poll, if it is the first, and sends the next one after a delay.
func (c *pollCall) end(delay time.Duration, handle func()) {
	if c.ended || c.agent.incarnation != c.incarnation {
		return
	}
	c.ended = true
	c.agent.run(handle)
	if delay == 0 {
		c.agent.poll(c.incarnation)
		return
	}
	c.agent.world.after(delay, func() { c.agent.poll(c.incarnation) })
}

func (a *agent) kill() {
	a.down = true
	for _, peer := range slices.Sorted(maps.Keys(a.links)) {
		a.links[peer].close()
	}
}

func (a *agent) unfreeze() {
	a.frozen = false
	backlog := a.backlog
	a.backlog = nil
	for _, do := range backlog {
		a.run(do)
	}
}
