package keeper

import (
	"time"

	"sardinelock.dev/sardinelock/internal/connector"
	"sardinelock.dev/sardinelock/internal/messenger"
)

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
	change.Log(k.settings.Journal, e.Age, string(c.Hello().Peer))
	if !known || len(change.Begun)+len(change.Ended) > 0 {
		k.runner.SetEvacuated(elapsed, k.evacuator.Includes(k.settings.DataCentre))
	}
}

// tellEvacuations tells the entries that have a lower version of the one in force.
func (k *Keeper) tellEvacuations(now time.Time) {
	for _, c := range k.recipients.Due(k.evacuator.Version()) {
		c.Send(&messenger.Frame{Evacuations: k.evacuator.Message(k.loop.Elapsed(now))})
	}
}
