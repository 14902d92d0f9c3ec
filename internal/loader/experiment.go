// Package loader loads a running system with jobs and checks its answers.
//
// An [Experiment] says which jobs arrive when and what happens to the system
// meanwhile. The load is open-loop: the arrivals are drawn from a seed before the
// run, each job is sent at its time whether or not earlier ones are answered, and
// its latency counts from that time. The loader holds the answers against what
// must always be true, and their times against an ideal that knows every run time.
package loader

import (
	"bytes"
	"fmt"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/juju/errors"

	"sardinelock.dev/sardinelock/pkg/submitter"
)

// ArrivalProcess is how jobs arrive.
type ArrivalProcess string

// The arrival processes.
const (
	ArrivalSteady  ArrivalProcess = "steady"  // Jobs arrive at equal distances.
	ArrivalPoisson ArrivalProcess = "poisson" // Distances are drawn from an exponential distribution.
	ArrivalBurst   ArrivalProcess = "burst"   // Jobs arrive in bursts of equal size at equal distances.
)

// Bounds of an experiment.
const (
	maxDuration    = 10 * time.Minute
	maxJobs        = 1_000_000
	maxTasks       = 20_000_000
	maxOutstanding = 20_000
)

// Experiment describes a load and what happens during it.
type Experiment struct {
	Name     string        `yaml:"name"`
	Seed     uint64        `yaml:"seed"`
	Duration time.Duration `yaml:"duration"`
	// Settle is how long answers are awaited after the last arrival.
	Settle  time.Duration `yaml:"settle"`
	System  System        `yaml:"system"`
	Arrival Arrival       `yaml:"arrival"`
	Jobs    []JobClass    `yaml:"jobs"`
	// Teams submit jobs in turn at random; empty submits without a team.
	Teams []string `yaml:"teams"`
	// TokenSuffix makes the bearer token of a team from its name, as in the
	// examples' configurations; empty sends the team's name alone.
	TokenSuffix string `yaml:"token-suffix"`
	// DuplicateRatio is the share of jobs that are submitted again with the same
	// id, through another entry where there is one.
	DuplicateRatio float64       `yaml:"duplicate-ratio"`
	DuplicateAfter time.Duration `yaml:"duplicate-after"`
	// CancelRatio is the share of jobs that are cancelled.
	CancelRatio float64       `yaml:"cancel-ratio"`
	CancelAfter time.Duration `yaml:"cancel-after"`
	// MaxOutstanding bounds the requests without an answer. An arrival beyond it is
	// not sent and makes the run invalid.
	MaxOutstanding int    `yaml:"max-outstanding"`
	Steps          []Step `yaml:"steps"`
}

// System is the shape of the system that the experiment is made for.
type System struct {
	Entries int `yaml:"entries"`
	Agents  int `yaml:"agents"`
	// Slots are the slots of one agent's upstream.
	Slots int `yaml:"slots"`
	// Base names the base configuration, seen from the experiment's file.
	Base string `yaml:"base"`
}

// Arrival is when jobs arrive.
type Arrival struct {
	Process ArrivalProcess `yaml:"process"`
	// Rate is the mean number of jobs a second.
	Rate float64 `yaml:"rate"`
	// BurstSize is the number of jobs of a burst.
	BurstSize int `yaml:"burst-size"`
}

// JobClass is one kind of job. A range is drawn from evenly.
type JobClass struct {
	// Weight is the share of this kind among all weights.
	Weight  float64       `yaml:"weight"`
	Service string        `yaml:"service"`
	Tasks   IntRange      `yaml:"tasks"`
	RunTime DurationRange `yaml:"run-time"`
	// DeclaredFactor is what the declared run time is of the true one.
	DeclaredFactor FloatRange `yaml:"declared-factor"`
	MemoryBytes    int64      `yaml:"memory-bytes"`
	Repeatable     bool       `yaml:"repeatable"`
	// RequestKey gives each job a request key of its own.
	RequestKey bool          `yaml:"request-key"`
	Deadline   time.Duration `yaml:"deadline"`
}

// IntRange is from Min to Max, both included.
type IntRange struct {
	Min int `yaml:"min"`
	Max int `yaml:"max"`
}

// DurationRange is from Min to Max.
type DurationRange struct {
	Min time.Duration `yaml:"min"`
	Max time.Duration `yaml:"max"`
}

// FloatRange is from Min to Max.
type FloatRange struct {
	Min float64 `yaml:"min"`
	Max float64 `yaml:"max"`
}

// Action is what a step does.
type Action string

// The actions of steps.
const (
	ActionKillEntry    Action = "kill-entry"
	ActionPauseEntry   Action = "pause-entry"
	ActionDrainEntry   Action = "drain-entry"
	ActionAddEntry     Action = "add-entry"
	ActionKillAgent    Action = "kill-agent"
	ActionPauseAgent   Action = "pause-agent"
	ActionDrainAgent   Action = "drain-agent"
	ActionAddAgent     Action = "add-agent"
	ActionFailUpstream Action = "fail-upstream"
	ActionStoreDown    Action = "store-down"
	ActionStoreSlow    Action = "store-slow"
	ActionStoreUp      Action = "store-up"
)

var actions = []Action{
	ActionKillEntry, ActionPauseEntry, ActionDrainEntry, ActionAddEntry,
	ActionKillAgent, ActionPauseAgent, ActionDrainAgent, ActionAddAgent,
	ActionFailUpstream, ActionStoreDown, ActionStoreSlow, ActionStoreUp,
}

