package assigner

import "time"

// queue is what is learned of a kind of job.
type queue struct {
	// ratio is the run time of tasks by the declared one.
	ratio float64
	// mean is the run time of tasks, in seconds; 0 if none has ended yet.
	mean float64
}

// learnWeight is the weight of one task in what is learned: some twenty tasks make
// most of it.
const learnWeight = 0.05

func (a *Assigner) queue(name string) *queue {
	q := a.queues[name]
	if q == nil {
		q = &queue{ratio: 1}
		a.queues[name] = q
	}
	return q
}

// expect returns how long a task runs that was declared to take a time. Declared
// times are off, so the mean of the queue counts as much.
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

// learn takes the run time of a task at an upstream of a pace.
func (q *queue) learn(declared, took time.Duration) {
	if q.mean == 0 {
		q.mean = took.Seconds()
	}
	q.mean += learnWeight * (took.Seconds() - q.mean)
	if declared > 0 {
		q.ratio += learnWeight * (float64(took)/float64(declared) - q.ratio)
	}
}
