package replayer

import (
	"cmp"
	"math"
	"math/rand/v2"
	"time"

	"github.com/goccy/go-yaml"
)

// Pattern describes the processes, the jobs that arrive, and the faults.
type Pattern struct {
	Entries   int           `yaml:"entries"`
	Upstreams int           `yaml:"upstreams"`
	Duration  time.Duration `yaml:"duration"`
	// Rate is the number of jobs per second that arrive at all entries together.
	Rate float64 `yaml:"rate"`
	// Shares holds the relative share of jobs that each entry receives. If it is empty,
	// all entries receive equally many.
	Shares []float64 `yaml:"shares"`
	// EntriesByDataCentre holds the number of entries in each data centre. If it is set, Entries
	// is their sum. If it is empty, the entries are spread evenly over three data centres.
	EntriesByDataCentre []int `yaml:"entries-by-data-centre"`
	// Callers holds the relative share of jobs that the callers of each data centre submit. Such
	// callers reach only the entries of their own data centre. If it is empty, every caller
	// reaches all entries.
	Callers []float64 `yaml:"callers"`
	// Wave changes the demand of each data centre over time. It requires Callers.
	Wave Wave `yaml:"wave"`
	// Speeds holds relative speeds of upstreams. The upstreams of a rack have the same speed, and
	// the racks take turns. If it is empty, all speeds are 1.
	Speeds []float64 `yaml:"speeds"`
	// Sizes holds relative capacities of upstreams, which take turns; 1 is 16 cores. If it is
	// empty, every third upstream is half as large again.
	Sizes []float64 `yaml:"sizes"`
	// LinkRate is the rate of each entry's network link in bits per second, in each
	// direction. If it is 0, frames take only the latency.
	LinkRate int64 `yaml:"link-rate"`
	// FollowRetryAfter makes rejected callers retry after the time in their answer.
	FollowRetryAfter bool    `yaml:"follow"`
	Kinds            []Kind  `yaml:"kinds"`
	Faults           []Fault `yaml:"faults"`
}

// Kind is a kind of job.
type Kind struct {
	Name             string        `yaml:"name"`
	Weight           float64       `yaml:"weight"` // Weight is the relative share of this kind among all jobs.
	Tasks            float64       `yaml:"tasks"`  // Tasks is the mean number of tasks.
	RunTime          time.Duration `yaml:"run-time"`
	MilliCPU         int64         `yaml:"milli-cpu"`
	Value            float64       `yaml:"worth"`
	Priority         int           `yaml:"priority"`
	LatencyAllowance time.Duration `yaml:"allowance"`
	CallerTimeout    time.Duration `yaml:"patience"`
	// TimeoutFactor is the least number of objectives that a caller waits, if that is longer than
	// CallerTimeout.
	TimeoutFactor float64 `yaml:"patience-factor"`
}

// FaultKind names a kind of fault.
type FaultKind string

// The kinds of faults.
const (
	FaultBurst          FaultKind = "burst"        // The arrival rate of one kind of job, or of all, is multiplied by Factor.
	FaultHang           FaultKind = "hang"         // Tasks that start at some upstreams never end by themselves.
	FaultFail           FaultKind = "fail"         // The share Factor of the tasks at some upstreams fails.
	FaultSlow           FaultKind = "slow"         // Tasks at some upstreams run Factor times as long.
	FaultCrash          FaultKind = "crash"        // Some upstreams crash and restart.
	FaultFlap           FaultKind = "flap"         // Some upstreams are unreachable for Delay, reachable for Delay, and so on.
	FaultRack           FaultKind = "rack"         // All upstreams of a rack crash and restart.
	FaultLateCalls      FaultKind = "late"         // The share Factor of the calls to upstreams takes effect late and gets no answer.
	FaultCallersLeave   FaultKind = "leave"        // The share Factor of the callers disconnects after Delay.
	FaultFailingJobs    FaultKind = "hopeless"     // The share Factor of the jobs always fails.
	FaultCrashingJobs   FaultKind = "deadly"       // The share Factor of the jobs has a task that crashes its upstream, which is down for Delay.
	FaultShrink         FaultKind = "shrink"       // The capacity of some upstreams is multiplied by Factor.
	FaultRollingRestart FaultKind = "release"      // Some upstreams leave and restart, one after the other.
	FaultFreezeEntry    FaultKind = "freeze-entry" // Some entries stop running and later continue.
	FaultKillEntry      FaultKind = "kill-entry"   // Some entries are killed and restart.
	FaultKillAgent      FaultKind = "kill-agent"   // Some agents are killed and restart.
	FaultFreezeAgent    FaultKind = "freeze-agent" // Some agents stop running and later continue.
	FaultPartitionAgent FaultKind = "cut"          // Existing connections of some agents lose all frames but stay open.
	FaultPartitionEntry FaultKind = "cut-entry"    // Some entries lose all frames, and agents cannot connect to them.
	FaultLateStarts     FaultKind = "late-starts"  // The share Factor of the starts takes effect late and gets no answer.
	FaultHotKey         FaultKind = "hot-key"      // The share Factor of the jobs of a kind prefers the rack that has the data of one key.
	FaultRemove         FaultKind = "remove"       // Some upstreams leave with a notice of Delay, and do not return.
	FaultEvacuate       FaultKind = "evacuate"     // A data centre is evacuated. Its upstreams are cold for Delay afterwards: tasks run Factor times as long.
)

