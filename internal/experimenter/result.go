package experimenter

import (
	"math"
	"slices"
	"time"
)

// JobOutcome says how a job ended in an experiment.
type JobOutcome string

// The outcomes of jobs.
const (
	JobComplete  JobOutcome = "complete"
	JobFailed    JobOutcome = "failed"
	JobRefused   JobOutcome = "refused"
	JobCancelled JobOutcome = "cancelled"
	JobOpen      JobOutcome = "open" // The job had not ended when the experiment did.
)

// JobResult is the end of one job.
type JobResult struct {
	Outcome  JobOutcome
	Response time.Duration // Response is set if the job is complete.
}

// Result is what one system made of a workload.
type Result struct {
	Jobs     []JobResult // Jobs has one entry a job of the workload.
	Messages int         // Messages counts those between entries and agents.
	// Useful counts the messages that carry the first start batch or the last
	// result batch of some job at some agent.
	UsefulMessages int
	Starts         int // Starts counts the tasks that started.
	// Overcommit is by how many tasks an upstream ran more than it has slots, at most.
	MaxOvercommit int
	// RunTime is the time that tasks ran, in all slots together.
	RunTime time.Duration
	// Useless is the part of RunTime that went into jobs that did not end complete.
	WastedRunTime time.Duration
}

// Summary has the figures of a result.
type Summary struct {
	Mean, P50, P99     time.Duration // Mean, P50 and P99 are of the complete jobs' response times.
	MessagesPerTask    float64
	WastedMessageRatio float64 // Wasted is the number of useless messages by that of useful ones.
	Complete           int
	Failed             float64 // Failed is the share of jobs that failed or stayed open.
	Refused            float64
	// Goodput is the run time of the jobs that were complete before the arrivals
	// ended, in slots.
	Goodput float64
}

// Summarize computes the figures over the jobs that the filter lets through.
func (r *Result) Summarize(w *Workload, duration time.Duration, include func(*Job) bool) Summary {
	var s Summary
	var times []time.Duration
	var sum, good time.Duration
	jobs := 0
	for i := range w.Jobs {
		if !include(&w.Jobs[i]) {
			continue
		}
		jobs++
		switch r.Jobs[i].Outcome {
		case JobComplete:
			times = append(times, r.Jobs[i].Response)
			sum += r.Jobs[i].Response
			if w.Jobs[i].At+r.Jobs[i].Response <= duration {
				good += w.Jobs[i].work()
			}
		case JobFailed, JobOpen:
			s.Failed++
		case JobRefused:
			s.Refused++
		}
	}
	slices.Sort(times)
	s.Complete = len(times)
	if len(times) > 0 {
		s.Mean = sum / time.Duration(len(times))
		s.P50 = quantile(times, 0.5)
		s.P99 = quantile(times, 0.99)
	}
	s.Failed /= math.Max(1, float64(jobs))
	s.Refused /= math.Max(1, float64(jobs))
	s.Goodput = good.Seconds() / duration.Seconds()
	s.MessagesPerTask = float64(r.Messages) / math.Max(1, float64(r.Starts))
	s.WastedMessageRatio = float64(r.Messages-r.UsefulMessages) / math.Max(1, float64(r.UsefulMessages))
	return s
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

func (j *Job) work() time.Duration {
	var sum time.Duration
	for i := range j.Tasks {
		sum += j.Tasks[i].RunTime
	}
	return sum
}

// pair is one job at one agent.
type pair struct {
	job   int
	agent int
}

// tally counts messages and which of them are useful.
type tally struct {
	messages    int
	firstStarts map[pair]int
	lastResults map[pair]int
}

func newTally() *tally {
	return &tally{firstStarts: make(map[pair]int), lastResults: make(map[pair]int)}
}

// message counts one message and returns its number.
func (t *tally) message() int {
	t.messages++
	return t.messages
}

func (t *tally) start(p pair, message int) {
	if _, ok := t.firstStarts[p]; !ok {
		t.firstStarts[p] = message
	}
}

func (t *tally) result(p pair, message int) { t.lastResults[p] = message }

// useful returns the number of messages that no system could do without.
func (t *tally) useful() int {
	set := make(map[int]bool)
	for _, m := range t.firstStarts {
		set[m] = true
	}
	for _, m := range t.lastResults {
		set[m] = true
	}
	return len(set)
}
