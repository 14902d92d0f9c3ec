package applier

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/juju/errors"

	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/seeder"
)

// TestMain fixes the seed of the random tests.
func TestMain(m *testing.M) { seeder.Main(m) }

const (
	tickInterval = 100 * time.Millisecond
	callTimeout  = 2 * time.Second
)

var errNoAnswer = errors.New("no answer")

// world simulates entries and agents in virtual time, with fault injection for the links
// and the table.
type world struct {
	now    time.Time
	queue  events
	random *rand.Rand

	current   uint64 // current is the number of the latest accepted version.
	tableDown bool   // tableDown is set while the table answers no process.
	lossRatio float64
	maxDelay  time.Duration
	agentTick time.Duration // agentTick is the interval between ticks of an agent.

	entries    []*node
	agents     []*node
	reads      int
	sent       int
	bytes      int
	violations []string // violations describe versions that came into force against the rule.
}

// node is a place where a process runs; a restart starts a new incarnation there.
type node struct {
	name             string
	incarnation      int
	entry            *Applier
	agent            *Follower
	tableUnreachable bool // tableUnreachable is set while the process cannot reach the table.
	isolated         bool // isolated is set while the node has no connections.
	inForce          uint64
	hasVersion       bool
	highestShown     uint64 // highestShown is the highest number that this incarnation received; the oracle of checkActivated.
	inForceAt        time.Time
	peers            []*node
}

func (n *node) peer() messenger.Peer {
	return messenger.Peer(n.name + "-" + strconv.Itoa(n.incarnation))
}

func (n *node) role() messenger.Role {
	if n.agent != nil {
		return messenger.RoleAgent
	}
	return messenger.RoleEntry
}

func newWorld(seed uint64, entries, agents int) *world {
	return newSlowWorld(seed, entries, agents, tickInterval)
}

// newSlowWorld returns a world with a longer interval between ticks of agents, for large
// systems.
func newSlowWorld(seed uint64, entries, agents int, agentTick time.Duration) *world {
	w := &world{
		now:      time.Unix(1_700_000_000, 0),
		random:   rand.New(rand.NewPCG(seed, 7)),
		current:  1,
		maxDelay: 3 * time.Millisecond,

		agentTick: agentTick,
	}
	for i := range entries {
		w.entries = append(w.entries, &node{name: fmt.Sprintf("entry-%02d", i)})
	}
	for i := range agents {
		w.agents = append(w.agents, &node{name: fmt.Sprintf("agent-%03d", i)})
	}
	for _, n := range w.entries {
		w.start(n, false)
	}
	for _, n := range w.agents {
		w.start(n, true)
	}
	return w
}

// start starts a new incarnation at a node and connects it.
func (w *world) start(n *node, agent bool) {
	for _, p := range n.peers {
		w.disconnect(n, p)
	}
	n.incarnation++
	n.inForce, n.highestShown, n.hasVersion, n.peers = 0, 0, false, nil
	if agent {
		n.agent = NewFollower(w.now, DefaultLimits())
	} else {
		n.entry = New(w.now, messenger.Hello{Peer: n.peer(), Role: messenger.RoleEntry}, DefaultLimits(), checkText)
	}
	run := n.incarnation
	w.after(time.Duration(w.random.Int64N(int64(tickInterval))), func() { w.tick(n, run) })
	for _, e := range w.entries {
		if e != n && e.entry != nil {
			w.after(w.delay(), func() { w.connect(e, n, run) })
		}
	}
	if !agent {
		for _, a := range w.agents {
			if a.agent != nil {
				w.after(w.delay(), func() { w.connect(n, a, a.incarnation) })
			}
		}
	}
}

func checkText(text []byte) (uint64, error) { return strconv.ParseUint(string(text), 10, 64) }

