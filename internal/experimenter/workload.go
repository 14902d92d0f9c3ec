package experimenter

import (
	"math"
	"math/rand/v2"
	"time"

	"sardinelock.dev/sardinelock/internal/identifier"
)

// Task is one task with its actual and its declared run time.
type Task struct {
	RunTime  time.Duration
	Declared time.Duration
}

// Job is a job that arrives at a time.
type Job struct {
	ID       identifier.Submission
	At       time.Duration
	Entry    int // Entry is the number of the entry that owns the job's partition.
	Team     int
	Tasks    []Task
	CancelAt time.Duration // CancelAt is zero unless the caller cancels.
}

// Workload holds the jobs of a scenario in order of arrival.
type Workload struct {
	Jobs []Job
}

// NewWorkload draws the jobs of a scenario from its seed.
func NewWorkload(sc *Scenario) *Workload {
	w := &Workload{}
	random := rand.New(rand.NewPCG(sc.Seed, 1))
	meanWork := meanWork(sc)
	capacity := float64(sc.Agents * sc.Slots)
	rate := sc.Load * capacity / meanWork
	for at := time.Duration(0); ; {
		currentRate := rate
		if sc.Burst > 0 && at >= sc.BurstAt && at < sc.BurstAt+sc.BurstDuration {
			currentRate *= sc.Burst
		}
		at += seconds(random.ExpFloat64() / currentRate)
		if at >= sc.Duration {
			break
		}
		w.Jobs = append(w.Jobs, newJob(sc, random, at, random.IntN(max(1, sc.Teams))))
	}
	if sc.Overload > 0 {
		w.addOverload(sc, meanWork)
	}
	w.drawCancellations(sc, random)
	return w
}

// addOverload adds the jobs of team 0, and assigns all others to the other teams.
func (w *Workload) addOverload(sc *Scenario, meanWork float64) {
	random := rand.New(rand.NewPCG(sc.Seed, 2))
	rate := sc.Overload * float64(sc.Agents*sc.Slots) / meanWork
	var added []Job
	for at := sc.BurstAt; ; {
		at += seconds(random.ExpFloat64() / rate)
		if at >= sc.Duration || sc.BurstDuration > 0 && at >= sc.BurstAt+sc.BurstDuration {
			break
		}
		added = append(added, newJob(sc, random, at, 0))
	}
	for i := range w.Jobs {
		w.Jobs[i].Team = 1 + w.Jobs[i].Team%max(1, sc.Teams-1)
	}
	w.Jobs = mergeJobs(w.Jobs, added)
}

func mergeJobs(a, b []Job) []Job {
	out := make([]Job, 0, len(a)+len(b))
	for len(a) > 0 || len(b) > 0 {
		if len(b) == 0 || len(a) > 0 && a[0].At <= b[0].At {
			out = append(out, a[0])
			a = a[1:]
			continue
		}
		out = append(out, b[0])
		b = b[1:]
	}
	return out
}

// drawCancellations draws the jobs that the cancellation waves cancel. Only jobs that
// arrived at most maxAge before a wave are considered open.
func (w *Workload) drawCancellations(sc *Scenario, random *rand.Rand) {
	const maxAge = 10 * time.Second
	for _, f := range sc.Faults {
		if f.Kind != FaultCancelWave {
			continue
		}
		for i := range w.Jobs {
			j := &w.Jobs[i]
			if j.At < f.At && j.At > f.At-maxAge && random.Float64() < f.Factor {
				j.CancelAt = f.At
			}
		}
	}
}

func newJob(sc *Scenario, random *rand.Rand, at time.Duration, team int) Job {
	j := Job{At: at, Team: team}
	for i := range j.ID {
		j.ID[i] = byte(random.Uint32())
	}
	j.Entry = int(j.ID.Partition()) % sc.Entries
	j.Tasks = make([]Task, drawTaskCount(sc.Sizes, random))
	for i := range j.Tasks {
		j.Tasks[i].RunTime = drawRunTime(random)
		j.Tasks[i].Declared = drawDeclared(sc, random, j.Tasks[i].RunTime)
	}
	return j
}

// drawRunTime draws an actual run time: mostly 50 ms to 1 s, one in a hundred 2 to 5 s.
func drawRunTime(random *rand.Rand) time.Duration {
	if random.IntN(100) == 0 {
		return seconds(2 + 3*random.Float64())
	}
	s := 0.25 * math.Exp(0.7*random.NormFloat64())
	return seconds(min(max(s, 0.05), 1))
}

func drawDeclared(sc *Scenario, random *rand.Rand, runTime time.Duration) time.Duration {
	factor := math.Exp(sc.DeclaredError * random.NormFloat64())
	if sc.DeclaredFactor > 0 {
		if random.IntN(2) == 0 {
			factor *= sc.DeclaredFactor
		} else {
			factor /= sc.DeclaredFactor
		}
	}
	return seconds(runTime.Seconds() * factor)
}

func drawTaskCount(kind SizeKind, random *rand.Rand) int {
	switch kind {
	case SizeOne:
		return 1
	case SizeMixed:
		if random.IntN(581) == 0 {
			return 580
		}
		return 1
	}
	switch u := random.IntN(100); {
	case u < 40:
		return 1
	case u < 70:
		return 2 + random.IntN(4)
	case u < 95:
		return 6 + random.IntN(15)
	}
	return 21 + random.IntN(40)
}

// meanWork returns the mean total run time of a job's tasks in seconds. It draws a separate
// sample with a fixed seed.
func meanWork(sc *Scenario) float64 {
	const draws = 200_000
	random := rand.New(rand.NewPCG(7, 7))
	tasks := 0
	for range draws {
		tasks += drawTaskCount(sc.Sizes, random)
	}
	var sum time.Duration
	for range draws {
		sum += drawRunTime(random)
	}
	return float64(tasks) / draws * sum.Seconds() / draws
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
