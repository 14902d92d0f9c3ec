package replayer

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/goccy/go-yaml"
)

// Pattern is a load: what arrives where, and what goes wrong.
type Pattern struct {
	Entries   int           `yaml:"entries"`
	Upstreams int           `yaml:"upstreams"`
	Duration  time.Duration `yaml:"duration"`
	// Rate is the number of jobs that arrive in a second at all entries.
	Rate float64 `yaml:"rate"`
	// Shares has the part of the jobs that each entry gets, relative to the others; without
	// it all get as many.
	Shares []float64 `yaml:"shares"`
	// Follow means that rejected callers come back when they are told to.
	FollowRetryAfter bool    `yaml:"follow"`
	Kinds            []Kind  `yaml:"kinds"`
	Faults           []Fault `yaml:"faults"`
}

// Kind is a kind of job.
type Kind struct {
	Name             string        `yaml:"name"`
	Weight           float64       `yaml:"weight"` // Weight is the share of this kind among the jobs, relative to the others.
	Tasks            float64       `yaml:"tasks"`  // Tasks is the mean number of tasks.
	RunTime          time.Duration `yaml:"run-time"`
	MilliCPU         int64         `yaml:"milli-cpu"`
	Value            float64       `yaml:"worth"`
	Priority         int           `yaml:"priority"`
	LatencyAllowance time.Duration `yaml:"allowance"`
	CallerTimeout    time.Duration `yaml:"patience"`
}

// FaultKind says what goes wrong.
type FaultKind string

// The kinds of faults.
const (
	FaultBurst          FaultKind = "burst"        // Factor times the jobs arrive, of one kind or all.
	FaultHang           FaultKind = "hang"         // Tasks that start at some upstreams stand still.
	FaultFail           FaultKind = "fail"         // Factor of the tasks at some upstreams fail.
	FaultSlow           FaultKind = "slow"         // Tasks at some upstreams take Factor times as long.
	FaultCrash          FaultKind = "crash"        // Some upstreams end and come back.
	FaultFlap           FaultKind = "flap"         // Some upstreams cannot be reached for Delay, can for Delay, and so on.
	FaultRack           FaultKind = "rack"         // The upstreams of a rack end and come back.
	FaultLateCalls      FaultKind = "late"         // Factor of the orders are carried out late and without an answer.
	FaultCallersLeave   FaultKind = "leave"        // Factor of the callers leave after Delay.
	FaultFailingJobs    FaultKind = "hopeless"     // Factor of the jobs can never be done.
	FaultRollingRestart FaultKind = "release"      // The upstreams are replaced one after the other.
	FaultFreezeEntry    FaultKind = "freeze-entry" // Some entries stand still.
	FaultKillEntry      FaultKind = "kill-entry"   // Some entries end and come back.
	FaultKillAgent      FaultKind = "kill-agent"   // Some agents end and come back.
	FaultFreezeAgent    FaultKind = "freeze-agent" // Some agents stand still.
	FaultPartitionAgent FaultKind = "cut"          // Some agents reach no entry; the connections stay open.
	FaultPartitionEntry FaultKind = "cut-entry"    // Some entries reach no agent, nor do new connections.
)

// Fault is something that goes wrong for a while.
type Fault struct {
	Kind     FaultKind     `yaml:"kind"`
	At       time.Duration `yaml:"at"`
	Duration time.Duration `yaml:"for"`
	Count    int           `yaml:"count"`
	Factor   float64       `yaml:"factor"`
	Delay    time.Duration `yaml:"delay"`
	JobKind  string        `yaml:"of"` // Of names a kind of job; empty stands for all.
}

// ParsePattern reads a pattern in YAML. It returns an error that names the line of
// the first fault.
func ParsePattern(text []byte) (Pattern, error) {
	var p Pattern
	err := yaml.UnmarshalWithOptions(text, &p, yaml.Strict())
	return p, err
}

// active returns the faults of a kind that strike now.
func (w *world) active(kind FaultKind, of string) (found []Fault) {
	for _, f := range w.pattern.Faults {
		if f.Kind == kind && w.now >= f.At && w.now < f.At+f.Duration && (f.JobKind == "" || f.JobKind == of) {
			found = append(found, f)
		}
	}
	return found
}

