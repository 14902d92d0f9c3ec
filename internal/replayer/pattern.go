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
	Follow bool    `yaml:"follow"`
	Kinds  []Kind  `yaml:"kinds"`
	Faults []Fault `yaml:"faults"`
}

// Kind is a kind of job.
type Kind struct {
	Name      string        `yaml:"name"`
	Weight    float64       `yaml:"weight"` // Weight is the share of this kind among the jobs, relative to the others.
	Tasks     float64       `yaml:"tasks"`  // Tasks is the mean number of tasks.
	RunTime   time.Duration `yaml:"run-time"`
	MilliCPU  int64         `yaml:"milli-cpu"`
	Worth     float64       `yaml:"worth"`
	Priority  int           `yaml:"priority"`
	Allowance time.Duration `yaml:"allowance"`
	Patience  time.Duration `yaml:"patience"`
}

// FaultKind says what goes wrong.
type FaultKind string

// The kinds of faults.
const (
	FaultBurst       FaultKind = "burst"        // Factor times the jobs arrive, of one kind or all.
	FaultHang        FaultKind = "hang"         // Tasks that start at some upstreams stand still.
	FaultFail        FaultKind = "fail"         // Factor of the tasks at some upstreams fail.
	FaultSlow        FaultKind = "slow"         // Tasks at some upstreams take Factor times as long.
	FaultCrash       FaultKind = "crash"        // Some upstreams end and come back.
	FaultFlap        FaultKind = "flap"         // Some upstreams cannot be reached for Delay, can for Delay, and so on.
	FaultRack        FaultKind = "rack"         // The upstreams of a rack end and come back.
	FaultLate        FaultKind = "late"         // Factor of the orders are carried out late and without an answer.
	FaultLeave       FaultKind = "leave"        // Factor of the callers leave after Delay.
	FaultHopeless    FaultKind = "hopeless"     // Factor of the jobs can never be done.
	FaultRelease     FaultKind = "release"      // The upstreams are replaced one after the other.
	FaultFreezeEntry FaultKind = "freeze-entry" // Some entries stand still.
	FaultKillEntry   FaultKind = "kill-entry"   // Some entries end and come back.
	FaultKillAgent   FaultKind = "kill-agent"   // Some agents end and come back.
	FaultFreezeAgent FaultKind = "freeze-agent" // Some agents stand still.
	FaultCut         FaultKind = "cut"          // Some agents reach no entry; the connections stay open.
	FaultCutEntry    FaultKind = "cut-entry"    // Some entries reach no agent, nor do new connections.
)

// Fault is something that goes wrong for a while.
type Fault struct {
	Kind   FaultKind     `yaml:"kind"`
	At     time.Duration `yaml:"at"`
	For    time.Duration `yaml:"for"`
	Count  int           `yaml:"count"`
	Factor float64       `yaml:"factor"`
	Delay  time.Duration `yaml:"delay"`
	Of     string        `yaml:"of"` // Of names a kind of job; empty stands for all.
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
		if f.Kind == kind && w.now >= f.At && w.now < f.At+f.For && (f.Of == "" || f.Of == of) {
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
	ends := func(do func()) { w.after(f.For, do) }
	switch f.Kind {
	case FaultHang, FaultFail, FaultSlow, FaultCrash, FaultRelease, FaultLate, FaultFlap:
		if f.Kind == FaultLate {
			count = len(w.agents)
		}
		for i := range min(count, len(w.agents)) {
			w.strikeUpstream(f, w.agents[(i*3+1)%len(w.agents)].upstream, i)
		}
	case FaultRack:
		for _, a := range w.agents[:min(3, len(w.agents))] {
			w.strikeUpstream(Fault{Kind: FaultCrash, For: f.For}, a.upstream, 0)
		}
	case FaultFreezeEntry:
		for _, e := range w.entries[:min(count, len(w.entries))] {
			e.frozen = true
			ends(e.thaw)
		}
	case FaultCutEntry:
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
	case FaultKillAgent, FaultFreezeAgent, FaultCut:
		for _, a := range w.agents[:min(count, len(w.agents))] {
			w.strikeAgent(f, a)
		}
	}
}

func (w *world) strikeAgent(f Fault, a *agent) {
	switch f.Kind {
	case FaultKillAgent:
		a.kill()
		w.after(f.For, a.begin)
	case FaultFreezeAgent:
		a.frozen = true
		w.after(f.For, a.thaw)
	case FaultCut:
		for _, l := range a.links {
			l.cut = true
		}
	}
}

func (w *world) strikeUpstream(f Fault, u *upstream, index int) {
	switch f.Kind {
	case FaultHang:
		u.hangs = true
		w.after(f.For, func() { u.hangs = false })
	case FaultFail:
		u.failing = f.Factor
		w.after(f.For, func() { u.failing = 0 })
	case FaultSlow:
		u.speed = f.Factor
		w.after(f.For, func() { u.speed = 1 })
	case FaultLate:
		u.late = f.Factor
		w.after(f.For, func() { u.late = 0 })
	case FaultFlap:
		for at := time.Duration(0); at < f.For; at += 2 * f.Delay {
			w.after(at, func() { u.cut = true })
			w.after(at+f.Delay, func() { u.cut = false })
		}
	case FaultCrash:
		u.crash()
		w.after(f.For, func() { u.down = false })
	case FaultRelease:
		w.after(time.Duration(index)*time.Second, func() {
			u.leaving = true
			w.after(4*time.Second, func() {
				u.crash()
				w.after(time.Second, func() { u.down = false })
			})
		})
	}
}
