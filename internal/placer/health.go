package placer

import (
	"math"
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
)

// HealthState is the health of an agent, judged by its results.
type HealthState string

// The states of agents.
const (
	stateNormal    HealthState = "normal"
	stateReturning HealthState = "returning" // The agent is new or was ejected and is in slow start.
	stateEjected   HealthState = "ejected"   // The agent gets no task.
	stateProbing   HealthState = "probing"   // The agent gets one task, whose result decides.
)

// EjectReason is the reason for the ejection of an agent.
type EjectReason string

// The reasons of ejection.
const (
	EjectFailing EjectReason = "failing" // Its tasks fail.
	EjectSlow    EjectReason = "slow"    // Its tasks take much longer than at other agents.
)

// health is the state of one agent, judged by its results.
type health struct {
	state           HealthState
	maxOutstanding  int // bounds the outstanding tasks in addition to the credit
	reason          EjectReason
	probeAt         time.Time // time of the next probe; zero if none is due
	probeBackoff    time.Duration
	successes       int     // successes since maxOutstanding was last raised
	streak          int     // consecutive failures
	samples         int     // number of results
	failures        float64 // recent share of failures, from 0 to 1
	slowness        float64 // recent mean logarithm of run time by expected run time
	slownessSamples int     // number of samples in slowness
}

const (
	failureRate        = 1.0 / 16
	slownessRate       = 0.25
	minRatioSamples    = 10 // number of results below which FailureRatio is not applied
	minSlownessSamples = 3
	unlimited          = 1 << 30
	minAccepting       = 2 // with fewer agents that accept work, none is ejected
	minFailingAgents   = 2
)

// observe applies the end of a task to the health of its agent.
func (p *Placer) observe(now time.Time, s *membership, e *End, expected time.Duration) {
	failed := e.Kind == messenger.ResultFailed
	s.samples++
	if failed {
		s.failing++
	} else {
		s.failing = 0
	}
	if failed && s.service.failsEverywhere() {
		return
	}
	h := &s.agent.health
	h.samples++
	rate := max(failureRate, 1/float64(h.samples))
	if failed {
		h.streak++
		h.failures += rate * (1 - h.failures)
		p.applyFailure(now, s.agent)
		return
	}
	h.streak = 0
	h.failures -= rate * h.failures
	if expected > 0 && e.RunTime > 0 {
		h.slownessSamples++
		h.slowness += max(slownessRate, 1/float64(h.slownessSamples)) * (math.Log(e.RunTime.Seconds()/expected.Seconds()) - h.slowness)
	}
	slow := h.slownessSamples >= minSlownessSamples || h.state == stateProbing && h.reason == EjectSlow
	if slow && h.slowness >= math.Log(p.limits.SlowFactor) {
		p.eject(now, s.agent, EjectSlow)
		return
	}
	p.applySuccess(s.agent)
}

// failsEverywhere reports whether the service fails at most of its agents, so that no
// single upstream is at fault.
func (s *service) failsEverywhere() bool {
	failing, sampled := 0, 0
	for _, m := range s.members {
		if m.samples == 0 {
			continue
		}
		sampled++
		if m.failing > 0 {
			failing++
		}
	}
	return failing >= minFailingAgents && 2*failing > sampled
}

func (p *Placer) applyFailure(now time.Time, a *agent) {
	h := &a.health
	switch h.state {
	case stateProbing:
		p.eject(now, a, EjectFailing)
	case stateNormal, stateReturning:
		if h.streak >= p.limits.FailureStreak ||
			h.samples >= minRatioSamples && h.failures >= p.limits.FailureRatio {
			p.eject(now, a, EjectFailing)
		}
	}
}

func (p *Placer) applySuccess(a *agent) {
	h := &a.health
	if h.state == stateProbing {
		h.state = stateReturning
		h.maxOutstanding = 1
		h.successes = 0
		h.failures = 0
		h.reason = ""
		p.ejected--
	}
	if h.state != stateReturning {
		return
	}
	h.successes++
	if h.successes < h.maxOutstanding {
		return
	}
	h.successes = 0
	h.maxOutstanding *= 2
	if h.maxOutstanding >= a.capacity.Slots {
		h.maxOutstanding = unlimited
		h.state = stateNormal
		h.probeBackoff = 0
	}
}

// eject stops scheduling on an agent until a probe, unless too many are ejected.
func (p *Placer) eject(now time.Time, a *agent, reason EjectReason) {
	h := &a.health
	if h.state != stateEjected && h.state != stateProbing {
		if !p.mayEject() {
			return
		}
		p.ejections++
		p.ejected++
	}
	h.state = stateEjected
	h.maxOutstanding = 0
	h.reason = reason
	h.streak = 0
	h.slownessSamples = 0
	h.slowness = 0
	h.probeBackoff = min(max(2*h.probeBackoff, p.limits.ProbeAfter), p.limits.MaxProbeAfter)
	h.probeAt = now.Add(h.probeBackoff)
}

func (p *Placer) mayEject() bool {
	accepting := 0
	for _, a := range p.order {
		if a.accepting() {
			accepting++
		}
	}
	if accepting < minAccepting {
		return false
	}
	return p.ejected+1 <= max(1, int(p.limits.MaxEjectedRatio*float64(accepting)))
}

// probeDue starts probing the ejected agents whose probe is due.
func (p *Placer) probeDue(now time.Time) {
	if p.ejected == 0 {
		return
	}
	for _, a := range p.order {
		h := &a.health
		if h.state == stateEjected && !h.probeAt.IsZero() && !now.Before(h.probeAt) {
			h.state = stateProbing
			h.maxOutstanding = len(a.sent) + 1
			p.rerank(a)
		}
	}
}

// Restore ends the ejection of an agent and puts it into slow start. It reports whether
// the agent is known.
func (p *Placer) Restore(_ time.Time, peer messenger.Peer) bool {
	a := p.agents[peer]
	if a == nil {
		return false
	}
	if a.health.state == stateEjected || a.health.state == stateProbing {
		p.ejected--
		a.health = health{state: stateReturning, maxOutstanding: p.limits.SlowStart}
	}
	p.rerank(a)
	return true
}
