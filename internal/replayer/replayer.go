// Package replayer plays load patterns in virtual time over the real decisions of
// entries and agents.
//
// A [Pattern] says which entries and upstreams there are, which jobs arrive and what
// goes wrong. [Play] runs assigners and runners, whose frames take the time of the
// network, against models of upstreams, and returns what callers saw and which
// promises were broken. Nothing but the pattern and its seed has an influence.
package replayer

import (
	"bytes"
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/assigner"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/runner"
)

const (
	// localDelay is the time of a call between an agent and its upstream.
	localDelay = 300 * time.Microsecond
	// tickEvery is the period at which a process looks at the time.
	tickEvery = 20 * time.Millisecond
	// askFor, callTimeout and startTries are those of an agent's process.
	askFor      = 60 * time.Millisecond
	callTimeout = 50 * time.Millisecond
	startTries  = 4
	// connectDelay is the time from the end of a connection to the next.
	connectDelay = 200 * time.Millisecond
	// settleFor is played after the last arrival, so that every job has its answer.
	settleFor = 12 * time.Second
)

// limits are those of processes on the users' platform.
var (
	runnerLimits = runner.Limits{
		LivenessTimeout: 650 * time.Millisecond, LeaseDuration: 800 * time.Millisecond, StopRetryInterval: 60 * time.Millisecond,
		MaxStopPending: 240 * time.Millisecond, StallTimeout: 200 * time.Millisecond,
		LoadReportInterval: 8 * time.Millisecond, HeartbeatInterval: 180 * time.Millisecond,
		IdleHeartbeatInterval: 1200 * time.Millisecond, IdleThreshold: 2 * time.Second,
	}
	assignerLimits = assigner.Limits{
		LeaseExpiry: 1816 * time.Millisecond, SuspicionTimeout: 420 * time.Millisecond, LivenessTimeout: 650 * time.Millisecond,
		HeartbeatInterval: 180 * time.Millisecond, IdleHeartbeatInterval: 1200 * time.Millisecond, IdleThreshold: 2 * time.Second, AnswerMargin: 30 * time.Millisecond, CrossDataCentreLatency: 3 * time.Millisecond,
	}
)

