package placer

import (
	"math"
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
)

// HealthState is what the placer makes of an agent's results.
type HealthState string

// The states of agents.
const (
	stateNormal    HealthState = "normal"
	stateReturning HealthState = "returning" // The agent is new or comes back and gets few tasks.
	stateEjected   HealthState = "ejected"   // The agent gets no task.
	stateProbing   HealthState = "probing"   // The agent gets one task, to see how it ends.
)

// EjectReason says why an agent is ejected.
type EjectReason string

// The reasons of ejection.
const (
	EjectFailing EjectReason = "failing" // Its tasks fail.
	EjectSlow    EjectReason = "slow"    // Its tasks take much longer than elsewhere.
)

// health is what the results of one agent say about it.
type health struct {
	state           HealthState
	maxOutstanding  int // allowed bounds the outstanding tasks beside the credit.
	reason          EjectReason
	probeAt         time.Time // probeAt is when the next probe is due; zero if none is.
	probeBackoff    time.Duration
	successes       int     // successes counts those since allowed was raised.
	streak          int     // streak counts failures in a row.
	samples         int     // samples counts results.
	failures        float64 // failures is the recent share of failures.
	slowness        float64 // slowness is the recent mean of run time by expected run time, on a log scale.
	slownessSamples int     // timed counts the samples of slowness.
}

const (
	failureRate        = 1.0 / 16
	slownessRate       = 0.25
	minRatioSamples    = 10 // minRatio is the number of results from which FailureRatio counts.
	minSlownessSamples = 3
	unlimited          = 1 << 30
	minServing         = 2 // minPeers is the number of agents without which none is ejected.
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

// failsEverywhere reports whether the service and not an upstream is at fault.
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

// eject gives an agent no more tasks until a probe, unless too many are ejected.
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
	serving := p.Serving()
	if serving < minServing {
		return false
	}
	return p.ejected+1 <= max(1, int(p.limits.MaxEjectedRatio*float64(serving)))
}

// probeDue lets ejected agents whose time has come take one task.
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

// Restore lets an ejected agent take tasks again, at first few. It reports
// whether the agent is known.
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