func (w *world) tick(n *node, run int) {
	if n.incarnation != run {
		return
	}
	period := tickInterval
	if n.agent != nil {
		n.agent.Tick(w.now)
		period = w.agentTick
	} else {
		n.entry.Tick(w.now)
	}
	w.execute(n)
	w.after(period, func() { w.tick(n, run) })
}

// connect connects an entry with another process. While either of them is isolated, it
// retries.
func (w *world) connect(e, n *node, run int) {
	if n.incarnation != run {
		return
	}
	for _, p := range e.peers {
		if p == n {
			return
		}
	}
	if e.isolated || n.isolated {
		w.after(tickInterval, func() { w.connect(e, n, run) })
		return
	}
	e.peers = append(e.peers, n)
	n.peers = append(n.peers, e)
	w.sendHello(e, n)
	w.sendHello(n, e)
	w.execute(e)
	w.execute(n)
}

func (w *world) sendHello(to, from *node) {
	h := messenger.Hello{Peer: from.peer(), Role: from.role(), ConfigVersion: from.inForce}
	to.highestShown = max(to.highestShown, h.ConfigVersion)
	if to.agent != nil {
		to.agent.EntryUp(w.now, h.Peer, h.ConfigVersion)
		return
	}
	to.entry.PeerUp(w.now, h)
}

func (w *world) disconnect(a, b *node) {
	for _, side := range [][2]*node{{a, b}, {b, a}} {
		n, other := side[0], side[1]
		for i, p := range n.peers {
			if p == other {
				n.peers = append(n.peers[:i:i], n.peers[i+1:]...)
				break
			}
		}
		if n.agent != nil {
			n.agent.EntryDown(w.now, other.peer())
		} else {
			n.entry.PeerDown(w.now, other.peer())
		}
	}
}

// isolate disconnects a node from all peers, until reconnect.
func (w *world) isolate(n *node) {
	n.isolated = true
	for _, p := range append([]*node(nil), n.peers...) {
		w.disconnect(n, p)
	}
}

func (w *world) reconnect(n *node) {
	n.isolated = false
	for _, e := range w.entries {
		if e != n {
			w.after(w.delay(), func() { w.connect(e, n, n.incarnation) })
		}
	}
	if n.entry == nil {
		return
	}
	for _, a := range w.agents {
		w.after(w.delay(), func() { w.connect(n, a, a.incarnation) })
	}
}

// execute carries out the pending actions of a process.
func (w *world) execute(n *node) {
	if n.agent != nil {
		out := n.agent.Take(w.now)
		w.checkActivated(n, out.InForce)
		w.send(n, out.Sends)
		return
	}
	out := n.entry.Take(w.now)
	w.checkActivated(n, out.InForce)
	w.send(n, out.Sends)
	run := n.incarnation
	if out.ReadHead {
		w.readTable(n, run, func(ok bool) {
			number := w.current
			if !ok {
				n.entry.HeadRead(w.now, 0, errNoAnswer)
				return
			}
			n.highestShown = max(n.highestShown, number)
			n.entry.HeadRead(w.now, number, nil)
		})
	}
	if out.ReadDocument > 0 {
		w.readTable(n, run, func(ok bool) {
			if !ok {
				n.entry.DocumentRead(w.now, nil, errNoAnswer)
				return
			}
			n.entry.DocumentRead(w.now, text(out.ReadDocument), nil)
		})
	}
}

func text(number uint64) []byte { return []byte(strconv.FormatUint(number, 10)) }

// readTable simulates a read of the table, which may time out.
func (w *world) readTable(n *node, run int, answer func(ok bool)) {
	w.reads++
	delay := w.delay()
	ok := !w.tableDown && !n.tableUnreachable && w.random.Float64() >= w.lossRatio
	if !ok {
		delay = callTimeout
	}
	w.after(delay, func() {
		if n.incarnation == run {
			answer(ok)
			w.execute(n)
		}
	})
}

