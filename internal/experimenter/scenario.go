// Package experimenter measures placement on seeded arrivals in virtual time.
//
// A [Scenario] describes the load and the faults; a [Workload] is its list of jobs
// with the true run time of every task. Each system under comparison gets the same
// workload: the real placer at each entry with the real guard at each agent, and
// baselines. Upstreams and links are small fakes: an upstream takes the true run
// time, a link delays, keeps order and loses. A run depends on nothing but the
// scenario, so that its figures can be kept as data files.
package experimenter

import "time"

// FaultKind says what goes wrong in a scenario.
type FaultKind string

// The kinds of faults.
const (
	FaultFailing     FaultKind = "failing"     // The agents' upstreams fail every task at once.
	FaultSlow        FaultKind = "slow"        // The agents' upstreams take Factor times as long.
	FaultAgentsCrash FaultKind = "agents-die"  // The agents die with what runs there.
	FaultEntryCrash  FaultKind = "entry-dies"  // An entry dies with its jobs.
	FaultPartition   FaultKind = "cut-off"     // An entry has no connection to the agents, for a time.
	FaultCancelWave  FaultKind = "cancel-wave" // Callers cancel the share Factor of all open jobs.
)

// Fault is one thing that goes wrong.
type Fault struct {
	Kind     FaultKind
	At       time.Duration
	Agents   []int // Agents are the numbers of the agents concerned.
	Entry    int
	Duration time.Duration // For is how long it lasts; zero is for good.
	Factor   float64
}

// SizeKind names a distribution of the number of tasks of a job.
type SizeKind string

// The distributions of job sizes.
const (
	SizeUsual SizeKind = "usual" // Most jobs have 1 to 20 tasks, a few up to 60.
	SizeMixed SizeKind = "mixed" // Half of the work is jobs of 1 task, half jobs of 580.
	SizeOne   SizeKind = "one"
)

// Scenario is one experiment.
type Scenario struct {
	Seed     uint64
	Duration time.Duration // Duration is how long jobs arrive.
	Entries  int
	Agents   int
	Slots    int
	Teams    int
	Sizes    SizeKind
	Load     float64 // Load is the offered work as a share of all slots.
	// Burst multiplies the load from BurstAt for BurstFor.
	Burst    float64
	BurstAt  time.Duration
	BurstFor time.Duration
	// Flood is the share of all slots that team 0 offers beside the load.
	Overload float64
	// DeclaredError is the spread of declared by true run times, on a log scale.
	DeclaredError float64
	// DeclaredFactor multiplies or divides declared run times at random.
	DeclaredFactor float64
	Deadline       time.Duration
	LossRatio      float64 // Loss is the share of messages that must be sent again.
	Faults         []Fault
}

const (
	sameCentreDelay  = 300 * time.Microsecond
	otherCentreDelay = 1250 * time.Microsecond
	jitter           = 200 * time.Microsecond
	retransmit       = 30 * time.Millisecond
	dataCentres      = 3
	failAfter        = 5 * time.Millisecond
	startBudget      = 5 * time.Second        // startBudget is that of the command's settings.
	noticeAfter      = 500 * time.Millisecond // noticeAfter is how long a broken connection stays unnoticed.
)

// delay returns the delay of a link between two data centres without jitter.
func delay(entry, agent int) time.Duration {
	if entry%dataCentres == agent%dataCentres {
		return sameCentreDelay
	}
	return otherCentreDelay
}

// fault returns the first fault of a kind that concerns an agent, or nil.
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
