package agent

import (
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/applier"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/meter"
)

func (a *Agent) newMeter() (*meter.Meter, error) {
	s := meter.Sources{Traffic: &a.counts, Busy: a.loop.Busy, Agent: a.meterState}
	if a.settings.TLS != nil {
		s.CertificateExpiry = a.settings.TLS.Expiry
	}
	m, err := meter.New(meter.Identity{
		Role:       string(messenger.RoleAgent),
		Peer:       string(a.settings.Peer),
		Region:     a.settings.Region,
		DataCentre: a.settings.DataCentre,
	}, s)
	if err != nil {
		return nil, &Error{Op: "start", Kind: KindServe, Err: err}
	}
	return m, nil
}

// meterState returns the state that the metrics report. It must not be called on the
// control thread.
func (a *Agent) meterState() meter.AgentState {
	var s meter.AgentState
	a.loop.Call(func(time.Time) {
		upstream, state := a.guard.Upstream()
		records, _ := a.guard.Records()
		s = meter.AgentState{
			Running:      a.guard.Running(),
			Waiting:      a.guard.Waiting(),
			Slots:        upstream.Slots,
			Records:      records,
			State:        state,
			HighestEpoch: slices.Max(a.guard.Epochs()),
			Entries:      len(a.conns),

			ConfigVersion: a.follower.Version(),
			ConfigCurrent: a.follower.Status().State == applier.StateCurrent,
		}
	})
	return s
}
