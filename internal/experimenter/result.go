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
	JobOpen      JobOutcome = "open" // The job had not ended by the end of the experiment.
)

// JobResult is the result of one job.
type JobResult struct {
	Outcome  JobOutcome
	Response time.Duration // Response is set if the job is complete.
}

// Result is the result of one system for a workload.
type Result struct {
	Jobs     []JobResult // Jobs has one element per job of the workload.
	Messages int         // Messages counts the messages between entries and agents.
	// UsefulMessages counts the messages that carry the first starts or the last
	// results of a job at an agent.
	UsefulMessages int
	Starts         int // Starts counts the tasks that started.
	// MaxOvercommit is the largest number of tasks that an upstream ran beyond its slots.
	MaxOvercommit int
	// RunTime is the total run time of tasks in all slots.
	RunTime time.Duration
	// WastedRunTime is the part of RunTime that was spent on jobs that did not complete.
	WastedRunTime time.Duration
}

// Summary holds the statistics of a result.
type Summary struct {
	Mean, P50, P99     time.Duration // Response times of the complete jobs.
	MessagesPerTask    float64
	WastedMessageRatio float64 // WastedMessageRatio is the number of other messages per useful message.
	Complete           int
	Failed             float64 // Failed is the share of jobs that failed or stayed open.
	Refused            float64
	// Goodput is the mean number of slots that ran jobs that completed before the
	// arrivals ended.
	Goodput float64
}

// Summarize computes the statistics of the jobs that the filter includes.
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

// jobAgent identifies a job at an agent.
type jobAgent struct {
	job   int
	agent int
}

// messageCounter counts messages and finds the useful ones among them.
type messageCounter struct {
	total       int
	firstStarts map[jobAgent]int
	lastResults map[jobAgent]int
}

func newMessageCounter() *messageCounter {
	return &messageCounter{firstStarts: make(map[jobAgent]int), lastResults: make(map[jobAgent]int)}
}

// count counts a message and returns its number.
func (t *messageCounter) count() int {
	t.total++
	return t.total
}

func (t *messageCounter) recordStart(p jobAgent, message int) {
	if _, ok := t.firstStarts[p]; !ok {
		t.firstStarts[p] = message
	}
}

func (t *messageCounter) recordResult(p jobAgent, message int) { t.lastResults[p] = message }

// useful returns the number of messages that every system has to send.
func (t *messageCounter) useful() int {
	set := make(map[int]bool)
	for _, m := range t.firstStarts {
		set[m] = true
	}
	for _, m := range t.lastResults {
		set[m] = true
	}
	return len(set)
}