// event is something that happens at a time.
type event struct {
	at    time.Duration
	order uint64 // order keeps events of one time in the order in which they were made.
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// world is one replay.
type world struct {
	pattern Pattern
	random  *rand.Rand
	// arriving has random numbers for the jobs alone, so that they are the same
	// whatever becomes of them.
	arriving *rand.Rand
	// deliver submits a job to the system under test.
	deliver func(*call)
	now     time.Duration
	events  events
	order   uint64
	entries []*entry
	agents  []*agent
	jobs    map[string]*call
	result  Result
	frame   bytes.Buffer // frame is used again for each encoding.
}

func newWorld(p Pattern, seed uint64) *world {
	return &world{
		pattern: p, jobs: make(map[string]*call),
		random: rand.New(rand.NewPCG(seed, 1)), arriving: rand.New(rand.NewPCG(seed, 2)),
	}
}

// Play plays a pattern with a seed.
func Play(p Pattern, seed uint64) Result {
	w := newWorld(p, seed)
	w.deliver = w.submit
	for i := range p.Entries {
		w.entries = append(w.entries, newEntry(w, i))
	}
	for i := range p.Upstreams {
		w.agents = append(w.agents, newAgent(w, i))
	}
	for _, f := range p.Faults {
		w.at(f.At, func() { w.strike(f) })
	}
	return w.play()
}

// play lets time pass until every job has its answer.
func (w *world) play() Result {
	w.arrivals()
	end := w.pattern.Duration + settleFor
	for len(w.events) > 0 && w.events[0].at <= end {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.finish()
	return w.result
}

func (w *world) at(t time.Duration, do func()) {
	w.order++
	heap.Push(&w.events, event{at: max(t, w.now), order: w.order, do: do})
}

func (w *world) after(d time.Duration, do func()) { w.at(w.now+d, do) }

// breach notes a broken promise.
func (w *world) breach(format string, args ...any) {
	w.result.Violations = append(w.result.Violations, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, args...))
}

// networkDelay is the one-way time between two processes.
func (w *world) networkDelay(entry, agent int) time.Duration {
	if w.dataCentre(entry) == w.dataCentre(agent) {
		return 200 * time.Microsecond
	}
	return 1500 * time.Microsecond
}

// dataCentre spreads the processes of a role over three data centres.
func (w *world) dataCentre(index int) string { return fmt.Sprintf("dc-%d", index%3) }

// entry is an entry's process.
type entry struct {
	world    *world
	index    int
	life     int // life counts the runs of the process.
	peer     messenger.Peer
	assigner *assigner.Assigner
	agents   map[messenger.Peer]*link
	tickets  map[uint64]*call
	ticket   uint64
	down     bool
	cut      bool          // cut means that it reaches no agent.
	unready  time.Duration // unready is since when it has not been ready; 0 if it is.
	// frozen means that the process does not run; what comes is kept.
	frozen  bool
	backlog []func()
}

// link is one connection between an entry and an agent.
type link struct {
	entry  *entry
	agent  *agent
	closed bool
	cut    bool // cut means that nothing gets through any more.
}

func newEntry(w *world, index int) *entry {
	e := &entry{world: w, index: index}
	e.begin()
	e.tick()
	return e
}

func (e *entry) begin() {
	e.life++
	e.peer = messenger.Peer(fmt.Sprintf("entry-%d-%d", e.index, e.life))
	e.assigner = assigner.New(assignerLimits, e.world.dataCentre(e.index), e.world.random)
	e.assigner.SetEntries(e.world.pattern.Entries)
	e.agents = make(map[messenger.Peer]*link)
	e.tickets = make(map[uint64]*call)
	e.down = false
}

func (e *entry) tick() {
	e.run(func() {})
	e.world.after(tickEvery, e.tick)
}

// run has the process do something, and what it decides then.
func (e *entry) run(do func()) {
	if e.down {
		return
	}
	if e.frozen {
		e.backlog = append(e.backlog, do)
		return
	}
	do()
	e.world.result.Wakeups++
	out := e.assigner.Advance(e.world.now)
	if e.assigner.Serving(e.world.now) {
		e.unready = 0
	} else if e.unready == 0 {
		e.unready = e.world.now
	}
	for _, a := range out.Answers {
		if c := e.tickets[a.Ticket]; c != nil {
			delete(e.tickets, a.Ticket)
			e.world.answered(c, a)
		}
	}
	for _, s := range out.Sends {
		if l := e.agents[s.To]; l != nil {
			l.toAgent(s.Frame)
		}
	}
	for _, peer := range out.Closes {
		if l := e.agents[peer]; l != nil {
			l.close()
		}
	}
}

func (e *entry) kill() {
	e.down = true
	for _, peer := range slices.Sorted(maps.Keys(e.agents)) {
		e.agents[peer].close()
	}
	for _, ticket := range slices.Sorted(maps.Keys(e.tickets)) {
		e.world.resubmit(e.tickets[ticket])
	}
}

// thaw lets a frozen process go on.
func (e *entry) thaw() {
	e.frozen = false
	backlog := e.backlog
	e.backlog = nil
	for _, do := range backlog {
		e.run(do)
	}
}

// count adds a frame to the traffic of an entry, in both directions.
func (w *world) count(entry int, f *messenger.Frame) {
	w.frame.Reset()
	if err := messenger.Append(&w.frame, f); err != nil {
		w.breach("a frame cannot be encoded: %v", err)
	}
	w.result.Frames++
	*slot(&w.result.EntryBytes, entry) += w.frame.Len()
}

// delay is the one-way time of the connection.
func (l *link) delay() time.Duration { return l.agent.world.networkDelay(l.entry.index, l.agent.index) }

func (l *link) toAgent(f *messenger.Frame) {
	l.agent.world.count(l.entry.index, f)
	if l.cut {
		return
	}
	l.agent.world.after(l.delay(), func() {
		l.agent.run(func() {
			if !l.closed {
				l.agent.runner.Receive(l.agent.world.now, l.entry.peer, f)
			}
		})
	})
}

func (l *link) toEntry(f *messenger.Frame) {
	l.agent.world.count(l.entry.index, f)
	if l.cut {
		return
	}
	life := l.entry.life
	l.agent.world.after(l.delay(), func() {
		l.entry.run(func() {
			if !l.closed && l.entry.life == life {
				l.entry.assigner.Receive(l.agent.world.now, l.agent.peer, f)
			}
		})
	})
}

// close ends the connection; both sides learn of it, unless it was cut.
func (l *link) close() {
	if l.closed {
		return
	}
	l.closed = true
	w := l.agent.world
	life, peer := l.entry.life, l.agent.peer
	w.after(l.delay(), func() {
		l.entry.run(func() {
			if l.entry.life == life && l.entry.agents[peer] == l {
				delete(l.entry.agents, peer)
				l.entry.assigner.AgentDown(w.now, peer)
			}
		})
	})
	w.after(l.delay(), func() {
		l.agent.run(func() { l.agent.dropped(l) })
	})
}
