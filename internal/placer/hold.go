package placer

import (
	"bytes"
	"cmp"
	"maps"
	"slices"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// Holds are the holds of operators that are in force. They also apply to agents that
// connect later.
type Holds struct {
	Upstreams   map[messenger.Peer]Hold
	DataCentres map[string]Hold
}

// of returns the hold of an agent. The hold of the agent itself takes precedence over
// the one of its data centre, since it remains when the data centre returns.
func (h *Holds) of(peer messenger.Peer, place Location) Hold {
	return cmp.Or(h.Upstreams[peer], h.DataCentres[place.DataCentre])
}

func (h *Holds) equal(o *Holds) bool {
	return maps.Equal(h.Upstreams, o.Upstreams) && maps.Equal(h.DataCentres, o.DataCentres)
}

// SetHolds replaces the holds of all agents, connected or not.
func (p *Placer) SetHolds(holds Holds) {
	if p.holds.equal(&holds) {
		return
	}
	p.holds = holds
	for _, a := range p.order {
		a.hold = holds.of(a.peer, a.place)
		p.rerank(a)
	}
	for _, q := range p.jobs {
		p.checkHeldBack(&q.job)
	}
	for i := range p.delayed {
		p.checkHeldBack(&p.delayed[i].job)
	}
}

// HeldBack is a queued job with a task that only upstreams under a hold can run.
type HeldBack struct {
	Submission identifier.Submission
	Refusal    Refusal
}

// checkHeldBack records a queued job for [Placer.TakeHeldBack] if a hold is the reason
// that one of its tasks cannot run. A job whose upstreams are lost is not recorded, since
// they may reconnect before its deadline.
func (p *Placer) checkHeldBack(j *Job) {
	if len(p.holds.Upstreams)+len(p.holds.DataCentres) == 0 {
		return
	}
	if r := p.service(j.Service).unplaceable(j); r.Reason == submitter.ReasonNoUpstream {
		p.heldBack = append(p.heldBack, HeldBack{Submission: j.Submission, Refusal: r})
	}
}

// TakeHeldBack returns the queued jobs that were found to be held back since the last
// call, sorted by submission. They stay in the queue until they are dropped.
func (p *Placer) TakeHeldBack() []HeldBack {
	out := p.heldBack
	p.heldBack = nil
	slices.SortFunc(out, func(a, b HeldBack) int { return bytes.Compare(a.Submission[:], b.Submission[:]) })
	return slices.CompactFunc(out, func(a, b HeldBack) bool { return a.Submission == b.Submission })
}
