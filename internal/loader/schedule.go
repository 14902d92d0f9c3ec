package loader

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"sardinelock.dev/sardinelock/pkg/submitter"
)

// Arrival times and jobs are drawn from separate random streams, so that changing the
// arrival process does not change the jobs.
const (
	arrivalStream = 3
	jobStream     = 4
)

// plannedJob is a job of the schedule.
type plannedJob struct {
	arrival    time.Duration // since the start of the run
	service    string
	team       string
	firstEntry int             // index modulo the number of entries
	runTimes   []time.Duration // actual run times of the tasks
	declared   []time.Duration
	class      *JobClass
	requestKey string // empty if the job has none
	// duplicateDelay and cancelDelay are the times from the arrival to the resubmission
	// and to the cancellation of the job; zero if there is none.
	duplicateDelay time.Duration
	cancelDelay    time.Duration
}

// schedule draws all jobs of an experiment. It is deterministic: equal experiments
// give equal jobs.
func schedule(x *Experiment) ([]plannedJob, error) {
	times := drawArrivals(x, rand.New(rand.NewPCG(x.Seed, arrivalStream)))
	random := rand.New(rand.NewPCG(x.Seed, jobStream))
	out := make([]plannedJob, 0, len(times))
	tasks := 0
	for i, at := range times {
		p := drawJob(x, random)
		p.arrival = at
		if p.class.RequestKey {
			p.requestKey = fmt.Sprintf("%s-%d-%d", x.Name, x.Seed, i)
		}
		tasks += len(p.runTimes)
		if tasks > maxTasks {
			return nil, &Error{Op: "schedule", Kind: KindExperiment, Err: errors.Errorf("more than %d tasks", maxTasks)}
		}
		out = append(out, p)
	}
	return out, nil
}

func drawArrivals(x *Experiment, random *rand.Rand) []time.Duration {
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

// drawJob draws one job. The number of random values that it takes depends only on
// the job drawn.
func drawJob(x *Experiment, random *rand.Rand) plannedJob {
	m := drawClass(x.Jobs, random)
	p := plannedJob{service: m.Service, class: m, firstEntry: int(random.Uint32() >> 1)}
	if len(x.Teams) > 0 {
		p.team = x.Teams[random.IntN(len(x.Teams))]
	}
	n := m.Tasks.Min + random.IntN(m.Tasks.Max-m.Tasks.Min+1)
	for range n {
		runTime := m.RunTime.Min + time.Duration(random.Float64()*float64(m.RunTime.Max-m.RunTime.Min))
		factor := m.DeclaredFactor.Min + random.Float64()*(m.DeclaredFactor.Max-m.DeclaredFactor.Min)
		p.runTimes = append(p.runTimes, runTime)
		p.declared = append(p.declared, time.Duration(float64(runTime)*factor))
	}
	if random.Float64() < x.DuplicateRatio {
		p.duplicateDelay = x.DuplicateAfter
	}
	if random.Float64() < x.CancelRatio {
		p.cancelDelay = x.CancelAfter
	}
	return p
}

func drawClass(mixes []JobClass, random *rand.Rand) *JobClass {
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

// submission returns the body of the request that submits the job.
func (p *plannedJob) submission() submitter.Job {
	j := submitter.Job{
		Deadline:   submitter.Duration(p.class.Deadline),
		RequestKey: p.requestKey,
		Tasks:      make([]submitter.Task, len(p.runTimes)),
	}
	for i := range j.Tasks {
		j.Tasks[i] = submitter.Task{
			Payload:     json.RawMessage(`{"run-time":"` + p.runTimes[i].String() + `"}`),
			RunTime:     submitter.Duration(p.declared[i]),
			MemoryBytes: p.class.MemoryBytes,
			Repeatable:  p.class.Repeatable,
		}
	}
	return j
}
