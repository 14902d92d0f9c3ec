// Package experimenter compares scheduling systems on seeded workloads in virtual time.
//
// A [Scenario] describes the load and the faults; a [Workload] is the resulting list of
// jobs with the actual run time of every task. Each system runs the same workload: the real
// placer at each entry with the real guard at each agent, the baselines, and the ideal.
// Upstreams and links are simulated: an upstream runs each task for its actual run time, and
// a link delivers messages in order, with a delay that includes the retransmission of lost
// ones. A run depends only on the scenario, so its results are stored in testdata.
package experimenter

import "time"

// FaultKind names a kind of fault.
type FaultKind string

// The kinds of faults.
const (
	FaultFailing     FaultKind = "failing"     // The agents' upstreams fail every task immediately.
	FaultSlow        FaultKind = "slow"        // The agents' upstreams run tasks Factor times as long.
	FaultAgentsCrash FaultKind = "agents-die"  // The agents crash, and the tasks at their upstreams end.
	FaultEntryCrash  FaultKind = "entry-dies"  // An entry crashes, and its jobs fail.
	FaultPartition   FaultKind = "cut-off"     // An entry has no connection to the agents for Duration.
	FaultCancelWave  FaultKind = "cancel-wave" // Callers cancel the share Factor of the jobs that arrived shortly before.
)

// Fault is one fault that is injected at a time.
type Fault struct {
	Kind     FaultKind
	At       time.Duration
	Agents   []int // Agents holds the numbers of the affected agents.
	Entry    int
	Duration time.Duration // Duration is how long a partition lasts; zero means until the end.
	Factor   float64
}

// SizeKind names a distribution of the number of tasks per job.
type SizeKind string

// The distributions of job sizes.
const (
	SizeUsual SizeKind = "usual" // Most jobs have 1 to 20 tasks, a few up to 60.
	SizeMixed SizeKind = "mixed" // Half of the work is in jobs of 1 task, half in jobs of 580.
	SizeOne   SizeKind = "one"
)

// Scenario describes one experiment.
type Scenario struct {
	Seed     uint64
	Duration time.Duration // Duration is the time during which jobs arrive.
	Entries  int
	Agents   int
	Slots    int
	Teams    int
	Sizes    SizeKind
	Load     float64 // Load is the offered work relative to the capacity of all slots.
	// Burst multiplies the load for BurstDuration from BurstAt.
	Burst         float64
	BurstAt       time.Duration
	BurstDuration time.Duration
	// Overload is the work that team 0 offers in addition to the load, relative to the
	// capacity of all slots.
	Overload float64
	// DeclaredError is the standard deviation of the logarithm of the ratio of declared to
	// actual run time.
	DeclaredError float64
	// DeclaredFactor multiplies or divides declared run times at random.
	DeclaredFactor float64
	Deadline       time.Duration
	LossRatio      float64 // LossRatio is the share of messages that are lost and retransmitted.
	Faults         []Fault
}

const (
	sameCentreDelay  = 300 * time.Microsecond
	otherCentreDelay = 1250 * time.Microsecond
	jitter           = 200 * time.Microsecond
	retransmit       = 30 * time.Millisecond
	dataCentres      = 3
	failureDelay     = 5 * time.Millisecond
	startTimeout     = 5 * time.Second        // startTimeout equals the value in the command's settings.
	disconnectDelay  = 500 * time.Millisecond // disconnectDelay is the time until a broken connection is detected.
)

// delay returns the delay of the link between an entry and an agent, without jitter.
func delay(entry, agent int) time.Duration {
	if entry%dataCentres == agent%dataCentres {
		return sameCentreDelay
	}
	return otherCentreDelay
}

// fault returns the first fault of a kind that affects an agent, or nil.
func (sc *Scenario) fault(kind FaultKind, agent int) *Fault {
	for i := range sc.Faults {
		f := &sc.Faults[i]
		if f.Kind != kind {
			continue
		}
		for _, n := range f.Agents {
			if n == agent {
				return f
			}
		}
	}
	return nil
}
