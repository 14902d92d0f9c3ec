package placer

import (
	"cmp"
	"slices"

	"sardinelock.dev/sardinelock/internal/messenger"
)

// Hold is an operator's order that keeps an upstream from getting new tasks. The empty
// hold allows them.
type Hold string

// The holds.
const (
	HoldDrained   Hold = "drained"   // The upstream completes its running tasks and gets no new ones.
	HoldEjected   Hold = "ejected"   // The upstream gets no new tasks, as if the placer had ejected it.
	HoldEvacuated Hold = "evacuated" // As drained, for every upstream of a data centre.
)

// UpstreamStatus is the status of one agent and its upstream.
type UpstreamStatus struct {
	Peer     messenger.Peer
	Location Location
	Capacity messenger.Capacity
	// Credit is the number of tasks that this entry may have outstanding at the agent,
	// and Outstanding the number that it has.
	Credit, Outstanding int
	Hold                Hold
	Health              HealthState
	// EjectReason is empty unless the placer itself has ejected the upstream.
	EjectReason EjectReason
	// FailureRatio is the recent share of failures, from 0 to 1.
	FailureRatio float64
}

// Ejections returns how often the placer has ejected an upstream.
func (p *Placer) Ejections() uint64 { return p.ejections }

// Upstreams returns the status of every connected agent, sorted by name.
func (p *Placer) Upstreams() []UpstreamStatus {
	out := make([]UpstreamStatus, 0, len(p.order))
	for _, a := range p.order {
		out = append(out, UpstreamStatus{
			Peer:         a.peer,
			Location:     a.place,
			Capacity:     a.capacity,
			Credit:       min(a.credit, a.health.maxOutstanding),
			Outstanding:  len(a.sent),
			Hold:         a.hold,
			Health:       a.health.state,
			EjectReason:  a.health.ejected(),
			FailureRatio: a.health.failures,
		})
	}
	slices.SortFunc(out, func(a, b UpstreamStatus) int { return cmp.Compare(a.Peer, b.Peer) })
	return out
}

// ejected returns the reason why the agent is ejected or being probed, or "".
func (h *health) ejected() EjectReason {
	if h.state == stateEjected || h.state == stateProbing {
		return h.reason
	}
	return ""
}
