package broker

import (
	"time"

	"sardinelock.dev/sardinelock/internal/connector"
	"sardinelock.dev/sardinelock/internal/evacuator"
	"sardinelock.dev/sardinelock/internal/messenger"
)

// evacuations is what an entry knows of the evacuation of data centres, and the connections on which it
// passes that on.
type evacuations struct {
	evacuator  *evacuator.Evacuator // evacuator is nil if the deployment has no evacuations.
	recipients evacuator.Recipients[*connector.Conn]
	// unconfirmed has a value after a pause, until the platform is asked.
	unconfirmed chan struct{}
}

func newEvacuations(l *evacuator.Limits) evacuations {
	e := evacuations{unconfirmed: make(chan struct{}, 1)}
	if l != nil {
		e.evacuator = evacuator.New(*l)
	}
	return e
}

// EvacuationsUnconfirmed returns a channel that receives a value after the entry was paused: it may have
// missed a request, and launches nothing until the platform or a peer confirms what is in force.
func (b *Broker) EvacuationsUnconfirmed() <-chan struct{} { return b.evacuations.unconfirmed }

// Now returns the time on the entry's clock, which counts the time in which the machine was suspended.
func (b *Broker) Now() time.Time { return b.loop.Now() }

// OfferEvacuations applies the data centres that are being evacuated as the platform has told them, on a
// request that was sent at the given time of [Broker.Now].
func (b *Broker) OfferEvacuations(e messenger.Evacuations, requestedAt time.Time) {
	b.loop.Post(func(now time.Time) {
		asOf := b.loop.Elapsed(requestedAt)
		b.applyEvacuations(now, e, asOf, "platform")
		if b.evacuations.evacuator.Confirm(asOf) {
			b.settings.Journal.Line("evacuations-confirmed").Uint64("evacuations-version", b.evacuations.evacuator.Version()).Msg("")
		}
	})
}

// applyEvacuations puts a version in force if it is higher.
func (b *Broker) applyEvacuations(now time.Time, e messenger.Evacuations, asOf time.Duration, source string) {
	change, applied := b.evacuations.evacuator.Offer(e, asOf)
	if !applied {
		return
	}
	change.Log(b.settings.Journal, b.loop.Elapsed(now)-asOf, source)
	if len(change.Begun)+len(change.Ended) > 0 {
		b.assigner.SetEvacuated(b.loop.Elapsed(now), b.evacuations.evacuator.DataCentres())
	}
}

// receiveEvacuations applies what a peer tells of evacuations. It does not confirm the version in force: the
// peer may know only what this entry has told it.
func (b *Broker) receiveEvacuations(now time.Time, c *connector.Conn, f *messenger.Frame) {
	v := &b.evacuations
	if v.evacuator == nil {
		return
	}
	if f.Evacuations != nil {
		v.recipients.Heard(c, f.Evacuations.Version)
		b.applyEvacuations(now, *f.Evacuations, b.loop.Elapsed(now)-f.Evacuations.Age, string(c.Hello().Peer))
	}
}

// advanceEvacuations notices pauses of this entry, and tells the peers of a new version before anything is
// launched.
func (b *Broker) advanceEvacuations(now time.Time) {
	v := &b.evacuations
	if v.evacuator == nil {
		return
	}
	elapsed := b.loop.Elapsed(now)
	if v.evacuator.Advance(elapsed) {
		b.settings.Journal.Line("evacuations-unconfirmed").Uint64("evacuations-version", v.evacuator.Version()).Str("reason", "paused").Msg("")
		select {
		case v.unconfirmed <- struct{}{}:
		default:
		}
	}
	if v.evacuator.Overdue(elapsed) {
		b.settings.Journal.Line("evacuations-unconfirmed").Uint64("evacuations-version", v.evacuator.Version()).
			Dur("age", v.evacuator.Age(elapsed)).Str("reason", "no-source").Msg("")
	}
	b.assigner.HoldLaunches(!v.evacuator.MayStart(elapsed))
	for _, c := range v.recipients.Due(v.evacuator.Version()) {
		c.Send(&messenger.Frame{Evacuations: v.evacuator.Message(elapsed)})
	}
}
