package placer

import (
	"slices"
	"time"
)

// Quota bounds a team's use of all entries together. Zero fields bound nothing.
type Quota struct {
	Team            string
	Slots           int     // maximum of running tasks
	StartsPerSecond float64 // maximum rate of starts
}

// team is the state of a team's quota over all services.
type team struct {
	name    string
	running int // number of the team's tasks that this entry has outstanding
	// slots is this entry's share of the quota; 0 means no bound.
	slots int
	// rate is this entry's share of the starts a second; 0 means no bound.
	rate       float64
	tokens     float64   // number of starts allowed now
	refilledAt time.Time // when tokens was last updated
	queues     []*teamQueue
}

// SetTeams sets the quotas of teams. A team that is not listed has none.
func (p *Placer) SetTeams(quotas []Quota) {
	p.quotas = slices.Clone(quotas)
	p.shareQuotas()
}

// SetEntries sets the number of entries that share the quotas. Each entry gets an
// equal share, of slots rounded up. Over all entries, a team can thus exceed its quota
// of slots by up to the number of entries less one, and its quota of starts by as many
// a second. It can exceed both further by the outstanding tasks of an entry that has not
// yet learned of a new entry.
func (p *Placer) SetEntries(n int) {
	p.entries = max(1, n)
	p.shareQuotas()
}

func (p *Placer) shareQuotas() {
	for _, t := range p.teams {
		t.slots = 0
		t.rate = 0
	}
	for _, q := range p.quotas {
		t := p.team(q.Team)
		t.slots = (q.Slots + p.entries - 1) / p.entries
		t.rate = q.StartsPerSecond / float64(p.entries)
		t.tokens = min(t.tokens, t.burst())
	}
}

// team returns the quota state of a team and creates it if necessary.
func (p *Placer) team(name string) *team {
	if t := p.teams[name]; t != nil {
		return t
	}
	t := &team{name: name, tokens: 1}
	p.teams[name] = t
	return t
}

// mayStart reports whether the quota allows one more start now.
func (t *team) mayStart(now time.Time) bool {
	if t.slots > 0 && t.running >= t.slots {
		return false
	}
	if t.rate <= 0 {
		return true
	}
	if !t.refilledAt.IsZero() {
		t.tokens = min(t.burst(), t.tokens+t.rate*now.Sub(t.refilledAt).Seconds())
	}
	t.refilledAt = now
	return t.tokens >= 1
}

// burst is the maximum of tokens: the starts that an idle team saves up.
func (t *team) burst() float64 { return max(1, t.rate/4) }

// countStart counts one start against the quota.
func (t *team) countStart() {
	t.running++
	if t.rate > 0 {
		t.tokens--
	}
}

// countEnd releases a team's quota of one running task.
func countEnd(q *teamQueue) { q.team.running-- }

// returnThrottled puts throttled teams back into the order of their services once their
// quota allows a start.
func (p *Placer) returnThrottled(now time.Time) {
	kept := p.throttled[:0]
	for _, t := range p.throttled {
		if t.waiting > 0 && !t.team.mayStart(now) {
			kept = append(kept, t)
			continue
		}
		t.throttled = false
		p.updateTurn(t)
	}
	p.throttled = kept
}
