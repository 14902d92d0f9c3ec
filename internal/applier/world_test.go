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
	tickEvery   = 100 * time.Millisecond
	callTimeout = 2 * time.Second
)

var errNoAnswer = errors.New("no answer")

// world runs entries and agents in virtual time over links and a table that
// misbehave as told.
type world struct {
	now    time.Time
	queue  events
	random *rand.Rand

	current   uint64 // current is the number of the accepted version.
	down      bool   // down is set while the table answers nobody.
	lossRatio float64
	maxDelay  time.Duration
	agentTick time.Duration // agentTick is the period of an agent's ticks.

	entries []*node
	agents  []*node
	reads   int
	sent    int
	bytes   int
	faults  []string // faults are breaches of the rule, with the time.
}

// node is one place of a process; a restart puts a new process there.
type node struct {
	name     string
	runs     int
	entry    *Applier
	agent    *Follower
	cutTable bool // cutTable is set while the process does not reach the table.
	cutPeers bool // cutPeers is set while its links lose everything.
	inForce  uint64
	inForced bool
	shown    uint64 // shown is the oracle: the highest number that any source has shown this run.
	at       time.Time
	peers    []*node
}

func (n *node) peer() messenger.Peer {
	return messenger.Peer(n.name + "-" + strconv.Itoa(n.runs))
}

func (n *node) role() messenger.Role {
	if n.agent != nil {
		return messenger.RoleAgent
	}
	return messenger.RoleEntry
}

func newWorld(seed uint64, entries, agents int) *world {
	return newSlowWorld(seed, entries, agents, tickEvery)
}

// newSlowWorld is a world with rarer ticks of agents, for systems of many.
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

// start puts a new process at a node and connects it.
func (w *world) start(n *node, agent bool) {
	for _, p := range n.peers {
		w.disconnect(n, p)
	}
	n.runs++
	n.inForce, n.shown, n.inForced, n.peers = 0, 0, false, nil
	if agent {
		n.agent = NewFollower(w.now, DefaultLimits())
	} else {
		n.entry = New(w.now, messenger.Hello{Peer: n.peer(), Role: messenger.RoleEntry}, DefaultLimits(), checkText)
	}
	run := n.runs
	w.after(time.Duration(w.random.Int64N(int64(tickEvery))), func() { w.tick(n, run) })
	for _, e := range w.entries {
		if e != n && e.entry != nil {
			w.after(w.delay(), func() { w.connect(e, n, run) })
		}
	}
	if !agent {
		for _, a := range w.agents {
			if a.agent != nil {
				w.after(w.delay(), func() { w.connect(n, a, a.runs) })
			}
		}
	}
}

func checkText(text []byte) (uint64, error) { return strconv.ParseUint(string(text), 10, 64) }

func (w *world) tick(n *node, run int) {
	if n.runs != run {
		return
	}
	period := tickEvery
	if n.agent != nil {
		n.agent.Tick(w.now)
		period = w.agentTick
	} else {
		n.entry.Tick(w.now)
	}
	w.take(n)
	w.after(period, func() { w.tick(n, run) })
}

// connect links an entry with another process, unless either is cut off; then it
// is tried again.
func (w *world) connect(e, n *node, run int) {
	if n.runs != run {
		return
	}
	for _, p := range e.peers {
		if p == n {
			return
		}
	}
	if e.cutPeers || n.cutPeers {
		w.after(tickEvery, func() { w.connect(e, n, run) })
		return
	}
	e.peers = append(e.peers, n)
	n.peers = append(n.peers, e)
	w.greet(e, n)
	w.greet(n, e)
	w.take(e)
	w.take(n)
}

