package agent

import (
	"time"

	"sardinelock.dev/sardinelock/internal/applier"
	"sardinelock.dev/sardinelock/internal/configurer"
	"sardinelock.dev/sardinelock/internal/messenger"
)

// flushConfig carries out the follower's decisions. It runs on the control thread.
func (a *Agent) flushConfig(now time.Time) {
	out := a.follower.Take(now)
	if out.InForce != nil {
		a.applyConfig(*out.InForce)
	}
	for _, s := range out.Sends {
		if conn := a.conns[s.To]; conn != nil {
			conn.Send(&messenger.Frame{Config: s.Config})
		}
	}
}

// applyConfig applies the settings of a version. It runs on the control thread.
func (a *Agent) applyConfig(d applier.Document) {
	settings, err := configurer.DecodeAgentSettings(d.Text)
	if err != nil {
		a.settings.Logger.Error().Err(err).Uint64("version", d.Number).Msg("cannot decode the agent settings of a configuration version; the current settings stay in force")
		return
	}
	a.guard.SetMaxWaiting(settings.WaitingPerAgent)
	a.settings.Logger.Info().Str("event", "config-in-force").Uint64("version", d.Number).
		Msg("configuration version is in force")
}

// ConfigStatus returns the agent's status with respect to the current version of the
// configuration. It must not be called on the control thread.
func (a *Agent) ConfigStatus() applier.Status {
	var s applier.Status
	a.loop.Call(func(time.Time) { s = a.follower.Status() })
	s.Process = a.settings.Peer
	s.DataCentre = a.settings.DataCentre
	return s
}
