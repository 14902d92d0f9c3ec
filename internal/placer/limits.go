package placer

import (
	"time"

	"sardinelock.dev/sardinelock/internal/budgeter"
)

// Limits are the settings of a placer. A field that is zero takes the value of
// [DefaultLimits].
type Limits struct {
	// MaxQueued bounds the tasks that wait in all queues.
	MaxQueued int
	// Ageing is how much one second of waiting counts against one second of
	// remaining work when jobs of a team are ordered. Zero work order is first
	// come, first served.
	Ageing float64
	// Quantum is the slot time by which one team may be ahead of another before
	// its jobs yield.
	Quantum time.Duration
	// DeadlineRatio is the share, from 0 to 1, of what the longest task leaves of a
	// job's deadline that the expected wait may take when the job is admitted.
	DeadlineRatio float64
	// MinSamples is how many results of a service replace declared values.
	MinSamples int
	// FailureStreak is how many failures in a row eject an agent.
	FailureStreak int
	// FailureRatio ejects an agent once so large a share of its recent results
	// are failures.
	FailureRatio float64
	// SlowFactor ejects an agent whose tasks take so many times longer than the
	// same service's tasks elsewhere.
	SlowFactor float64
	// ProbeAfter is how long an agent is ejected before the first probe; each
	// probe that fails doubles it up to MaxProbeAfter.
	ProbeAfter    time.Duration
	MaxProbeAfter time.Duration
	// MaxEjectedRatio bounds the share of the serving agents that are ejected.
	MaxEjectedRatio float64
	// SlowStart is how many tasks a new agent may have outstanding. The number
	// doubles with as many successes.
	SlowStart int
	// Replacements bounds the tasks that are placed again.
	RescheduleBudget budgeter.Limits
	Tuning
}

// Tuning has the settings that were weighed by measurement and that no
// configuration changes.
type Tuning struct {
	// MaxDebt bounds the slot time by which one team is held to be ahead of another.
	MaxDebt time.Duration
	// LargeWork is the expected run time on all slots from which a job is large. It
	// leaves Reserve credits at each agent to other jobs.
	LargeWork time.Duration
	Reserve   int
	// DebtReserve is the credit at each agent that a team leaves to others while it
	// is ahead of them by a quantum.
	DebtReserve int
	// FloodWork is the time that a team's waiting work takes on all credits from which
	// the team floods. An agent then orders its starts as if their jobs had FloodDelay
	// more work on all slots.
	OverloadWork  time.Duration
	OverloadDelay time.Duration
	// Batch is how many tasks of a large job an agent must be able to take before a
	// message is sent for them alone.
	Batch int
	// Deep is how many tasks of deep jobs, those with at least as many tasks as the
	// entry has credits, may wait at an agent for each of its slots, beyond its
	// credit. DeepBatch is how many it must be able to take before a message is sent
	// for them alone.
	BulkPerSlot int
	BulkBatch   int
	// DeepFor is the time for which deep tasks may wait at an agent in any case. It
	// covers a few messages there and back.
	BulkWait time.Duration
	// DeepRunTime is the mean run time of a job's tasks above which it is not deep. It keeps what waits at an agent well within the budget of a start.
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

// withDefaults returns the limits with the defaults for what is unset.
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
