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

// TestAgentConfirmsAfterPause checks that an entry that was paused launches nothing on a frame of an agent that
// may be from before the pause, and goes on with one that echoes a later clock. The store is silent. Versions of
// the agent that arrive out of order have no effect.
func TestAgentConfirmsAfterPause(t *testing.T) {
	const pause = 300 * time.Millisecond
	w := newAgentWorld(t, &evacuator.Limits{PauseLimit: pause, ConfirmTimeout: time.Minute})
	c := w.dial("agent-1")
	w.send(c)
	for _, version := range []uint64{5, 7, 6} {
		c.Send(&messenger.Frame{Evacuations: &messenger.Evacuations{Version: version, DataCentres: []string{"dc-1"}}})
	}
	w.await("version 7", func() bool { may, version := w.broker.mayStart(); return may && version == 7 })
	var echo time.Duration
	w.broker.loop.Call(func(now time.Time) {
		echo = w.broker.loop.Elapsed(now)
		time.Sleep(pause)
	})
	w.await("the notice of the pause", func() bool { may, _ := w.broker.mayStart(); return !may })
	c.Send(&messenger.Frame{Stamp: &messenger.Stamp{Clock: 2 * time.Second, Echo: echo}})
	time.Sleep(pause / 3)
	if may, _ := w.broker.mayStart(); may {
		t.Error("tasks may be started after a frame that may be from before the pause")
	}
	// The test itself may be paused again, so that the frame is repeated.
	w.await("a start after a later frame", func() bool {
		w.broker.loop.Call(func(now time.Time) { echo = w.broker.loop.Elapsed(now) })
		c.Send(&messenger.Frame{Stamp: &messenger.Stamp{Clock: 3 * time.Second, Echo: echo}})
		time.Sleep(10 * time.Millisecond)
		may, version := w.broker.mayStart()
		return may && version == 7
	})
}
