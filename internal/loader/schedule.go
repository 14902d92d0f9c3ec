package loader

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"sardinelock.dev/sardinelock/pkg/submitter"
)

// Arrival times are drawn from one stream and jobs from another, so that a change
// of the process leaves the jobs as they are.
const (
	arrivalStream = 3
	jobStream     = 4
)

// planned is one job of the schedule.
type planned struct {
	at       time.Duration // at counts from the begin of the run.
	service  string
	team     string
	entry    int             // entry is taken modulo the number of entries.
	runTimes []time.Duration // runTimes are the true run times.
	declared []time.Duration
	mix      *JobClass
	key      string // key is the request key; empty without one.
	// duplicate and cancel are the delays of a resubmission and of a cancellation;
	// zero means none.
	duplicate time.Duration
	cancel    time.Duration
}

// schedule draws all jobs of an experiment. The same experiment gives the same
// jobs.
func schedule(x *Experiment) ([]planned, error) {
	times := arrivals(x, rand.New(rand.NewPCG(x.Seed, arrivalStream)))
	random := rand.New(rand.NewPCG(x.Seed, jobStream))
	out := make([]planned, 0, len(times))
	tasks := 0
	for i, at := range times {
		p := draw(x, random)
		p.at = at
		if p.mix.RequestKey {
			p.key = fmt.Sprintf("%s-%d-%d", x.Name, x.Seed, i)
		}
		tasks += len(p.runTimes)
		if tasks > maxTasks {
			return nil, &Error{Op: "schedule", Kind: KindExperiment, Err: errors.Errorf("more than %d tasks", maxTasks)}
		}
		out = append(out, p)
	}
	return out, nil
}

func arrivals(x *Experiment, random *rand.Rand) []time.Duration {
	var out []time.Duration
	size := 1
	if x.Arrival.Process == ArrivalBurst {
		size = x.Arrival.BurstSize
	}
	distance := float64(time.Second) * float64(size) / x.Arrival.Rate
	at := time.Duration(0)
	for at < x.Duration && len(out) < maxJobs {
		for range size {
			out = append(out, at)
		}
		step := distance
		if x.Arrival.Process == ArrivalPoisson {
			step *= random.ExpFloat64()
		}
		at += max(1, time.Duration(step))
	}
	return out
}

// draw draws one job. The number of draws a job depends only on the job.
func draw(x *Experiment, random *rand.Rand) planned {
	m := drawMix(x.Jobs, random)
	p := planned{service: m.Service, mix: m, entry: int(random.Uint32() >> 1)}
	if len(x.Teams) > 0 {
		p.team = x.Teams[random.IntN(len(x.Teams))]
	}
	n := m.Tasks.Min + random.IntN(m.Tasks.Max-m.Tasks.Min+1)
	for range n {
		took := m.RunTime.Min + time.Duration(random.Float64()*float64(m.RunTime.Max-m.RunTime.Min))
		factor := m.DeclaredFactor.Min + random.Float64()*(m.DeclaredFactor.Max-m.DeclaredFactor.Min)
		p.runTimes = append(p.runTimes, took)
		p.declared = append(p.declared, time.Duration(float64(took)*factor))
	}
	if random.Float64() < x.DuplicateRatio {
		p.duplicate = x.DuplicateAfter
	}
	if random.Float64() < x.CancelRatio {
		p.cancel = x.CancelAfter
	}
	return p
}

func drawMix(mixes []JobClass, random *rand.Rand) *JobClass {
	sum := 0.0
	for i := range mixes {
		sum += mixes[i].Weight
	}
	at := random.Float64() * sum
	for i := range mixes {
		at -= mixes[i].Weight
		if at < 0 {
			return &mixes[i]
		}
	}
	return &mixes[len(mixes)-1]
}

// job returns the body of the submission.
func (p *planned) job() submitter.Job {
	j := submitter.Job{
		Deadline:   submitter.Duration(p.mix.Deadline),
		RequestKey: p.key,
		Tasks:      make([]submitter.Task, len(p.runTimes)),
	}
	for i := range j.Tasks {
		j.Tasks[i] = submitter.Task{
			Payload:     json.RawMessage(`{"run-time":"` + p.runTimes[i].String() + `"}`),
			RunTime:     submitter.Duration(p.declared[i]),
			MemoryBytes: p.mix.MemoryBytes,
			Repeatable:  p.mix.Repeatable,
		}
	}
	return j
}
