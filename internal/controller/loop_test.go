package controller

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestTimeAfterPause checks that the events after a long event of the same batch, and the
// flush, are given the time after it. With the time of the batch's start, the holder of
// a lease would not notice that the lease has expired meanwhile.
func TestTimeAfterPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		var seen []time.Duration
		var l *Loop
		flushed := make(chan struct{}, 1)
		l = New(func(now time.Time) {
			seen = append(seen, now.Sub(begun))
			flushed <- struct{}{}
		})
		event := func(now time.Time) {
			seen = append(seen, now.Sub(begun))
			time.Sleep(time.Second)
		}
		l.Post(event)
		l.Post(event)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = l.Run(ctx) }()
		<-flushed
		want := []time.Duration{0, time.Second, 2 * time.Second}
		if diff := cmp.Diff(want, seen); diff != "" {
			t.Errorf("times (-want +got):\n%s", diff)
		}
	})
}
