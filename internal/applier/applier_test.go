package applier

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sardinelock.dev/sardinelock/internal/messenger"
)

// The promise and the aim of the users for a version to be in force everywhere.
const (
	inForceWithin = 11 * time.Second
	inForceAim    = 3 * time.Second
	// tableReadsPerSecond is what the platform's table service can answer.
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
	for _, fault := range w.faults {
		t.Error(fault)
	}
	if lagging := w.lagging(); len(lagging) > 0 {
		t.Errorf("version %d is not in force at %d processes, as %s", w.current, len(lagging), lagging[0])
	}
}

// TestInForceWithin changes the configuration in systems with loss, reordering
// and tables that some entries do not reach.
func TestInForceWithin(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(w *world)
		limit   time.Duration
	}{
		{"calm", func(*world) {}, inForceAim},
		{"reordered", func(w *world) { w.maxDelay = 400 * time.Millisecond }, inForceWithin},
		{"lossy", func(w *world) { w.lossRatio = 0.3 }, inForceWithin},
		{"lossy and reordered", func(w *world) { w.lossRatio, w.maxDelay = 0.3, 400*time.Millisecond }, inForceWithin},
		{"one entry reads the table", func(w *world) {
			for _, e := range w.entries[1:] {
				e.cutTable = true
			}
		}, inForceWithin},
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
				took := w.runUntilInForce(inForceWithin * 2)
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

// TestBudget counts reads and messages at the size of the plan: 20 entries, 900
// agents, and a change every 108 s, which is 800 a day.
func TestBudget(t *testing.T) {
	const (
		entries = 20
		agents  = 900
		changes = 1
		pause   = 108 * time.Second
		// A node may spend 18 KB a second on all control traffic.
		maxNodeBytesPerSecond = 18 << 10
		// Every entry reads one row a second, and a document for each change.
		maxReadsPerSecond = entries + 1
	)
	w := newSlowWorld(1, entries, agents, time.Second)
	w.run(20 * time.Second)
	w.check(t)
	w.reads, w.sent, w.bytes = 0, 0, 0
	var longest time.Duration
	for range changes {
		w.current++
		took := w.runUntilInForce(inForceWithin)
		longest = max(longest, took)
		w.run(pause - took)
	}
	w.check(t)
	seconds := (changes * pause).Seconds()
	reads := float64(w.reads) / seconds
	perNode := float64(w.bytes) / seconds / entries
	t.Logf("longest %s; %.1f reads/s; %.0f messages a change; %.0f B/s at an entry", longest, reads, float64(w.sent)/changes, perNode)
	if longest > inForceAim {
		t.Errorf("a version took %s, want at most %s", longest, inForceAim)
	}
	benchLine(t, "configuration-reads-20-entries-900-agents", reads, "reads/s", tableReadsPerSecond)
	if reads > maxReadsPerSecond {
		t.Errorf("%.1f reads a second, want at most %d", reads, maxReadsPerSecond)
	}
	if perNode > maxNodeBytesPerSecond {
		t.Errorf("%.0f bytes a second at an entry, want at most %d", perNode, maxNodeBytesPerSecond)
	}
}

// TestInForceAtSize changes the configuration at any time within the period of the
// reads, at the size of the plan, calm and with 30% of all messages and reads lost.
func TestInForceAtSize(t *testing.T) {
	const changes = 10
	for _, c := range []struct {
		name  string
		loss  float64
		limit time.Duration
	}{
		{"configuration-in-force-everywhere", 0, inForceAim},
		{"configuration-in-force-everywhere-30%-lost", 0.3, inForceWithin},
	} {
		w := newSlowWorld(1, 20, 900, time.Second)
		w.run(20 * time.Second)
		w.lossRatio = c.loss
		w.run(20 * time.Second)
		var longest time.Duration
		for range changes {
			w.current++
			longest = max(longest, w.runUntilInForce(inForceWithin*2))
			w.run(time.Duration(w.random.Int64N(int64(3 * time.Second))))
		}
		w.check(t)
		benchLine(t, c.name, longest.Seconds(), "s", c.limit.Seconds())
	}
}

// benchLine prints a figure for .ci/bench and fails if it is over its bound.
func benchLine(t *testing.T, name string, value float64, unit string, bound float64) {
	t.Helper()
	verdict := "ok"
	if value > bound {
		verdict = "over"
		t.Errorf("%s is %.4g %s, want at most %g", name, value, unit, bound)
	}
	fmt.Printf("BENCH %s %.4g %s %g %s\n", name, value, unit, bound, verdict)
}

// TestOutage restarts an entry and an agent while the table is down.
func TestOutage(t *testing.T) {
	w := newWorld(1, 3, 5)
	w.run(10 * time.Second)
	w.current = 5
	w.runUntilInForce(inForceWithin)
	w.down = true
	w.run(20 * time.Second)
	for _, n := range append(w.entries[:2:2], w.agents[0]) {
		if got := w.status(n).State; got != StateUnconfirmed {
			t.Errorf("%s is %s during the outage, want %s", n.peer(), got, StateUnconfirmed)
		}
	}
	w.start(w.entries[0], false)
	w.start(w.agents[0], true)
	w.run(inForceWithin)
	w.check(t)
	if v := w.entries[0].inForce; v != 5 {
		t.Errorf("the restarted entry has version %d, want 5", v)
	}
	w.current = 6
	w.down = false
	if took := w.runUntilInForce(inForceWithin * 2); took > inForceWithin {
		t.Errorf("it took %s after the outage, want at most %s", took, inForceWithin)
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

// TestOldEntryComesBack cuts an entry off, changes the configuration without it,
// and lets it meet the others again while the table is down.
func TestOldEntryComesBack(t *testing.T) {
	w := newWorld(1, 3, 5)
	w.run(10 * time.Second)
	old := w.entries[2]
	w.cut(old)
	old.cutTable = true
	w.current = 4
	w.run(10 * time.Second)
	if old.inForce != 1 {
		t.Fatalf("the old entry has version %d, want 1", old.inForce)
	}
	if got := w.status(old).State; got != StateUnconfirmed {
		t.Errorf("the old entry is %s, want %s", got, StateUnconfirmed)
	}
	w.down = true
	w.heal(old)
	w.start(w.agents[0], true)
	w.run(inForceWithin)
	w.check(t)
}

// TestListensFirst starts an entry while the table is down. The first peer it
// meets has an old version; it must not take that before it has met the others.
func TestListensFirst(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	a := New(now, messenger.Hello{Peer: "e"}, DefaultLimits(), checkText)
	a.PeerUp(now, messenger.Hello{Peer: "old", Role: messenger.RoleEntry, ConfigVersion: 3})
	a.Receive(now, "old", &messenger.Config{Version: 3, Document: text(3)})
	now = now.Add(time.Second)
	a.Tick(now)
	if out := a.Take(now); out.InForce != nil {
		t.Fatalf("version %d is in force before the others were heard", out.InForce.Number)
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

// TestUnusable meets a version that this process cannot read, as during an
// upgrade: it stays at the one in force and says so.
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

// TestNeverReverts drives a whole system at random and holds each version that
// comes into force against the oracle in observe. In the end all faults stop, and
// the accepted version must be in force everywhere in time.
func TestNeverReverts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(rt, "seed"), 3, 3)
		all := append(append([]*node(nil), w.entries...), w.agents...)
		node := func(rt *rapid.T) *node { return rapid.SampledFrom(all).Draw(rt, "node") }
		rt.Repeat(map[string]func(*rapid.T){
			"accept":  func(*rapid.T) { w.current++ },
			"wait":    func(rt *rapid.T) { w.run(time.Duration(rapid.IntRange(1, 6000).Draw(rt, "ms")) * time.Millisecond) },
			"table":   func(rt *rapid.T) { w.down = rapid.Bool().Draw(rt, "down") },
			"restart": func(rt *rapid.T) { n := node(rt); w.start(n, n.agent != nil) },
			"cut":     func(rt *rapid.T) { w.cut(node(rt)) },
			"heal":    func(rt *rapid.T) { w.heal(node(rt)) },
			"read":    func(rt *rapid.T) { node(rt).cutTable = rapid.Bool().Draw(rt, "cut") },
			"links": func(rt *rapid.T) {
				w.lossRatio = rapid.SampledFrom([]float64{0, 0.2, 0.5}).Draw(rt, "loss")
				w.maxDelay = time.Duration(rapid.IntRange(1, 1000).Draw(rt, "ms")) * time.Millisecond
			},
			"": func(rt *rapid.T) {
				if len(w.faults) > 0 {
					rt.Fatal(w.faults)
				}
			},
		})
		w.down, w.lossRatio, w.maxDelay = false, 0, 3*time.Millisecond
		for _, n := range all {
			n.cutTable = false
			w.heal(n)
		}
		w.runUntilInForce(inForceWithin)
		if lagging := w.lagging(); len(lagging) > 0 {
			rt.Fatalf("version %d is not in force at %v", w.current, lagging)
		}
		if len(w.faults) > 0 {
			rt.Fatal(w.faults)
		}
	})
}
