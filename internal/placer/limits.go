package placer

import (
	"time"

	"sardinelock.dev/sardinelock/internal/budgeter"
)

// Limits are the settings of a placer. A field that is zero takes the value of
// [DefaultLimits].
type Limits struct {
	// MaxQueued bounds the total number of queued tasks.
	MaxQueued int
	// Ageing is the weight of one second of waiting relative to one second of
	// remaining work when jobs of a team are ordered. Between jobs of equal remaining
	// work, the one that arrived first goes first.
	Ageing float64
	// Quantum is the slot time by which one team may be ahead of another before
	// its jobs yield to the other's.
	Quantum time.Duration
	// DeadlineRatio bounds the expected wait of an admitted job, as a share from 0 to 1
	// of the time that remains until its deadline after the run time of its longest task.
	DeadlineRatio float64
	// MinSamples is the number of results of a service from which estimates replace
	// declared values.
	MinSamples int
	// FailureStreak is the number of consecutive failures that ejects an agent.
	FailureStreak int
	// FailureRatio is the share of failures among an agent's recent results that ejects
	// the agent.
	FailureRatio float64
	// SlowFactor is the ratio of an agent's run times to the service's usual run time
	// that ejects the agent.
	SlowFactor float64
	// ProbeAfter is the time from an ejection to the first probe. Each failed probe
	// doubles it, up to MaxProbeAfter.
	ProbeAfter    time.Duration
	MaxProbeAfter time.Duration
	// MaxEjectedRatio bounds the share of the serving agents that are ejected.
	MaxEjectedRatio float64
	// SlowStart is the number of tasks that a new agent may have outstanding. The limit
	// doubles after as many successes as it allows tasks.
	SlowStart int
	// RescheduleBudget is the retry budget for tasks that are rescheduled.
	RescheduleBudget budgeter.Limits
	Tuning
}

// Tuning holds the settings that a configuration cannot change.
type Tuning struct {
	// MaxDebt bounds the slot time by which one team is counted as ahead of another.
	MaxDebt time.Duration
	// LargeWork is the expected run time on all slots above which a job is large. A
	// large job leaves Reserve credits at each agent to other jobs.
	LargeWork time.Duration
	Reserve   int
	// DebtReserve is the credit at each agent that a team leaves to others while it
	// is ahead of them by more than a quantum.
	DebtReserve int
	// OverloadWork is the expected time of a team's waiting work on all credits above
	// which the team overloads the service. An agent then ranks the team's starts as if
	// their jobs had OverloadDelay more work on all slots.
	OverloadWork  time.Duration
	OverloadDelay time.Duration
	// Batch is the number of tasks of a large job that an agent must be able to take
	// before a message is sent only for them.
	Batch int
	// BulkPerSlot is the number of tasks of bulk jobs, which have at least as many tasks
	// as the entry has credits, that may wait at an agent beyond its credit for each of
	// its slots. BulkBatch is the number that the agent must be able to take before a
	// message is sent only for them.
	BulkPerSlot int
	BulkBatch   int
	// BulkWait is the time for which tasks of bulk jobs may wait at an agent even if
	// BulkPerSlot allows fewer. It covers a few round trips.
	BulkWait time.Duration
	// MaxBulkRunTime is the mean run time of a job's tasks above which it is not a bulk
	// job. It keeps the tasks that wait at an agent well within the time allowed for a start.
	MaxBulkRunTime time.Duration
}

// DefaultLimits returns the settings that suit most deployments.
func DefaultLimits() Limits {
	return Limits{
		MaxQueued:        50_000,
		Ageing:           0.25,
		Quantum:          4 * time.Second,
		DeadlineRatio:    0.6,
		MinSamples:       20,
		FailureStreak:    3,
		FailureRatio:     0.5,
		SlowFactor:       4,
		ProbeAfter:       10 * time.Second,
		MaxProbeAfter:    2 * time.Minute,
		MaxEjectedRatio:  0.34,
		SlowStart:        4,
		RescheduleBudget: budgeter.Limits{Ratio: 0.1, Burst: 100, Backoff: 20 * time.Millisecond, MaxBackoff: time.Second},
		Tuning: Tuning{
			MaxDebt:        32 * time.Second,
			LargeWork:      time.Second,
			Reserve:        2,
			DebtReserve:    3,
			Batch:          4,
			OverloadWork:   2 * time.Second,
			OverloadDelay:  500 * time.Millisecond,
			BulkPerSlot:    1,
			BulkBatch:      8,
			BulkWait:       5 * time.Millisecond,
			MaxBulkRunTime: 750 * time.Millisecond,
		},
	}
}

// withDefaults returns the limits with unset fields replaced by their defaults.
func (l Limits) withDefaults() Limits {
	d := DefaultLimits()
	setDefault(&l.MaxQueued, d.MaxQueued)
	setDefault(&l.Ageing, d.Ageing)
	setDefault(&l.Quantum, d.Quantum)
	setDefault(&l.MaxDebt, d.MaxDebt)
	setDefault(&l.LargeWork, d.LargeWork)
	setDefault(&l.Reserve, d.Reserve)
	setDefault(&l.DebtReserve, d.DebtReserve)
	setDefault(&l.Batch, d.Batch)
	setDefault(&l.OverloadWork, d.OverloadWork)
	setDefault(&l.OverloadDelay, d.OverloadDelay)
	setDefault(&l.BulkPerSlot, d.BulkPerSlot)
	setDefault(&l.BulkBatch, d.BulkBatch)
	setDefault(&l.BulkWait, d.BulkWait)
	setDefault(&l.MaxBulkRunTime, d.MaxBulkRunTime)
	setDefault(&l.DeadlineRatio, d.DeadlineRatio)
	setDefault(&l.MinSamples, d.MinSamples)
	setDefault(&l.FailureStreak, d.FailureStreak)
	setDefault(&l.FailureRatio, d.FailureRatio)
	setDefault(&l.SlowFactor, d.SlowFactor)
	setDefault(&l.ProbeAfter, d.ProbeAfter)
	setDefault(&l.MaxProbeAfter, d.MaxProbeAfter)
	setDefault(&l.MaxEjectedRatio, d.MaxEjectedRatio)
	setDefault(&l.SlowStart, d.SlowStart)
	setDefault(&l.RescheduleBudget, d.RescheduleBudget)
	return l
}

func setDefault[T comparable](field *T, value T) {
	var unset T
	if *field == unset {
		*field = value
	}
}
