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

// TestUndrain drains an entry with jobs in flight, uses it only to forward requests to
// the others, and undrains it. It must get the same partitions back, and every request
// must be answered complete.
func TestUndrain(t *testing.T) {
	sim := newSimulation(func(n int) int { return n - 1 }, simulationOptions{entries: 3, agents: 6, slots: 8})
	sim.runUntil(2*time.Second, sim.serving)
	p := sim.entries[0]
	before := p.entry.Owned()
	if len(before) == 0 {
		t.Fatal("the entry owns no partitions at the start")
	}
	sim.submitMany(30, sim.entries)
	p.entry.Drain(sim.now)
	sim.flush(p)
	sim.runUntil(5*time.Second, func() bool { return len(p.entry.Owned()) == 0 })
	if n := len(p.entry.Owned()); n > 0 {
		t.Errorf("the drained entry still owns %d partitions", n)
	}
	// The drained entry forwards requests to the others.
	sim.submitMany(30, sim.entries[:1])
	sim.runFor(time.Second)
	if n := len(p.entry.Owned()); n > 0 {
		t.Errorf("the drained entry has taken %d partitions", n)
	}
	p.entry.Undrain(sim.now)
	sim.flush(p)
	sim.runFor(5 * time.Second)
	after := p.entry.Owned()
	if len(after) != len(before) {
		t.Fatalf("the entry owned %d partitions before and %d after", len(before), len(after))
	}
	for i := range after {
		if after[i].Partition != before[i].Partition {
			t.Fatalf("the entry got partition %d, not %d", after[i].Partition, before[i].Partition)
		}
	}
	sim.oracle.checkEnd()
	if sim.oracle.violation != "" {
		t.Fatal(sim.oracle.violation)
	}
	if n := sim.oracle.outcomes["complete "]; n != len(sim.oracle.requests) {
		t.Errorf("not every answer is complete:\n%s", table(sim.oracle.outcomes))
	}
}

// TestDrainMachine drains and undrains entries in any order, mixed with faults. Rules 1
// to 5 hold after each step, and at the end every partition is owned by the entry that
// is preferred among those that are not drained.
func TestDrainMachine(t *testing.T) {
	mustSet(t, "rapid.checks", "60")
	mustSet(t, "rapid.nofailfile", "true")
	rapid.Check(t, func(t *rapid.T) {
		pick := func(n int) int { return rapid.IntRange(0, max(n, 1)-1).Draw(t, "") }
		sim := newSimulation(pick, simulationOptions{entries: 3, agents: 3, slots: 2, maxEventsPerStep: 20})
		sim.trace = new(strings.Builder)
		sim.runUntil(time.Second, sim.serving)
		m := drainMachine{sim: sim, drained: make(map[*process]bool)}
		t.Repeat(map[string]func(*rapid.T){
			"":        m.check,
			"drain":   func(*rapid.T) { m.setDrained(true) },
			"undrain": func(*rapid.T) { m.setDrained(false) },
			"work":    func(*rapid.T) { m.work() },
			"kill":    func(*rapid.T) { sim.kill(sim.entries[pick(len(sim.entries))]) },
			"cut":     func(*rapid.T) { sim.breakSome() },
			"pause":   func(*rapid.T) { sim.pauseSome() },
			"wake":    func(*rapid.T) { sim.resumeSome() },
			"down":    func(*rapid.T) { sim.platformDown = !sim.platformDown },
		})
		sim.heal()
		sim.runUntil(10*time.Second, func() bool { return m.misplacedPartition() == "" })
		sim.oracle.checkEnd()
		m.check(t)
		if text := m.misplacedPartition(); text != "" {
			t.Fatalf("%s\n%s", text, sim.trace)
		}
	})
}

// drainMachine is a simulation and the set of its drained entries.
type drainMachine struct {
	sim     *simulation
	drained map[*process]bool
}

func (m *drainMachine) check(t *rapid.T) {
	if m.sim.oracle.violation != "" {
		t.Fatalf("%s\n%s", m.sim.oracle.violation, m.sim.trace)
	}
}

func (m *drainMachine) setDrained(drained bool) {
	sim := m.sim
	p := sim.anyOf(sim.entries, (*process).active)
	if p == nil {
		return
	}
	m.drained[p] = drained
	if drained {
		sim.logf("%s is drained", p.peer)
		p.entry.Drain(p.now(sim))
	} else {
		sim.logf("%s is undrained", p.peer)
		p.entry.Undrain(p.now(sim))
	}
	sim.flush(p)
}

// work runs some steps without faults.
func (m *drainMachine) work() {
	for range 10 {
		m.sim.step()
	}
}

// misplacedPartition describes a partition that has the wrong owner; empty if there is
// none. While every entry is drained, each keeps the partitions that no other may take.
func (m *drainMachine) misplacedPartition() string {
	var live []messenger.Peer
	for _, p := range m.sim.entries {
		if !m.drained[p] {
			live = append(live, p.peer)
		}
	}
	if len(live) == 0 {
		return ""
	}
	for x := range identifier.Partition(identifier.Partitions) {
		preferred := claimer.PreferredOwner(x, live)
		for _, p := range m.sim.entries {
			if p.entry.Owns(x) != (p.peer == preferred) {
				return "a partition is not at " + string(preferred) + ", or also at " + string(p.peer)
			}
		}
	}
	return ""
}
