package coordinator_test

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sardinelock.dev/sardinelock/internal/claimer"
	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
)

// TestUndrain drains an entry with jobs in flight, lets it serve as a way to the
// others, and undrains it: it must get the same partitions back, and every request
// must be answered complete.
func TestUndrain(t *testing.T) {
	w := newWorld(func(n int) int { return n - 1 }, worldOptions{entries: 3, agents: 6, slots: 8})
	w.settleUntil(2*time.Second, w.serving)
	p := w.entries[0]
	before := p.entry.Owned()
	if len(before) == 0 {
		t.Fatal("the entry owns nothing to begin with")
	}
	w.submitMany(30, w.entries)
	p.entry.Drain(w.now)
	w.flush(p)
	w.settleUntil(5*time.Second, func() bool { return len(p.entry.Owned()) == 0 })
	if n := len(p.entry.Owned()); n > 0 {
		t.Errorf("the drained entry still owns %d partitions", n)
	}
	// What reaches the drained entry goes on to the others.
	w.submitMany(30, w.entries[:1])
	w.settle(time.Second)
	if n := len(p.entry.Owned()); n > 0 {
		t.Errorf("the drained entry has taken %d partitions", n)
	}
	p.entry.Undrain(w.now)
	w.flush(p)
	w.settle(5 * time.Second)
	after := p.entry.Owned()
	if len(after) != len(before) {
		t.Fatalf("the entry owned %d partitions before and %d after", len(before), len(after))
	}
	for i := range after {
		if after[i].Partition != before[i].Partition {
			t.Fatalf("the entry got partition %d, not %d", after[i].Partition, before[i].Partition)
		}
	}
	w.oracle.checkEnd()
	if w.oracle.violation != "" {
		t.Fatal(w.oracle.violation)
	}
	if n := w.oracle.outcomes["complete "]; n != len(w.oracle.requests) {
		t.Errorf("not every answer is complete:\n%s", table(w.oracle.outcomes))
	}
}

// TestDrainMachine drains and undrains entries in any order among faults. Rules 1
// to 5 hold after each step, and in the end every partition is where the entries
// that are not drained want it.
func TestDrainMachine(t *testing.T) {
	mustSet(t, "rapid.checks", "60")
	mustSet(t, "rapid.nofailfile", "true")
	rapid.Check(t, func(t *rapid.T) {
		pick := func(n int) int { return rapid.IntRange(0, max(n, 1)-1).Draw(t, "") }
		w := newWorld(pick, worldOptions{entries: 3, agents: 3, slots: 2, speed: 20})
		w.trace = new(strings.Builder)
		w.settleUntil(time.Second, w.serving)
		m := drainMachine{world: w, drained: make(map[*process]bool)}
		t.Repeat(map[string]func(*rapid.T){
			"":        m.check,
			"drain":   func(*rapid.T) { m.setDrained(true) },
			"undrain": func(*rapid.T) { m.setDrained(false) },
			"work":    func(*rapid.T) { m.work() },
			"kill":    func(*rapid.T) { w.kill(w.entries[pick(len(w.entries))]) },
			"cut":     func(*rapid.T) { w.cutSome() },
			"pause":   func(*rapid.T) { w.pauseSome() },
			"wake":    func(*rapid.T) { w.wakeSome() },
			"down":    func(*rapid.T) { w.down = !w.down },
		})
		w.heal()
		w.settleUntil(10*time.Second, func() bool { return m.misplaced() == "" })
		w.oracle.checkEnd()
		m.check(t)
		if text := m.misplaced(); text != "" {
			t.Fatalf("%s\n%s", text, w.trace)
		}
	})
}

// drainMachine is a world with the entries that are drained in it.
type drainMachine struct {
	world   *world
	drained map[*process]bool
}

func (m *drainMachine) check(t *rapid.T) {
	if m.world.oracle.violation != "" {
		t.Fatalf("%s\n%s", m.world.oracle.violation, m.world.trace)
	}
}

func (m *drainMachine) setDrained(drained bool) {
	w := m.world
	p := w.anyOf(w.entries, (*process).acts)
	if p == nil {
		return
	}
	m.drained[p] = drained
	if drained {
		w.logf("%s is drained", p.peer)
		p.entry.Drain(p.now(w))
	} else {
		w.logf("%s is undrained", p.peer)
		p.entry.Undrain(p.now(w))
	}
	w.flush(p)
}

// work lets the world go on for some steps without faults.
func (m *drainMachine) work() {
	for range 10 {
		m.world.step()
	}
}

// misplaced says which partition is not where it should be; empty if none is.
// While every entry is drained, each keeps what nobody else may take.
func (m *drainMachine) misplaced() string {
	var live []messenger.Peer
	for _, p := range m.world.entries {
		if !m.drained[p] {
			live = append(live, p.peer)
		}
	}
	if len(live) == 0 {
		return ""
	}
	for x := range identifier.Partition(identifier.Partitions) {
		want := claimer.PreferredOwner(x, live)
		for _, p := range m.world.entries {
			if p.entry.Owns(x) != (p.peer == want) {
				return "a partition is not at " + string(want) + ", or also at " + string(p.peer)
			}
		}
	}
	return ""
}
