package applier

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sardinelock.dev/sardinelock/internal/messenger"
)

// The required and the desired time until a version is in force everywhere.
const (
	inForceBound  = 11 * time.Second
	inForceTarget = 3 * time.Second
	// tableReadsPerSecond is the capacity of the platform's table service.
	tableReadsPerSecond = 2000
)

func frameBytes(m *messenger.Config) int {
	var buf bytes.Buffer
	if err := messenger.Append(&buf, &messenger.Frame{Config: m}); err != nil {
		panic(err)
	}
	return buf.Len()
}

func (w *world) check(t *testing.T) {
	t.Helper()
	for _, fault := range w.violations {
		t.Error(fault)
	}
	if lagging := w.lagging(); len(lagging) > 0 {
		t.Errorf("version %d is not in force at %d processes, as %s", w.current, len(lagging), lagging[0])
	}
}

// TestInForceWithin checks how long a new version takes to come into force everywhere,
// with lost and reordered messages and with a table that only one entry reaches.
func TestInForceWithin(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(w *world)
		limit   time.Duration
	}{
		{"calm", func(*world) {}, inForceTarget},
		{"reordered", func(w *world) { w.maxDelay = 400 * time.Millisecond }, inForceBound},
		{"lossy", func(w *world) { w.lossRatio = 0.3 }, inForceBound},
		{"lossy and reordered", func(w *world) { w.lossRatio, w.maxDelay = 0.3, 400*time.Millisecond }, inForceBound},
		{"one entry reads the table", func(w *world) {
			for _, e := range w.entries[1:] {
				e.tableUnreachable = true
			}
		}, inForceBound},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(1, 5, 40)
			w.run(10 * time.Second)
			c.prepare(w)
			w.run(20 * time.Second)
			var longest time.Duration
			for range 50 {
				w.current++
				took := w.runUntilInForce(inForceBound * 2)
				longest = max(longest, took)
				w.run(time.Duration(w.random.Int64N(int64(3 * time.Second))))
			}
			w.check(t)
			if longest > c.limit {
				t.Errorf("a version took %s to be in force everywhere, want at most %s", longest, c.limit)
			}
			t.Logf("longest %s", longest)
		})
	}
}

// TestBudget measures the rate of reads and messages at the planned size: 20 entries,
// 900 agents, and a change every 108 s, which is 800 a day.
func TestBudget(t *testing.T) {
	const (
		entries = 20
		agents  = 900
		changes = 1
		pause   = 108 * time.Second
		// The budget of a node for all control traffic is 18 KB a second.
		maxNodeBytesPerSecond = 18 << 10
		// Every entry reads one row a second, and one document for each change.
		maxReadsPerSecond = entries + 1
	)
	w := newSlowWorld(1, entries, agents, time.Second)
	w.run(20 * time.Second)
	w.check(t)
	w.reads, w.sent, w.bytes = 0, 0, 0
	var longest time.Duration
	for range changes {
		w.current++
		took := w.runUntilInForce(inForceBound)
		longest = max(longest, took)
		w.run(pause - took)
	}
	w.check(t)
	seconds := (changes * pause).Seconds()
	reads := float64(w.reads) / seconds
	perNode := float64(w.bytes) / seconds / entries
	t.Logf("longest %s; %.1f reads/s; %.0f messages a change; %.0f B/s at an entry", longest, reads, float64(w.sent)/changes, perNode)
	if longest > inForceTarget {
		t.Errorf("a version took %s, want at most %s", longest, inForceTarget)
	}
	benchLine(t, "configuration-reads-20-entries-900-agents", reads, "reads/s", tableReadsPerSecond)
	if reads > maxReadsPerSecond {
		t.Errorf("%.1f reads a second, want at most %d", reads, maxReadsPerSecond)
	}
	if perNode > maxNodeBytesPerSecond {
		t.Errorf("%.0f bytes a second at an entry, want at most %d", perNode, maxNodeBytesPerSecond)
	}
}

