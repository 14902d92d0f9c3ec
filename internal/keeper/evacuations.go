package keeper

import (
	"time"

	"sardinelock.dev/sardinelock/internal/connector"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/meter"
)

// evacuationState returns what the agent knows of evacuations, for its metrics.
func (k *Keeper) evacuationState(now time.Duration) *meter.EvacuationState {
	if k.evacuator == nil {
		return nil
	}
	return &meter.EvacuationState{Version: k.evacuator.Version(), Age: k.evacuator.Age(now), DataCentres: k.evacuator.DataCentres()}
}

// receiveEvacuations applies the data centres that are being evacuated as an entry has told them.
func (k *Keeper) receiveEvacuations(now time.Time, c *connector.Conn, e *messenger.Evacuations) {
	if e == nil || k.evacuator == nil {
		return
	}
	k.recipients.Heard(c, e.Version)
	elapsed := k.loop.Elapsed(now)
	known := k.evacuator.Version() > 0
	change, applied := k.evacuator.Offer(*e, elapsed-e.Age)
	if !applied {
		return
	}
	source := string(c.Hello().Peer)
	k.logEvacuations("evacuation-begun", change.Begun, e, source)
	k.logEvacuations("evacuation-ended", change.Ended, e, source)
	if !known || len(change.Begun)+len(change.Ended) > 0 {
		k.runner.SetEvacuated(elapsed, k.evacuator.Includes(k.settings.DataCentre))
	}
}

func (k *Keeper) logEvacuations(event string, dataCentres []string, e *messenger.Evacuations, source string) {
	for _, name := range dataCentres {
		k.settings.Journal.Line(event).Str("data-centre", name).Uint64("evacuations-version", e.Version).
			Dur("age", e.Age).Str("source", source).Msg("")
	}
}

// tellEvacuations tells the entries that have a lower version of the one in force.
func (k *Keeper) tellEvacuations(now time.Time) {
	for _, c := range k.recipients.Due(k.evacuator.Version()) {
		c.Send(&messenger.Frame{Evacuations: k.evacuator.Message(k.loop.Elapsed(now))})
	}
}
