// Package replayer simulates load patterns in virtual time against the real decision
// code of entries and agents.
//
// A [Pattern] describes the entries and upstreams, the jobs that arrive, and the faults.
// [Play] runs assigners and runners, connected by links with network delays, against
// models of upstreams. It returns the outcomes that callers saw and the violations of
// guarantees. The result depends only on the pattern and the seed.
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
	// tickInterval is the interval at which a process runs its timers.
	tickInterval = 20 * time.Millisecond
	// pollWait, callTimeout and maxStartAttempts equal the constants of package keeper.
	pollWait    = 60 * time.Millisecond
	callTimeout = 50 * time.Millisecond
	// pollRetryDelay is the delay after a poll that was refused.
	pollRetryDelay   = 50 * time.Millisecond
	maxStartAttempts = 4
	// reconnectDelay is the time that a new connection takes to establish.
	reconnectDelay = 200 * time.Millisecond
	// frameOverhead is the size of the headers of a frame on the network, in bytes.
	frameOverhead = 60
	// settleTime is simulated after the last arrival, so that every job is answered.
	settleTime = 12 * time.Second
)

// The limits equal those of processes on the users' platform.
var (
	runnerLimits = runner.Limits{
		LivenessTimeout: 650 * time.Millisecond, ContactExpiry: 1274 * time.Millisecond, LeaseDuration: 800 * time.Millisecond, ShortLeaseDuration: 250 * time.Millisecond, MaxLeaseDuration: time.Second, StopRetryInterval: 60 * time.Millisecond,
		MaxStopPending: 240 * time.Millisecond, StallTimeout: 200 * time.Millisecond,
		LoadReportInterval: 8 * time.Millisecond, HeartbeatInterval: 180 * time.Millisecond,
		IdleHeartbeatInterval: 1200 * time.Millisecond, IdleThreshold: 2 * time.Second,
	}
	assignerLimits = assigner.Limits{
		LeaseExpiry: 1816 * time.Millisecond, SuspicionTimeout: 420 * time.Millisecond, LivenessTimeout: 650 * time.Millisecond,
		HeartbeatInterval: 180 * time.Millisecond, IdleHeartbeatInterval: 1200 * time.Millisecond, IdleThreshold: 2 * time.Second, AnswerMargin: 30 * time.Millisecond, CrossDataCentreLatency: 3 * time.Millisecond,
	}
)

// event is a function that runs at a virtual time.
type event struct {
	at       time.Duration
	sequence uint64 // sequence orders events of the same time by creation.
	run      func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
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

// world holds the state of one simulation.
type world struct {
	pattern Pattern
	random  *rand.Rand
	// arrivalRandom is used only to draw jobs, so that the decisions under test do not
	// influence which jobs arrive.
	arrivalRandom *rand.Rand
	// submitJob submits a job to the system under test.
	submitJob    func(*callerJob)
	now          time.Duration
	events       events
	lastSequence uint64
	entries      []*entry
	agents       []*agent
	jobs         map[string]*callerJob
	counted      []*callerJob // counted has the jobs of Result.Groups.
	result       Result
	encodeBuffer bytes.Buffer // encodeBuffer is reused for each frame.
	evacuations  evacuations  // evacuations are those in force.
}

func newWorld(p Pattern, seed uint64) *world {
	return &world{
		pattern: p, jobs: make(map[string]*callerJob),
		random: rand.New(rand.NewPCG(seed, 1)), arrivalRandom: rand.New(rand.NewPCG(seed, 2)),
	}
}

// Play simulates a pattern with a seed.
func Play(p Pattern, seed uint64) Result {
	w := newWorld(p, seed)
	w.submitJob = w.submit
	for i := range p.Entries {
		w.entries = append(w.entries, newEntry(w, i))
	}
	for i := range p.Upstreams {
		w.agents = append(w.agents, newAgent(w, i))
	}
	for _, f := range p.Faults {
		w.at(f.At, func() { w.injectFault(f) })
	}
	return w.play()
}

// play runs all events until the settle time after the last arrival has passed.
func (w *world) play() Result {
	w.startArrivals()
	end := w.pattern.Duration + settleTime
	for len(w.events) > 0 && w.events[0].at <= end {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}
	w.finish()
	return w.result
}

func (w *world) at(t time.Duration, run func()) {
	w.lastSequence++
	heap.Push(&w.events, event{at: max(t, w.now), sequence: w.lastSequence, run: run})
}

func (w *world) after(d time.Duration, run func()) { w.at(w.now+d, run) }

// violation records the violation of a guarantee.
func (w *world) violation(format string, args ...any) {
	w.result.Violations = append(w.result.Violations, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, args...))
}

// networkDelay returns the one-way latency between an entry and an agent.
func (w *world) networkDelay(entry, agent int) time.Duration {
	if w.entryDataCentre(entry) == dataCentre(agent) {
		return 200 * time.Microsecond
	}
	return 1500 * time.Microsecond
}