func (w *world) greet(to, from *node) {
	h := messenger.Hello{Peer: from.peer(), Role: from.role(), ConfigVersion: from.inForce}
	to.shown = max(to.shown, h.ConfigVersion)
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

// cut separates a node from its peers; heal connects it again.
func (w *world) cut(n *node) {
	n.cutPeers = true
	for _, p := range append([]*node(nil), n.peers...) {
		w.disconnect(n, p)
	}
}

func (w *world) heal(n *node) {
	n.cutPeers = false
	for _, e := range w.entries {
		if e != n {
			w.after(w.delay(), func() { w.connect(e, n, n.runs) })
		}
	}
	if n.entry == nil {
		return
	}
	for _, a := range w.agents {
		w.after(w.delay(), func() { w.connect(n, a, a.runs) })
	}
}

// take carries out what a process wants done.
func (w *world) take(n *node) {
	if n.agent != nil {
		out := n.agent.Take(w.now)
		w.observe(n, out.InForce)
		w.send(n, out.Sends)
		return
	}
	out := n.entry.Take(w.now)
	w.observe(n, out.InForce)
	w.send(n, out.Sends)
	run := n.runs
	if out.ReadHead {
		w.call(n, run, func(ok bool) {
			number := w.current
			if !ok {
				n.entry.HeadRead(w.now, 0, errNoAnswer)
				return
			}
			n.shown = max(n.shown, number)
			n.entry.HeadRead(w.now, number, nil)
		})
	}
	if out.ReadDocument > 0 {
		w.call(n, run, func(ok bool) {
			if !ok {
				n.entry.DocumentRead(w.now, nil, errNoAnswer)
				return
			}
			n.entry.DocumentRead(w.now, text(out.ReadDocument), nil)
		})
	}
}

func text(number uint64) []byte { return []byte(strconv.FormatUint(number, 10)) }

// call reads the table.
func (w *world) call(n *node, run int, answer func(ok bool)) {
	w.reads++
	delay := w.delay()
	ok := !w.down && !n.cutTable && w.random.Float64() >= w.lossRatio
	if !ok {
		delay = callTimeout
	}
	w.after(delay, func() {
		if n.runs == run {
			answer(ok)
			w.take(n)
		}
	})
}

// observe holds a version that comes into force against the oracle.
func (w *world) observe(n *node, d *Document) {
	if d == nil {
		return
	}
	if d.Number <= n.inForce {
		w.faults = append(w.faults, fmt.Sprintf("%s went from %d to %d", n.peer(), n.inForce, d.Number))
	}
	if !n.inForced && d.Number < n.shown {
		w.faults = append(w.faults, fmt.Sprintf("%s began with %d although it was shown %d", n.peer(), d.Number, n.shown))
	}
	n.inForce, n.inForced, n.at = d.Number, true, w.now
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
		sender, run := from.peer(), from.runs
		for _, to := range from.peers {
			if to.peer() != s.To {
				continue
			}
			toRun := to.runs
			w.after(w.delay(), func() { w.deliver(from, run, sender, to, toRun, &m) })
		}
	}
}

func (w *world) deliver(from *node, run int, sender messenger.Peer, to *node, toRun int, m *messenger.Config) {
	if from.runs != run || to.runs != toRun || from.cutPeers || to.cutPeers {
		return
	}
	to.shown = max(to.shown, m.Version)
	if to.agent != nil {
		to.agent.Receive(w.now, sender, m)
	} else {
		to.entry.Receive(w.now, sender, m)
	}
	w.take(to)
}

func (w *world) delay() time.Duration { return time.Duration(1 + w.random.Int64N(int64(w.maxDelay))) }

// lagging returns the nodes at which the accepted version is not in force.
func (w *world) lagging() []string {
	var out []string
	for _, n := range append(append([]*node(nil), w.entries...), w.agents...) {
		if n.inForce != w.current {
			out = append(out, fmt.Sprintf("%s has %d", n.peer(), n.inForce))
		}
	}
	return out
}

// anyLags reports whether lagging would return any, which is asked often.
func (w *world) anyLags() bool {
	lags := func(n *node) bool { return n.inForce != w.current }
	return slices.ContainsFunc(w.entries, lags) || slices.ContainsFunc(w.agents, lags)
}

// event is something that happens at a time; seq orders those of one time.
type event struct {
	at  time.Time
	seq int
	do  func()
}

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

// run lets time pass.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for w.queue.Len() > 0 && !w.queue.list[0].at.After(end) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	w.now = end
}

// runUntilInForce lets time pass until the accepted version is in force
// everywhere and returns how long that took, at most the limit.
func (w *world) runUntilInForce(limit time.Duration) time.Duration {
	begun := w.now
	for w.anyLags() && w.now.Sub(begun) < limit {
		w.run(10 * time.Millisecond)
	}
	return w.now.Sub(begun)
}