// arrivals begins a Poisson process for each kind.
func (w *world) arrivals() {
	var total float64
	for _, k := range w.pattern.Kinds {
		total += k.Weight
	}
	for _, k := range w.pattern.Kinds {
		w.next(k, w.pattern.Rate*k.Weight/total)
	}
}

func (w *world) next(k Kind, rate float64) {
	factor := 1.0
	for _, f := range w.active(FaultBurst, k.Name) {
		factor *= f.Factor
	}
	pause := time.Duration(w.arriving.ExpFloat64() / (rate * factor) * float64(time.Second))
	w.after(pause, func() {
		if w.now >= w.pattern.Duration {
			return
		}
		w.arrive(k)
		w.next(k, rate)
	})
}

// spread draws a number around a mean, with a heavy upper tail that is cut.
func spread(r *rand.Rand, mean, sigma, most float64) float64 {
	return min(most*mean, mean*math.Exp(sigma*r.NormFloat64()-sigma*sigma/2))
}

// strike begins a fault.
func (w *world) strike(f Fault) {
	count := max(1, f.Count)
	ends := func(do func()) { w.after(f.Duration, do) }
	switch f.Kind {
	case FaultHang, FaultFail, FaultSlow, FaultCrash, FaultRollingRestart, FaultLateCalls, FaultFlap:
		if f.Kind == FaultLateCalls {
			count = len(w.agents)
		}
		for i := range min(count, len(w.agents)) {
			w.strikeUpstream(f, w.agents[(i*3+1)%len(w.agents)].upstream, i)
		}
	case FaultRack:
		for _, a := range w.agents[:min(3, len(w.agents))] {
			w.strikeUpstream(Fault{Kind: FaultCrash, Duration: f.Duration}, a.upstream, 0)
		}
	case FaultFreezeEntry:
		for _, e := range w.entries[:min(count, len(w.entries))] {
			e.frozen = true
			ends(e.thaw)
		}
	case FaultPartitionEntry:
		for _, e := range w.entries[:min(count, len(w.entries))] {
			e.cut = true
			for _, l := range e.agents {
				l.cut = true
			}
			ends(func() { e.cut = false })
		}
	case FaultKillEntry:
		for _, e := range w.entries[:min(count, len(w.entries))] {
			e.kill()
			ends(e.begin)
		}
	case FaultKillAgent, FaultFreezeAgent, FaultPartitionAgent:
		for _, a := range w.agents[:min(count, len(w.agents))] {
			w.strikeAgent(f, a)
		}
	}
}

func (w *world) strikeAgent(f Fault, a *agent) {
	switch f.Kind {
	case FaultKillAgent:
		a.kill()
		w.after(f.Duration, a.begin)
	case FaultFreezeAgent:
		a.frozen = true
		w.after(f.Duration, a.thaw)
	case FaultPartitionAgent:
		for _, l := range a.links {
			l.cut = true
		}
	}
}

func (w *world) strikeUpstream(f Fault, u *upstream, index int) {
	switch f.Kind {
	case FaultHang:
		u.hangs = true
		w.after(f.Duration, func() { u.hangs = false })
	case FaultFail:
		u.failing = f.Factor
		w.after(f.Duration, func() { u.failing = 0 })
	case FaultSlow:
		u.speed = f.Factor
		w.after(f.Duration, func() { u.speed = 1 })
	case FaultLateCalls:
		u.late = f.Factor
		w.after(f.Duration, func() { u.late = 0 })
	case FaultFlap:
		for at := time.Duration(0); at < f.Duration; at += 2 * f.Delay {
			w.after(at, func() { u.cut = true })
			w.after(at+f.Delay, func() { u.cut = false })
		}
	case FaultCrash:
		u.crash()
		w.after(f.Duration, func() { u.down = false })
	case FaultRollingRestart:
		w.after(time.Duration(index)*time.Second, func() {
			u.leaving = true
			w.after(4*time.Second, func() {
				u.crash()
				w.after(time.Second, func() { u.down = false })
			})
		})
	}
}
