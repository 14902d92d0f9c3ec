package broker

import (
	"sync/atomic"

	"sardinelock.dev/sardinelock/internal/assigner"
)

// gauge counts answers for the metrics.
type gauge struct {
	completed, failed, rejected, other atomic.Uint64
}

func newGauge() *gauge { return &gauge{} }

func (g *gauge) answered(a assigner.Answer) {
	switch a.Outcome {
	case assigner.OutcomeCompleted:
		g.completed.Add(1)
	case assigner.OutcomeFailed:
		g.failed.Add(1)
	case assigner.OutcomeRejected:
		g.rejected.Add(1)
	default:
		g.other.Add(1)
	}
}
