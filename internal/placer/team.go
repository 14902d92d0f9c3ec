package placer

import (
	"slices"
	"time"
)

// Quota bounds a team's use of all entries together. Zero fields bound nothing.
type Quota struct {
	Team            string
	Slots           int     // Slots bounds the running tasks.
	StartsPerSecond float64 // StartsPerSecond bounds the starts.
}

// team is what the placer keeps of a team over all services.
type team struct {
	name    string
	running int // running counts the team's tasks that this entry has outstanding.
	// slots is this entry's share of the quota; 0 means no bound.
	slots int
	// rate is this entry's share of the starts a second; 0 means no bound.
	rate       float64
	tokens     float64   // tokens is the number of starts that are allowed now.
	refilledAt time.Time // filled is when tokens was last computed.
	queues     []*teamQueue
}

// SetTeams sets the quotas of teams. A team that is not listed has none.
func (p *Placer) SetTeams(quotas []Quota) {
	p.quotas = slices.Clone(quotas)
	p.shareQuotas()
}

// SetEntries sets the number of entries that share the quotas. Each takes an
// equal share, rounded up. Over all entries a team can thus exceed its quota of
// slots by at most one less than the number of entries, its starts by as many a
// second, and both by what an entry that does not know of a new one still has
// outstanding.
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

// team returns the account of a team, which it makes if there is none.
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

// burst is the number of starts that an idle team saves up.
func (t *team) burst() float64 { return max(1, t.rate/4) }

// take counts one start.
func (t *team) countStart() {
	t.running++
	if t.rate > 0 {
		t.tokens--
	}
}

// freeQuota counts the end of a task of a team.
func countEnd(q *teamQueue) { q.team.running-- }

// returnThrottled puts the teams whose quota allows a start again back into the
// order of their services.
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
