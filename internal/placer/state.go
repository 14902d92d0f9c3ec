package placer

import (
	"maps"
	"math"
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
)

// AgentState is what the placer knows of one agent, for operators.
type AgentState struct {
	Peer         messenger.Peer
	Place        Place
	Upstream     messenger.UpstreamState
	Slots        int
	Credit       int // Credit is how many tasks this entry may have outstanding there.
	Outstanding  int
	Health       HealthState
	EjectReason  EjectReason // EjectReason is empty unless the agent is ejected or probed.
	EjectedAt    time.Time
	NextProbe    time.Time
	FailureRatio float64
	// Slowness is the recent mean of run times divided by the service's usual one.
	Slowness float64
}

// ServiceState is what the placer knows of one service, for operators.
type ServiceState struct {
	Service      string
	Agents       int
	Waiting      int
	WaitingWork  time.Duration
	UsualRunTime time.Duration // UsualRunTime is zero until enough tasks have ended.
	Failing      bool          // Failing means that its tasks fail on most upstreams.
}

// TeamState is what the placer knows of one team, for operators.
type TeamState struct {
	Team    string
	Running int
	Waiting int
	Slots   int // Slots is this entry's share of the quota; 0 means no bound.
}

// State returns the agents in order of arrival.
func (p *Placer) State() []AgentState {
	out := make([]AgentState, 0, len(p.order))
	for _, a := range p.order {
		h := &a.health
		out = append(out, AgentState{
			Peer:         a.peer,
			Place:        a.place,
			Upstream:     a.capacity.State,
			Slots:        a.capacity.Slots,
			Credit:       min(a.credit, h.allowed),
			Outstanding:  len(a.sent),
			Health:       h.state,
			EjectReason:  h.reason,
			EjectedAt:    h.since,
			NextProbe:    h.probeAt,
			FailureRatio: h.failures,
			Slowness:     math.Exp(h.slowness),
		})
	}
	return out
}

// ServiceStates returns the services in the order in which they were first named.
func (p *Placer) ServiceStates() []ServiceState {
	out := make([]ServiceState, 0, len(p.serviceOrder))
	for _, s := range p.serviceOrder {
		out = append(out, ServiceState{
			Service:      s.name,
			Agents:       len(s.members),
			Waiting:      s.waiting,
			WaitingWork:  s.work,
			UsualRunTime: s.learned.usualRunTime(),
			Failing:      s.failsEverywhere(),
		})
	}
	return out
}

// TeamStates returns the teams in the order of their names.
func (p *Placer) TeamStates() []TeamState {
	out := make([]TeamState, 0, len(p.teams))
	for _, name := range slices.Sorted(maps.Keys(p.teams)) {
		t := p.teams[name]
		state := TeamState{Team: name, Running: t.running, Slots: t.slots}
		for _, q := range t.queues {
			state.Waiting += q.waiting
		}
		out = append(out, state)
	}
	return out
}

// Backlog returns how many waiting tasks the entry would start at an agent now:
// its part of the tasks that wait for the services that it serves. It rides on
// messages to the agent.
func (p *Placer) Backlog(peer messenger.Peer) int {
	a := p.agents[peer]
	if a == nil || a.health.allowed != unlimited {
		return 0
	}
	n := 0
	for _, s := range a.seats {
		n += (s.service.waiting + len(s.service.members) - 1) / len(s.service.members)
	}
	return n
}