// Fault is one fault that is injected at a time and lasts for a duration.
type Fault struct {
	Kind     FaultKind     `yaml:"kind"`
	At       time.Duration `yaml:"at"`
	Duration time.Duration `yaml:"for"`
	Count    int           `yaml:"count"`
	// Skip is the number of upstreams that are passed over before the first affected one, so that
	// simultaneous faults affect different upstreams. Stride is the distance between two affected
	// upstreams; 0 is 3, which affects upstreams of one data centre and size only.
	Skip    int           `yaml:"skip"`
	Stride  int           `yaml:"stride"`
	Factor  float64       `yaml:"factor"`
	Delay   time.Duration `yaml:"delay"`
	JobKind string        `yaml:"of"` // JobKind limits the fault to one kind of job; empty is all kinds.
	// After is how long a task of a FaultCrashingJobs runs before it crashes its upstream.
	After time.Duration `yaml:"after"`
	// DataCentre is the index of the data centre of FaultEvacuate.
	DataCentre int `yaml:"data-centre"`
	// Silent makes the upstreams of FaultCrashingJobs leave calls unanswered while they are
	// down. Otherwise their connections break at once.
	Silent bool `yaml:"silent"`
}

// ParsePattern reads a pattern in YAML. It returns an error that names the line of
// the first mistake.
func ParsePattern(text []byte) (Pattern, error) {
	var p Pattern
	err := yaml.UnmarshalWithOptions(text, &p, yaml.Strict())
	if len(p.EntriesByDataCentre) > 0 {
		p.Entries = 0
	}
	for _, n := range p.EntriesByDataCentre {
		p.Entries += n
	}
	return p, err
}

// activeFaults returns the faults of a kind that are in effect now.
func (w *world) activeFaults(kind FaultKind, jobKind string) (found []Fault) {
	for _, f := range w.pattern.Faults {
		if f.Kind == kind && w.now >= f.At && w.now < f.At+f.Duration && (f.JobKind == "" || f.JobKind == jobKind) {
			found = append(found, f)
		}
	}
	return found
}

// startArrivals starts a Poisson process for each kind of job.
func (w *world) startArrivals() {
	var total float64
	for _, k := range w.pattern.Kinds {
		total += k.Weight
	}
	for _, k := range w.pattern.Kinds {
		w.scheduleArrival(k, w.pattern.Rate*k.Weight/total)
	}
}

func (w *world) scheduleArrival(k Kind, rate float64) {
	factor := 1.0
	for _, f := range w.activeFaults(FaultBurst, k.Name) {
		factor *= f.Factor
	}
	factor *= w.waveFactor()
	delay := time.Duration(w.arrivalRandom.ExpFloat64() / (rate * factor) * float64(time.Second))
	w.after(delay, func() {
		if w.now >= w.pattern.Duration {
			return
		}
		w.arrive(k)
		w.scheduleArrival(k, rate)
	})
}

