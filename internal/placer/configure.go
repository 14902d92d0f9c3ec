package placer

import (
	"maps"
	"slices"
)

// SetLimits puts new limits in force and orders what waits by them. They are
// taken as they are, also where they are zero. The tuning and the budget of tasks
// that are placed again stay as they were made: no configuration has them.
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

// reorder computes the order of a team's jobs and the team's turn anew.
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