// TestInForceAtSize checks how long a new version takes to come into force everywhere at
// the planned size, without faults and with 30% of all messages and reads lost. The
// changes occur at random times within the poll interval.
func TestInForceAtSize(t *testing.T) {
	const changes = 10
	for _, c := range []struct {
		name  string
		loss  float64
		limit time.Duration
	}{
		{"configuration-in-force-everywhere", 0, inForceTarget},
		{"configuration-in-force-everywhere-30%-lost", 0.3, inForceBound},
	} {
		w := newSlowWorld(1, 20, 900, time.Second)
		w.run(20 * time.Second)
		w.lossRatio = c.loss
		w.run(20 * time.Second)
		var longest time.Duration
		for range changes {
			w.current++
			longest = max(longest, w.runUntilInForce(inForceBound*2))
			w.run(time.Duration(w.random.Int64N(int64(3 * time.Second))))
		}
		w.check(t)
		benchLine(t, c.name, longest.Seconds(), "s", c.limit.Seconds())
	}
}

// benchLine prints a measurement for .ci/bench and fails the test if it exceeds its bound.
func benchLine(t *testing.T, name string, value float64, unit string, bound float64) {
	t.Helper()
	verdict := "ok"
	if value > bound {
		verdict = "over"
		t.Errorf("%s is %.4g %s, want at most %g", name, value, unit, bound)
	}
	fmt.Printf("BENCH %s %.4g %s %g %s\n", name, value, unit, bound, verdict)
}

// TestOutage restarts an entry and an agent while the table is down. Both must restore
// the version in force from their peers, and a change after the outage must come into
// force everywhere in time.
func TestOutage(t *testing.T) {
	w := newWorld(1, 3, 5)
	w.run(10 * time.Second)
	w.current = 5
	w.runUntilInForce(inForceBound)
	w.tableDown = true
	w.run(20 * time.Second)
	for _, n := range append(w.entries[:2:2], w.agents[0]) {
		if got := w.status(n).State; got != StateUnconfirmed {
			t.Errorf("%s is %s during the outage, want %s", n.peer(), got, StateUnconfirmed)
		}
	}
	w.start(w.entries[0], false)
	w.start(w.agents[0], true)
	w.run(inForceBound)
	w.check(t)
	if v := w.entries[0].inForce; v != 5 {
		t.Errorf("the restarted entry has version %d, want 5", v)
	}
	w.current = 6
	w.tableDown = false
	if took := w.runUntilInForce(inForceBound * 2); took > inForceBound {
		t.Errorf("it took %s after the outage, want at most %s", took, inForceBound)
	}
	w.run(time.Second)
	for _, n := range append(w.entries[:1:1], w.agents[0]) {
		if got := w.status(n).State; got != StateCurrent {
			t.Errorf("%s is %s after the outage, want %s", n.peer(), got, StateCurrent)
		}
	}
	w.check(t)
}

func (w *world) status(n *node) Status {
	if n.agent != nil {
		return n.agent.Status()
	}
	return n.entry.Status(w.now)
}

// TestOldEntryComesBack checks that an isolated entry, which missed a change, does not
// reinstate the old version when it reconnects while the table is down.
func TestOldEntryComesBack(t *testing.T) {
	w := newWorld(1, 3, 5)
	w.run(10 * time.Second)
	old := w.entries[2]
	w.isolate(old)
	old.tableUnreachable = true
	w.current = 4
	w.run(10 * time.Second)
	if old.inForce != 1 {
		t.Fatalf("the old entry has version %d, want 1", old.inForce)
	}
	if got := w.status(old).State; got != StateUnconfirmed {
		t.Errorf("the old entry is %s, want %s", got, StateUnconfirmed)
	}
	w.tableDown = true
	w.reconnect(old)
	w.start(w.agents[0], true)
	w.run(inForceBound)
	w.check(t)
}