// drawLogNormal draws a number from a log-normal distribution with the given mean,
// limited to maxFactor times the mean.
func drawLogNormal(r *rand.Rand, mean, sigma, maxFactor float64) float64 {
	return min(maxFactor*mean, mean*math.Exp(sigma*r.NormFloat64()-sigma*sigma/2))
}

// upstream returns the index of the upstream that a fault affects as number i, of the given
// number of upstreams.
func (f *Fault) upstream(i, upstreams int) int {
	return ((i+f.Skip)*cmp.Or(f.Stride, 3) + 1) % upstreams
}

// upstreams returns how many of all upstreams a fault affects.
func (f *Fault) upstreams(all int) int {
	if f.Kind == FaultLateCalls || f.Kind == FaultLateStarts {
		return all
	}
	return min(max(1, f.Count), all)
}

// injectFault starts a fault and schedules its end.
func (w *world) injectFault(f Fault) {
	count := max(1, f.Count)
	afterFault := func(end func()) { w.after(f.Duration, end) }
	switch f.Kind {
	case FaultHang, FaultFail, FaultSlow, FaultCrash, FaultRollingRestart, FaultLateCalls, FaultLateStarts, FaultFlap, FaultShrink, FaultRemove:
		for i := range f.upstreams(len(w.agents)) {
			w.injectUpstreamFault(f, w.agents[f.upstream(i, len(w.agents))].upstream, i)
		}
	case FaultRack:
		for _, a := range w.agents[:min(3, len(w.agents))] {
			w.injectUpstreamFault(Fault{Kind: FaultCrash, Duration: f.Duration}, a.upstream, 0)
		}
	case FaultFreezeEntry:
		for _, e := range w.entries[:min(count, len(w.entries))] {
			e.frozen = true
			afterFault(e.unfreeze)
		}
	case FaultPartitionEntry:
		for _, e := range w.entries[:min(count, len(w.entries))] {
			e.partitioned = true
			for _, l := range e.agents {
				l.partitioned = true
			}
			afterFault(func() { e.partitioned = false })
		}
	case FaultKillEntry:
		for _, e := range w.entries[:min(count, len(w.entries))] {
			e.kill()
			afterFault(e.startProcess)
		}
	case FaultEvacuate:
		w.evacuate(f)
	case FaultKillAgent, FaultFreezeAgent, FaultPartitionAgent:
		for _, a := range w.agents[:min(count, len(w.agents))] {
			w.injectAgentFault(f, a)
		}
	}
}

func (w *world) injectAgentFault(f Fault, a *agent) {
	switch f.Kind {
	case FaultKillAgent:
		a.kill()
		w.after(f.Duration, a.startProcess)
	case FaultFreezeAgent:
		a.frozen = true
		w.after(f.Duration, a.unfreeze)
	case FaultPartitionAgent:
		for _, l := range a.links {
			l.partitioned = true
		}
	}
}

// flap makes the upstream unreachable in turns.
func (u *upstream) flap(f Fault) {
	for at := time.Duration(0); at < f.Duration; at += 2 * f.Delay {
		u.world.after(at, func() { u.unreachable = true })
		u.world.after(at+f.Delay, func() { u.unreachable = false })
	}
}

func (w *world) injectUpstreamFault(f Fault, u *upstream, index int) {
	switch f.Kind {
	case FaultHang:
		u.hanging = true
		w.after(f.Duration, func() { u.hanging = false })
	case FaultFail:
		u.failRatio = f.Factor
		w.after(f.Duration, func() { u.failRatio = 0 })
	case FaultSlow:
		u.slowdown = f.Factor
		w.after(f.Duration, func() { u.slowdown = 1 })
	case FaultLateCalls:
		u.lateRatio = f.Factor
		w.after(f.Duration, func() { u.lateRatio = 0 })
	case FaultLateStarts:
		u.lateStartRatio = f.Factor
		w.after(f.Duration, func() { u.lateStartRatio = 0 })
	case FaultRemove:
		u.leaving = true
		u.announce()
		w.after(f.Delay, func() {
			u.crash()
			u.silent = true
		})
	case FaultFlap:
		u.flap(f)
	case FaultCrash:
		u.crash()
		w.after(f.Duration, func() { u.down = false })
	case FaultShrink:
		full := u.capacity
		u.capacity = full.Scale(f.Factor)
		w.after(f.Duration, func() { u.capacity = full })
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
