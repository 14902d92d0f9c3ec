// Package loader generates load for a running system and checks its answers.
//
// An [Experiment] defines the arrival process, the classes of jobs, and the faults
// and operations that are applied to the system during the run. The load is
// open-loop: arrival times are drawn from a seed before the run, each job is sent at
// its scheduled time whether or not earlier ones have been answered, and its latency
// is measured from that time. The loader checks invariants on the answers, and
// compares their latencies with those of an ideal scheduler that knows every run time.
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

// ArrivalProcess is the distribution of the times between arrivals.
type ArrivalProcess string

// The arrival processes.
const (
	ArrivalSteady  ArrivalProcess = "steady"  // Jobs arrive at equal intervals.
	ArrivalPoisson ArrivalProcess = "poisson" // Intervals are exponentially distributed.
	ArrivalBurst   ArrivalProcess = "burst"   // Bursts of equal size arrive at equal intervals.
)

// Bounds of an experiment.
const (
	maxDuration    = 10 * time.Minute
	maxJobs        = 1_000_000
	maxTasks       = 20_000_000
	maxOutstanding = 20_000
)

// Experiment describes a load, and the steps that are applied to the system during
// it.
type Experiment struct {
	Name     string        `yaml:"name"`
	Seed     uint64        `yaml:"seed"`
	Duration time.Duration `yaml:"duration"`
	// Settle is how long the loader waits for answers after the last arrival.
	Settle  time.Duration `yaml:"settle"`
	System  System        `yaml:"system"`
	Arrival Arrival       `yaml:"arrival"`
	Jobs    []JobClass    `yaml:"jobs"`
	// Teams are the teams that submit jobs, each job's chosen at random; if empty,
	// jobs are submitted without a team.
	Teams []string `yaml:"teams"`
	// TokenSuffix is appended to a team's name to give its bearer token, as in the
	// example configurations; if empty, only the team's name is sent.
	TokenSuffix string `yaml:"token-suffix"`
	// DuplicateRatio is the share of jobs that are submitted a second time with the
	// same id, through another entry if there is one.
	DuplicateRatio float64       `yaml:"duplicate-ratio"`
	DuplicateAfter time.Duration `yaml:"duplicate-after"`
	// CancelRatio is the share of jobs that are cancelled.
	CancelRatio float64       `yaml:"cancel-ratio"`
	CancelAfter time.Duration `yaml:"cancel-after"`
	// MaxOutstanding bounds the number of requests in flight. An arrival beyond it is
	// not sent, which makes the run invalid.
	MaxOutstanding int    `yaml:"max-outstanding"`
	Steps          []Step `yaml:"steps"`
}

// System is the size of the system that the experiment is designed for.
type System struct {
	Entries int `yaml:"entries"`
	Agents  int `yaml:"agents"`
	// Slots is the number of slots of each agent's upstream.
	Slots int `yaml:"slots"`
	// Base is the path of the base configuration, relative to the experiment's file.
	Base string `yaml:"base"`
}

// Arrival is the arrival process of jobs and its parameters.
type Arrival struct {
	Process ArrivalProcess `yaml:"process"`
	// Rate is the mean number of jobs a second.
	Rate float64 `yaml:"rate"`
	// BurstSize is the number of jobs in a burst.
	BurstSize int `yaml:"burst-size"`
}

// JobClass is a class of similar jobs. Values are drawn uniformly from its ranges.
type JobClass struct {
	// Weight, divided by the sum of all weights, is the share of jobs of this class.
	Weight  float64       `yaml:"weight"`
	Service string        `yaml:"service"`
	Tasks   IntRange      `yaml:"tasks"`
	RunTime DurationRange `yaml:"run-time"`
	// DeclaredFactor is the ratio of the declared run time to the actual one.
	DeclaredFactor FloatRange `yaml:"declared-factor"`
	MemoryBytes    int64      `yaml:"memory-bytes"`
	Repeatable     bool       `yaml:"repeatable"`
	// RequestKey selects whether each job has a unique request key.
	RequestKey bool          `yaml:"request-key"`
	Deadline   time.Duration `yaml:"deadline"`
}

