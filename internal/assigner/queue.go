package assigner

import "time"

// queue holds the run time estimates of a kind of job.
type queue struct {
	// ratio is the mean ratio of actual to declared run time. A single ratio counts as maxRatio at
	// most and minRatio at least, so that a declaration that is far off has little weight.
	ratio float64
	// mean is the mean run time of tasks in seconds; 0 if none has ended yet.
	mean float64
	// service is that of the latest job.
	service string
	// priority is that of the latest job; 0 comes first.
	priority int
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

// minRatio and maxRatio are the least and the largest ratio of actual to declared run time that are
// learned.
const (
	minRatio = 0.25
	maxRatio = 4
)

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
		q.ratio += learnWeight * (max(minRatio, min(float64(took)/float64(declared), maxRatio)) - q.ratio)
	}
}
