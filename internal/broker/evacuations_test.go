package broker

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"sardinelock.dev/sardinelock/internal/evacuator"
	"sardinelock.dev/sardinelock/internal/journaler"
	"sardinelock.dev/sardinelock/internal/messenger"
)

// TestPauseAtStart checks that an entry that was paused before its control thread ran for the first time
// launches nothing on an answer of the store from before the pause: a request may have been missed since.
func TestPauseAtStart(t *testing.T) {
	const pause = 300 * time.Millisecond
	j := journaler.New("error", t.Output())
	t.Cleanup(func() { j.Close() })
	b, err := New(Settings{
		Instance: "entry-1", PeerListen: netip.MustParseAddrPort("127.0.0.1:0"), Journal: j,
		Evacuations: &evacuator.Limits{PauseLimit: pause, ConfirmTimeout: time.Minute},
	})
	if err != nil {
		t.Fatal(err)
	}
	mayStart := func() bool { may, _ := b.mayStart(); return may }
	requestedAt := b.Now()
	time.Sleep(pause)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- b.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended })
	version := messenger.Evacuations{Version: 5}
	b.OfferEvacuations(version, requestedAt)
	if mayStart() {
		t.Error("tasks may be started on an answer from before the pause")
	}
	select {
	case <-b.EvacuationsUnconfirmed():
	case <-time.After(5 * time.Second):
		t.Error("the platform is not asked again")
	}
	// The test itself may be paused again, so that the answer is repeated.
	for end := time.Now().Add(5 * time.Second); !mayStart(); b.OfferEvacuations(version, b.Now()) {
		if time.Now().After(end) {
			t.Fatal("no start within 5 s of later answers")
		}
	}
}

// mayStart reports whether tasks may be started, and the version of the evacuations in force.
func (b *Broker) mayStart() (may bool, version uint64) {
	b.loop.Call(func(now time.Time) {
		may, version = b.evacuations.evacuator.MayStart(b.loop.Elapsed(now)), b.evacuations.evacuator.Version()
	})
	return may, version
}

// TestAgentDoesNotConfirmAfterPause checks that an entry that was paused launches nothing on what an agent tells
// it, also after the pause: the agent may have heard of evacuations from this entry only. Versions of the agent that
// arrive out of order have no effect.
func TestAgentDoesNotConfirmAfterPause(t *testing.T) {
	const pause = 300 * time.Millisecond
	w := newAgentWorld(t, &evacuator.Limits{PauseLimit: pause, ConfirmTimeout: time.Minute})
	c := w.dial("agent-1")
	w.send(c)
	for _, version := range []uint64{5, 7, 6} {
		c.Send(&messenger.Frame{Evacuations: &messenger.Evacuations{Version: version, DataCentres: []string{"dc-1"}}})
	}
	w.await("version 7", func() bool { _, version := w.broker.mayStart(); return version == 7 })
	if may, _ := w.broker.mayStart(); may {
		t.Error("tasks may be started on the version of a peer, before the platform has answered")
	}
	confirm := func() bool {
		// The test itself may be paused, so that the answer is repeated.
		w.broker.OfferEvacuations(messenger.Evacuations{Version: 7, DataCentres: []string{"dc-1"}}, w.broker.Now())
		may, _ := w.broker.mayStart()
		return may
	}
	w.await("a start after an answer of the platform", confirm)
	w.broker.loop.Call(func(time.Time) { time.Sleep(pause) })
	w.await("the notice of the pause", func() bool { may, _ := w.broker.mayStart(); return !may })
	var echo time.Duration
	w.broker.loop.Call(func(now time.Time) { echo = w.broker.loop.Elapsed(now) })
	c.Send(&messenger.Frame{Stamp: &messenger.Stamp{Clock: 3 * time.Second, Echo: echo}})
	time.Sleep(pause / 3)
	if may, _ := w.broker.mayStart(); may {
		t.Error("tasks may be started on a frame of an agent")
	}
	w.await("a start after a later answer of the platform", confirm)
}