// IntRange is the range from Min to Max, both inclusive.
type IntRange struct {
	Min int `yaml:"min"`
	Max int `yaml:"max"`
}

// DurationRange is the range from Min to Max.
type DurationRange struct {
	Min time.Duration `yaml:"min"`
	Max time.Duration `yaml:"max"`
}

// FloatRange is the range from Min to Max.
type FloatRange struct {
	Min float64 `yaml:"min"`
	Max float64 `yaml:"max"`
}

// Action is the fault or operation that a step applies.
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

// Step is a fault or operation that is applied to the system during the run.
type Step struct {
	At time.Duration `yaml:"at"`
	Do Action        `yaml:"do"`
	// Target is the index of the entry or agent that the step applies to.
	Target int `yaml:"target"`
	// For is the duration of a pause, or the latency of a slow store.
	For time.Duration `yaml:"for"`
	// Ratio is the share of tasks that a failing upstream fails.
	Ratio float64 `yaml:"ratio"`
}

// DefaultExperiment returns the experiment that runs if no file is given: small jobs
// on a system of the present size.
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

// ParseExperiment decodes an experiment, fills in defaults and validates it. The
// name identifies the file in errors.
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

// Complete fills in defaults and validates the experiment. Its error lists all faults.
func (x *Experiment) Complete() error {
	x.setDefaults()
	var faults []string
	addFaultIf := func(bad bool, format string, args ...any) {
		if bad {
			faults = append(faults, fmt.Sprintf(format, args...))
		}
	}
	addFaultIf(x.Duration <= 0 || x.Duration > maxDuration, "duration must be positive and at most %s", maxDuration)
	addFaultIf(x.Arrival.Rate <= 0, "arrival: rate must be positive")
	addFaultIf(x.Arrival.Rate*x.Duration.Seconds() > maxJobs, "arrival: more than %d jobs", maxJobs)
	switch x.Arrival.Process {
	case ArrivalSteady, ArrivalPoisson, ArrivalBurst:
	default:
		addFaultIf(true, "arrival: process must be steady, poisson or burst, not %q", x.Arrival.Process)
	}
	addFaultIf(!isRatio(x.DuplicateRatio), "duplicate-ratio must be from 0 to 1")
	addFaultIf(!isRatio(x.CancelRatio), "cancel-ratio must be from 0 to 1")
	addFaultIf(x.MaxOutstanding < 1 || x.MaxOutstanding > maxOutstanding, "max-outstanding must be from 1 to %d", maxOutstanding)
	addFaultIf(x.System.Entries < 1 || x.System.Agents < 1 || x.System.Slots < 1, "system: entries, agents and slots must be positive")
	addFaultIf(len(x.Jobs) == 0, "jobs must not be empty")
	for i, m := range x.Jobs {
		addFaultIf(!m.valid(), "jobs[%d]: needs a weight, a service, 1 to %d tasks and run times in order", i, submitter.MaxTasks)
	}
	for i, s := range x.Steps {
		addFaultIf(!isKnownAction(s.Do), "steps[%d]: unknown action %q", i, s.Do)
		addFaultIf(s.At < 0 || s.At > x.Duration, "steps[%d]: at must lie within the duration", i)
		addFaultIf(s.Target < 0 || s.For < 0 || !isRatio(s.Ratio), "steps[%d]: target, for and ratio must not be negative", i)
	}
	if len(faults) > 0 {
		return errors.New(strings.Join(faults, "; "))
	}
	return nil
}

func (x *Experiment) setDefaults() {
	const (
		settle        = 30 * time.Second
		outstanding   = 4096
		slots         = 8
		followUpDelay = 100 * time.Millisecond
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
		x.DuplicateAfter = followUpDelay
	}
	if x.CancelAfter == 0 {
		x.CancelAfter = followUpDelay
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

func isKnownAction(a Action) bool {
	for _, known := range actions {
		if a == known {
			return true
		}
	}
	return false
}

func isRatio(v float64) bool { return v >= 0 && v <= 1 }