// entry is an entry process.
type entry struct {
	world        *world
	index        int
	incarnation  int // incarnation counts the starts of the process.
	peer         messenger.Peer
	assigner     *assigner.Assigner
	agents       map[messenger.Peer]*link
	tickets      map[uint64]*callerJob
	lastTicket   uint64
	down         bool
	partitioned  bool          // While partitioned, the entry reaches no agent and accepts no connection.
	unreadySince time.Duration // unreadySince is when the entry stopped being ready; 0 while it is ready.
	sending      transmission
	receiving    transmission
	// While frozen, the process does not run, and its events wait in the backlog.
	frozen      bool
	backlog     []func()
	evacuations evacuations // evacuations are those that the process knows of.
}

// link is one connection between an entry and an agent.
type link struct {
	entry       *entry
	agent       *agent
	closed      bool
	partitioned bool // A partitioned link drops all further frames.
}

func newEntry(w *world, index int) *entry {
	e := &entry{world: w, index: index}
	e.startProcess()
	e.tick()
	return e
}

func (e *entry) startProcess() {
	e.incarnation++
	e.peer = messenger.Peer(fmt.Sprintf("entry-%d-%d", e.index, e.incarnation))
	e.assigner = assigner.New(assignerLimits, e.world.entryDataCentre(e.index), e.world.random)
	e.assigner.SetEntries(e.world.pattern.Entries)
	e.agents = make(map[messenger.Peer]*link)
	e.tickets = make(map[uint64]*callerJob)
	e.down = false
	e.evacuations = unknown
	e.learnEvacuations(e.world.evacuations)
}

func (e *entry) tick() {
	e.run(func() {})
	e.world.after(tickInterval, e.tick)
}

// run handles an event in the process and carries out the assigner's output. A frozen
// process queues the event until it is unfrozen.
func (e *entry) run(handle func()) {
	if e.down {
		return
	}
	if e.frozen {
		e.backlog = append(e.backlog, handle)
		return
	}
	handle()
	e.world.result.Wakeups++
	out := e.assigner.Advance(e.world.now)
	if e.assigner.Serving(e.world.now) {
		e.unreadySince = 0
	} else if e.unreadySince == 0 {
		e.unreadySince = e.world.now
	}
	for _, a := range out.Answers {
		if c := e.tickets[a.Ticket]; c != nil {
			delete(e.tickets, a.Ticket)
			e.world.answered(c, a)
		}
	}
	for _, s := range out.Sends {
		if l := e.agents[s.To]; l != nil {
			e.checkLaunches(l.agent, s.Frame)
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

// unfreeze continues a frozen process and handles the events in its backlog.
func (e *entry) unfreeze() {
	e.frozen = false
	backlog := e.backlog
	e.backlog = nil
	for _, do := range backlog {
		e.run(do)
	}
}

// transmission is one direction of an entry's network link.
type transmission struct {
	freeAt time.Duration // freeAt is when all frames so far have been transmitted.
}

// add adds a frame and returns how long it takes until it is transmitted.
func (t *transmission) add(now time.Duration, bytes int, rate int64) time.Duration {
	if rate == 0 {
		return 0
	}
	t.freeAt = max(t.freeAt, now) + time.Duration(int64(bytes+frameOverhead)*8*int64(time.Second)/rate)
	return t.freeAt - now
}

// countFrame adds a frame to the traffic of an entry and returns its size in bytes. Frames
// of both directions count.
func (w *world) countFrame(entry int, f *messenger.Frame) int {
	w.encodeBuffer.Reset()
	if err := messenger.Append(&w.encodeBuffer, f); err != nil {
		w.violation("a frame cannot be encoded: %v", err)
	}
	w.result.Frames++
	*elementAt(&w.result.EntryBytes, entry) += w.encodeBuffer.Len()
	return w.encodeBuffer.Len()
}

// delay returns the one-way latency of the connection.
func (l *link) delay() time.Duration { return l.agent.world.networkDelay(l.entry.index, l.agent.index) }

func (l *link) toAgent(f *messenger.Frame) {
	w := l.agent.world
	bytes := w.countFrame(l.entry.index, f)
	w.result.Launches += len(f.Launches)
	if l.partitioned {
		return
	}
	w.after(l.delay()+l.entry.sending.add(w.now, bytes, w.pattern.LinkRate), func() {
		l.agent.run(func() {
			if !l.closed {
				l.agent.runner.Receive(w.now, l.entry.peer, f)
			}
		})
	})
}

func (l *link) toEntry(f *messenger.Frame) {
	w := l.agent.world
	bytes := w.countFrame(l.entry.index, f)
	if l.partitioned {
		return
	}
	incarnation := l.entry.incarnation
	w.after(l.delay()+l.entry.receiving.add(w.now, bytes, w.pattern.LinkRate), func() {
		l.entry.run(func() {
			if !l.closed && l.entry.incarnation == incarnation {
				l.entry.assigner.Receive(w.now, l.agent.peer, f)
			}
		})
	})
}

// close closes the connection. Both sides are notified after its latency.
func (l *link) close() {
	if l.closed {
		return
	}
	l.closed = true
	w := l.agent.world
	incarnation, peer := l.entry.incarnation, l.agent.peer
	w.after(l.delay(), func() {
		l.entry.run(func() {
			if l.entry.incarnation == incarnation && l.entry.agents[peer] == l {
				delete(l.entry.agents, peer)
				l.entry.assigner.AgentDown(w.now, peer)
			}
		})
	})
	w.after(l.delay(), func() {
		l.agent.run(func() { l.agent.connectionClosed(l) })
	})
}