// Step is something that happens to the system.
type Step struct {
	At time.Duration `yaml:"at"`
	Do Action        `yaml:"do"`
	// Target is the index of the entry or agent.
	Target int `yaml:"target"`
	// For is the length of a pause or the latency of a slow store.
	For time.Duration `yaml:"for"`
	// Ratio is the share of tasks that a failing upstream fails.
	Ratio float64 `yaml:"ratio"`
}

// DefaultExperiment is what runs without an experiment file: small jobs at the
// size of today.
func DefaultExperiment() Experiment {
	return Experiment{
		Name:     "default",
		Seed:     1,
		Duration: 10 * time.Second,
		System:   System{Entries: 3, Agents: 11},
		Arrival:  Arrival{Process: ArrivalPoisson, Rate: 20},
		Jobs: []JobClass{{
			Weight:     1,
			Service:    "quote",
			Tasks:      IntRange{1, 20},
			RunTime:    DurationRange{10 * time.Millisecond, 100 * time.Millisecond},
			Repeatable: true,
		}},
	}
}

// ParseExperiment reads an experiment, fills in defaults and checks it. The name
// stands for the file in errors.
func ParseExperiment(name string, text []byte) (Experiment, error) {
	var x Experiment
	dec := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict())
	if err := dec.Decode(&x); err != nil {
		return x, &Error{Op: "parse " + name, Kind: KindExperiment, Err: err}
	}
	if err := x.Complete(); err != nil {
		return x, &Error{Op: "parse " + name, Kind: KindExperiment, Err: err}
	}
	return x, nil
}

// Complete fills in defaults and reports all faults together.
func (x *Experiment) Complete() error {
	x.setDefaults()
	var faults []string
	fault := func(bad bool, format string, args ...any) {
		if bad {
			faults = append(faults, fmt.Sprintf(format, args...))
		}
	}
	fault(x.Duration <= 0 || x.Duration > maxDuration, "duration must be positive and at most %s", maxDuration)
	fault(x.Arrival.Rate <= 0, "arrival: rate must be positive")
	fault(x.Arrival.Rate*x.Duration.Seconds() > maxJobs, "arrival: more than %d jobs", maxJobs)
	switch x.Arrival.Process {
	case ArrivalSteady, ArrivalPoisson, ArrivalBurst:
	default:
		fault(true, "arrival: process must be steady, poisson or burst, not %q", x.Arrival.Process)
	}
	fault(!isRatio(x.DuplicateRatio), "duplicate-ratio must be from 0 to 1")
	fault(!isRatio(x.CancelRatio), "cancel-ratio must be from 0 to 1")
	fault(x.MaxOutstanding < 1 || x.MaxOutstanding > maxOutstanding, "max-outstanding must be from 1 to %d", maxOutstanding)
	fault(x.System.Entries < 1 || x.System.Agents < 1 || x.System.Slots < 1, "system: entries, agents and slots must be positive")
	fault(len(x.Jobs) == 0, "jobs must not be empty")
	for i, m := range x.Jobs {
		fault(!m.valid(), "jobs[%d]: needs a weight, a service, 1 to %d tasks and run times in order", i, submitter.MaxTasks)
	}
	for i, s := range x.Steps {
		fault(!knownAction(s.Do), "steps[%d]: unknown action %q", i, s.Do)
		fault(s.At < 0 || s.At > x.Duration, "steps[%d]: at must lie within the duration", i)
		fault(s.Target < 0 || s.For < 0 || !isRatio(s.Ratio), "steps[%d]: target, for and ratio must not be negative", i)
	}
	if len(faults) > 0 {
		return errors.New(strings.Join(faults, "; "))
	}
	return nil
}

func (x *Experiment) setDefaults() {
	const (
		settle      = 30 * time.Second
		outstanding = 4096
		slots       = 8
		afterward   = 100 * time.Millisecond
	)
	if x.Settle == 0 {
		x.Settle = settle
	}
	if x.MaxOutstanding == 0 {
		x.MaxOutstanding = outstanding
	}
	if x.System.Slots == 0 {
		x.System.Slots = slots
	}
	if x.Arrival.Process == "" {
		x.Arrival.Process = ArrivalSteady
	}
	if x.Arrival.BurstSize == 0 {
		x.Arrival.BurstSize = 1
	}
	if x.DuplicateAfter == 0 {
		x.DuplicateAfter = afterward
	}
	if x.CancelAfter == 0 {
		x.CancelAfter = afterward
	}
	for i := range x.Jobs {
		if x.Jobs[i].DeclaredFactor == (FloatRange{}) {
			x.Jobs[i].DeclaredFactor = FloatRange{1, 1}
		}
	}
}

func (m *JobClass) valid() bool {
	return m.Weight > 0 && m.Service != "" &&
		m.Tasks.Min >= 1 && m.Tasks.Max >= m.Tasks.Min && m.Tasks.Max <= submitter.MaxTasks &&
		m.RunTime.Min >= 0 && m.RunTime.Max >= m.RunTime.Min &&
		m.DeclaredFactor.Min > 0 && m.DeclaredFactor.Max >= m.DeclaredFactor.Min
}

func knownAction(a Action) bool {
	for _, known := range actions {
		if a == known {
			return true
		}
	}
	return false
}

func isRatio(v float64) bool { return v >= 0 && v <= 1 }
