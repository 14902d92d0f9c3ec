package assigner

import (
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
)

// queue holds the run time estimates of a kind of job.
type queue struct {
	// ratio is the mean ratio of actual to declared run time. A single ratio counts as maxRatio at
	// most, so that a far too short declaration has little weight.
	ratio float64
	// mean is the mean run time of tasks in seconds; 0 if none has ended yet.
	mean float64
	// service is that of the latest job.
	service string
	// resultAt is when a task last ended, and checkedAt when a job was last admitted to check
	// the estimate; 0 if there was none.
	resultAt, checkedAt time.Duration
	// demand is the recent work of submitted jobs, in core-seconds, decayed at demandAt.
	demand    float64
	demandAt  time.Duration
	hazardous bool // whether the queue was hazardous at the latest pass
}

// learnWeight is the weight of one task in the moving averages: some twenty tasks make up
// most of an average.
const learnWeight = 0.05

// maxRatio is the largest ratio of actual to declared run time that is learned.
const maxRatio = 4

func (a *Assigner) queue(name string) *queue {
	q := a.queues[name]
	if q == nil {
		q = &queue{ratio: 1}
		a.queues[name] = q
	}
	return q
}

// expect returns the expected run time of a task from its declared one. Declared run
// times are inaccurate, so the mean of the queue has the same weight.
func (q *queue) expect(declared time.Duration) time.Duration {
	byRatio := time.Duration(float64(declared) * q.ratio)
	if q.mean == 0 {
		return byRatio
	}
	byMean := time.Duration(q.mean * float64(time.Second))
	if declared == 0 {
		return byMean
	}
	return (byRatio + byMean) / 2
}

// learn updates the estimates with the run time of a completed task.
func (q *queue) learn(now, declared, took time.Duration) {
	q.resultAt = now
	if q.mean == 0 {
		q.mean = took.Seconds()
	}
	q.mean += learnWeight * (took.Seconds() - q.mean)
	if declared > 0 {
		q.ratio += learnWeight * (min(float64(took)/float64(declared), maxRatio) - q.ratio)
	}
}

const (
	// estimateCheckInterval is the shortest time between two jobs of a queue that are admitted to
	// check its estimate.
	estimateCheckInterval = time.Second
	// doubtfulFactor is the ratio of estimate to declaration from which an estimate is checked
	// although tasks of the queue have ended recently.
	doubtfulFactor = 2
)

// checkEstimate takes the declared run times of a job that would be rejected, if the estimate of its
// queue alone makes it too late and may be wrong: no task of the queue has ended recently, or the
// estimate is far from the declaration. A rejected job has no results from which the estimate could
// become right again.
func (a *Assigner) checkEstimate(now time.Duration, j *job, wait time.Duration) {
	q := a.queue(j.Queue)
	declared := j.longestChain(func(d time.Duration) time.Duration { return d })
	isConfirmed := q.resultAt > 0 && now-q.resultAt < estimateCheckInterval && j.expected < doubtfulFactor*declared
	isChecked := q.checkedAt > 0 && now-q.checkedAt < estimateCheckInterval
	if isConfirmed || isChecked || declared >= j.expected || now+wait+declared > j.deadline {
		return
	}
	q.checkedAt = now
	a.logDecision(Decision{Event: "estimate-checked", Task: messenger.TaskRef{Job: j.ID}, Reason: j.Queue, Wait: j.expected, Age: declared, JobAge: now - j.arrived})
	j.estimate(func(d time.Duration) time.Duration { return d })
}
