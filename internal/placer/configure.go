package placer

import (
	"maps"
	"slices"
)

// SetLimits applies new limits and reorders the queued jobs. Zero fields are applied
// as zero, not replaced by defaults. Tuning and RescheduleBudget keep their values,
// since a configuration does not contain them.
func (p *Placer) SetLimits(l Limits) {
	l.RescheduleBudget = p.limits.RescheduleBudget
	l.Tuning = p.limits.Tuning
	p.limits = l
	for _, s := range p.serviceOrder {
		s.learned.minSamples = l.MinSamples
		for _, name := range slices.Sorted(maps.Keys(s.queues)) {
			p.reorder(s.queues[name])
		}
	}
}

// reorder recomputes the order of a team's jobs and the team's position in its service.
func (p *Placer) reorder(t *teamQueue) {
	if t.position >= 0 {
		t.service.teams.remove(t.position)
	}
	jobs := slices.Clone(t.jobs.items)
	for _, q := range jobs {
		t.jobs.remove(q.position)
	}
	for _, q := range jobs {
		p.setKey(q)
		t.jobs.push(q)
	}
	t.round = int64(t.virtualTime / p.limits.Quantum)
	p.updateTurn(t)
}
