package controller

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestTimeAfterPause checks that events and the flush behind a long event of the
// same batch see the time that has passed.
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