// checkActivated checks a version that came into force: it must be above the previous one,
// and the first one of an incarnation must not be below the highest number received.
func (w *world) checkActivated(n *node, d *Document) {
	if d == nil {
		return
	}
	if d.Number <= n.inForce {
		w.violations = append(w.violations, fmt.Sprintf("%s replaced version %d by %d", n.peer(), n.inForce, d.Number))
	}
	if !n.hasVersion && d.Number < n.highestShown {
		w.violations = append(w.violations, fmt.Sprintf("%s activated version %d first, although it had received the number %d", n.peer(), d.Number, n.highestShown))
	}
	n.inForce, n.hasVersion, n.inForceAt = d.Number, true, w.now
}

func (w *world) send(from *node, sends []Send) {
	for _, s := range sends {
		m := *s.Config
		if s.AddSettings {
			m.Document = text(m.Version)
		}
		w.sent++
		w.bytes += frameBytes(&m)
		if w.random.Float64() < w.lossRatio {
			continue
		}
		sender, run := from.peer(), from.incarnation
		for _, to := range from.peers {
			if to.peer() != s.To {
				continue
			}
			toRun := to.incarnation
			w.after(w.delay(), func() { w.deliver(from, run, sender, to, toRun, &m) })
		}
	}
}

func (w *world) deliver(from *node, run int, sender messenger.Peer, to *node, toRun int, m *messenger.Config) {
	if from.incarnation != run || to.incarnation != toRun || from.isolated || to.isolated {
		return
	}
	to.highestShown = max(to.highestShown, m.Version)
	if to.agent != nil {
		to.agent.Receive(w.now, sender, m)
	} else {
		to.entry.Receive(w.now, sender, m)
	}
	w.execute(to)
}

func (w *world) delay() time.Duration { return time.Duration(1 + w.random.Int64N(int64(w.maxDelay))) }

// lagging describes the nodes at which the accepted version is not in force.
func (w *world) lagging() []string {
	var out []string
	for _, n := range append(append([]*node(nil), w.entries...), w.agents...) {
		if n.inForce != w.current {
			out = append(out, fmt.Sprintf("%s has %d", n.peer(), n.inForce))
		}
	}
	return out
}

// anyLags reports whether any node lags. It is called often and
// avoids building that list.
func (w *world) anyLags() bool {
	lags := func(n *node) bool { return n.inForce != w.current }
	return slices.ContainsFunc(w.entries, lags) || slices.ContainsFunc(w.agents, lags)
}

// event is a scheduled call; seq orders events of the same time.
type event struct {
	at  time.Time
	seq int
	do  func()
}

// events is a priority queue of events, ordered by time.
type events struct {
	list []event
	seq  int
}

func (e *events) Len() int { return len(e.list) }
func (e *events) Less(i, j int) bool {
	if !e.list[i].at.Equal(e.list[j].at) {
		return e.list[i].at.Before(e.list[j].at)
	}
	return e.list[i].seq < e.list[j].seq
}
func (e *events) Swap(i, j int) { e.list[i], e.list[j] = e.list[j], e.list[i] }
func (e *events) Push(x any)    { e.list = append(e.list, x.(event)) }
func (e *events) Pop() any {
	last := e.list[len(e.list)-1]
	e.list = e.list[:len(e.list)-1]
	return last
}

func (w *world) after(d time.Duration, do func()) {
	w.queue.seq++
	heap.Push(&w.queue, event{at: w.now.Add(d), seq: w.queue.seq, do: do})
}

// run advances the virtual time and executes the events that are due.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for w.queue.Len() > 0 && !w.queue.list[0].at.After(end) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = end
}

// runUntilInForce advances the virtual time until the accepted version is in force
// everywhere or the limit is reached, and returns the time that passed.
func (w *world) runUntilInForce(limit time.Duration) time.Duration {
	start := w.now
	for w.anyLags() && w.now.Sub(start) < limit {
		w.run(10 * time.Millisecond)
	}
	return w.now.Sub(start)
}
