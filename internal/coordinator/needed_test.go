package coordinator_test

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"sardinelock.dev/sardinelock/internal/coordinator"
	"sardinelock.dev/sardinelock/internal/guard"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/owner"
)

// neededRules lists the rules, each with a way to switch it off.
var neededRules = []struct {
	name       string
	rules      func(*coordinator.Rules)
	ownerRules func(*owner.Rules)
	guardRules func(*guard.Rules)
	extras     simulationExtras
	// directed is a history that is known to need the rule; nil to search random
	// histories for one.
	directed func(*simulation)
}{
	{
		name:       "epoch check",
		guardRules: func(r *guard.Rules) { r.StaleEpoch = func(_, _ uint64) bool { return false } },
		directed:   delayedStart,
	},
	{
		name: "start record",
		guardRules: func(r *guard.Rules) {
			r.Duplicate = func(bool) bool { return false }
			r.ReportRecords = func() bool { return false }
		},
	},
	{
		name:       "start-by",
		guardRules: func(r *guard.Rules) { r.Expired = func(_, _ time.Duration) bool { return false } },
		directed:   lateStart,
	},
	{
		name:     "lease self-check",
		rules:    func(r *coordinator.Rules) { r.Leaser.Held = func(_, _ time.Time) bool { return true } },
		directed: func(sim *simulation) { isolateOwner(sim, 2*time.Second) },
	},
	{
		name: "majority of witnesses",
		rules: func(r *coordinator.Rules) {
			r.Leaser.Majority = func(int) int { return 1 }
			r.Recoverer.Majority = func(int) int { return 1 }
		},
		directed: func(sim *simulation) { isolateOwner(sim, 2*time.Second) },
	},
	{
		name:     "wait after fencing",
		rules:    func(r *coordinator.Rules) { r.Recoverer.WaitOver = func(_, _ time.Time) bool { return true } },
		directed: func(sim *simulation) { isolateOwner(sim, 0) },
	},
	{
		name:     "completeness",
		rules:    func(r *coordinator.Rules) { r.Recoverer.RecordsComplete = func(int) bool { return true } },
		directed: unreachableAgent,
	},
	{
		name:     "write read-back",
		rules:    func(r *coordinator.Rules) { r.Registrar.TrustUnknownWrite = func() bool { return true } },
		directed: lostClaim,
	},
	{
		// The agent's own check of its admission cannot be shown to be needed: an entry
		// admits an agent on a connection before its first start there, by the same
		// rows. A start is therefore refused as not admitted only if the entry has
		// violated this rule.
		name:     "admission",
		rules:    func(r *coordinator.Rules) { r.Enrolled = func(bool) bool { return true } },
		directed: unenrolledAgent,
	},
	{
		name:     "one reading of the wall clock",
		extras:   simulationExtras{followWallClock: true},
		directed: clockSteppedBack,
	},
	{
		name:       "kept not-run answers",
		ownerRules: func(r *owner.Rules) { r.KeepsNotRun = func() bool { return false } },
		directed:   resubmitNotRun,
	},
	{
		name:       "request keys",
		ownerRules: func(r *owner.Rules) { r.HoldsKey = func() bool { return false } },
	},
	{
		name:       "proof of a refusal",
		ownerRules: func(r *owner.Rules) { r.ProvesNotStarted = func(messenger.Refusal) bool { return true } },
		guardRules: func(r *guard.Rules) { r.ReportRecords = func() bool { return false } },
	},
}

// maxSearchedHistories limits the search for a violation.
const maxSearchedHistories = 1000

// TestEachGuardIsNeeded switches each rule off and runs histories until the oracle
// finds a violation, which shows that the rule is needed and that the oracle detects
// its absence. With the rule on, the directed histories violate nothing.
func TestEachGuardIsNeeded(t *testing.T) {
	for _, n := range neededRules {
		t.Run(n.name, func(t *testing.T) {
			t.Parallel()
			off := simulationOptions{rules: n.rules, ownerRules: n.ownerRules, guardRules: n.guardRules, simulationExtras: n.extras}
			if n.directed == nil {
				searchViolation(t, off)
				return
			}
			checkDirected(t, off, n.directed)
		})
	}
}

func searchViolation(t *testing.T, off simulationOptions) {
	for i := range uint64(maxSearchedHistories) {
		random := rand.New(rand.NewPCG(1+i, 11))
		o := drawOptions(random.IntN)
		o.faultPercent = 12 + random.IntN(20)
		o.rules = off.rules
		o.ownerRules = off.ownerRules
		o.guardRules = off.guardRules
		sim := newSimulation(random.IntN, o)
		sim.run(*stepsFlag)
		if strings.HasPrefix(sim.oracle.violation, "rule ") {
			t.Logf("seed %d: %s", 1+i, sim.oracle.violation)
			return
		}
	}
	t.Errorf("no violation in %d histories without the rule", maxSearchedHistories)
}

func checkDirected(t *testing.T, off simulationOptions, directed func(*simulation)) {
	off.entries, off.agents, off.slots = 3, 3, 2
	off.limits = func(l *coordinator.Limits) {
		// The clocks of a directed history agree, and a takeover is shorter than the
		// start timeout.
		l.Recoverer.MaxClockSkew = 0
		l.StartTimeout = 5 * time.Second
	}
	on := off
	on.rules, on.ownerRules, on.guardRules = nil, nil, nil
	on.simulationExtras = simulationExtras{}
	sim := runDirected(on, directed)
	if sim.oracle.violation != "" {
		t.Fatalf("with the rule: %s\n%s", sim.oracle.violation, tail(sim.trace.String()))
	}
	sim = runDirected(off, directed)
	if !strings.HasPrefix(sim.oracle.violation, "rule ") {
		t.Fatalf("no violation without the rule\n%s", tail(sim.trace.String()))
	}
	t.Log(sim.oracle.violation)
}
