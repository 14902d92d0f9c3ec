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
	mayStart := func() (may bool) {
		b.loop.Call(func(now time.Time) { may = b.evacuations.evacuator.MayStart(b.loop.Elapsed(now)) })
		return may
	}
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