// TestListensFirst starts an entry while the table is down. The first peer that connects
// has an old version; the entry must not activate it before the discovery period is over.
func TestListensFirst(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	a := New(now, messenger.Hello{Peer: "e"}, DefaultLimits(), checkText)
	a.PeerUp(now, messenger.Hello{Peer: "old", Role: messenger.RoleEntry, ConfigVersion: 3})
	a.Receive(now, "old", &messenger.Config{Version: 3, Document: text(3)})
	now = now.Add(time.Second)
	a.Tick(now)
	if out := a.Take(now); out.InForce != nil {
		t.Fatalf("version %d is in force before the end of the discovery period", out.InForce.Number)
	}
	a.PeerUp(now, messenger.Hello{Peer: "new", Role: messenger.RoleEntry, ConfigVersion: 5})
	a.Receive(now, "new", &messenger.Config{Version: 5, Document: text(5)})
	a.Receive(now, "old", &messenger.Config{Version: 3, Document: text(3)})
	now = now.Add(DefaultLimits().DiscoveryPeriod)
	a.Tick(now)
	if out := a.Take(now); out.InForce == nil || out.InForce.Number != 5 {
		t.Errorf("got %+v in force, want version 5", out.InForce)
	}
}

// TestUnusable checks that a process that cannot read a new version, as can happen
// during an upgrade, keeps the version in force, reports the error, and does not read
// the document again.
func TestUnusable(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	a := New(now, messenger.Hello{Peer: "e"}, DefaultLimits(), checkText)
	a.Tick(now)
	a.Take(now)
	a.HeadRead(now, 1, nil)
	a.Take(now)
	a.DocumentRead(now, text(1), nil)
	a.HeadRead(now, 2, nil)
	a.Take(now)
	a.check = func([]byte) (uint64, error) { return 2, errNoAnswer }
	a.DocumentRead(now, text(2), nil)
	s := a.Status(now)
	if s.Version != 1 || s.State != StateBehind || s.Detail != "version 2 cannot be used: no answer" {
		t.Errorf("got %+v", s)
	}
	if out := a.Take(now.Add(time.Minute)); out.ReadDocument != 0 {
		t.Error("a document that cannot be used is read again")
	}
}

// TestNeverReverts injects random faults into a whole system and checks each version that
// comes into force against the oracle in checkActivated. After all faults have stopped,
// the accepted version must come into force everywhere in time.
func TestNeverReverts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(rt, "seed"), 3, 3)
		all := append(append([]*node(nil), w.entries...), w.agents...)
		node := func(rt *rapid.T) *node { return rapid.SampledFrom(all).Draw(rt, "node") }
		rt.Repeat(map[string]func(*rapid.T){
			"accept":  func(*rapid.T) { w.current++ },
			"wait":    func(rt *rapid.T) { w.run(time.Duration(rapid.IntRange(1, 6000).Draw(rt, "ms")) * time.Millisecond) },
			"table":   func(rt *rapid.T) { w.tableDown = rapid.Bool().Draw(rt, "down") },
			"restart": func(rt *rapid.T) { n := node(rt); w.start(n, n.agent != nil) },
			"cut":     func(rt *rapid.T) { w.isolate(node(rt)) },
			"heal":    func(rt *rapid.T) { w.reconnect(node(rt)) },
			"read":    func(rt *rapid.T) { node(rt).tableUnreachable = rapid.Bool().Draw(rt, "cut") },
			"links": func(rt *rapid.T) {
				w.lossRatio = rapid.SampledFrom([]float64{0, 0.2, 0.5}).Draw(rt, "loss")
				w.maxDelay = time.Duration(rapid.IntRange(1, 1000).Draw(rt, "ms")) * time.Millisecond
			},
			"": func(rt *rapid.T) {
				if len(w.violations) > 0 {
					rt.Fatal(w.violations)
				}
			},
		})
		w.tableDown, w.lossRatio, w.maxDelay = false, 0, 3*time.Millisecond
		for _, n := range all {
			n.tableUnreachable = false
			w.reconnect(n)
		}
		w.runUntilInForce(inForceBound)
		if lagging := w.lagging(); len(lagging) > 0 {
			rt.Fatalf("version %d is not in force at %v", w.current, lagging)
		}
		if len(w.violations) > 0 {
			rt.Fatal(w.violations)
		}
	})
}
