package broker

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sardinelock.dev/sardinelock/internal/assigner"
	"sardinelock.dev/sardinelock/internal/canceller"
	"sardinelock.dev/sardinelock/internal/messenger"
)

// TestCancelAsksOtherEntries checks that a cancel of a job that this entry does not have is passed on,
// and that its outcome is that of the other entry: the job would run on there.
func TestCancelAsksOtherEntries(t *testing.T) {
	for _, tt := range []struct {
		answer messenger.CancellationStep
		want   canceller.Outcome
	}{
		{messenger.CancellationFound, canceller.OutcomeCancelled},
		{messenger.CancellationUnknown, canceller.OutcomeUnknown},
		{"", canceller.OutcomeUnanswered},
	} {
		t.Run(string(tt.answer), func(t *testing.T) {
			w := newAgentWorld(t)
			w.dialAnswering(tt.answer)
			got, err := w.broker.Cancel(context.Background(), "00000000000000aa")
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("outcome (-want +got):\n%s", diff)
			}
		})
	}
}

// dialAnswering connects as another entry, which gives the answer to each question for a job, or none
// if it is empty.
func (w *agentWorld) dialAnswering(answer messenger.CancellationStep) {
	w.t.Helper()
	asked := make(chan messenger.Cancellation, 1)
	c := w.dialAsEntry("entry-2", netip.AddrPort{}, func(f *messenger.Frame) {
		for _, m := range f.Cancellations {
			asked <- m
		}
	})
	w.await("the other entry", func() (connected bool) {
		w.broker.loop.Call(func(time.Time) { connected = len(w.broker.entries) == 1 })
		return connected
	})
	go func() {
		m := <-asked
		if m.Step == messenger.CancellationAsked && answer != "" {
			c.Send(&messenger.Frame{Cancellations: []messenger.Cancellation{{Job: m.Job, Step: answer}}})
		}
	}()
}

// TestCancelledJobDoesNotRunAgain checks that a job that was cancelled, here or at another entry, does
// not run when its request arrives again.
func TestCancelledJobDoesNotRunAgain(t *testing.T) {
	w := newAgentWorld(t)
	c := w.dialAsEntry("entry-2", netip.AddrPort{}, func(*messenger.Frame) {})
	c.Send(&messenger.Frame{Cancellations: []messenger.Cancellation{{Job: "told", Step: messenger.CancellationTold}}})
	w.await("the cancel", func() (cancelled bool) {
		w.broker.loop.Call(func(now time.Time) { cancelled = w.broker.canceller.IsCancelled(w.broker.loop.Elapsed(now), "told") })
		return cancelled
	})
	go func() { _, _ = w.broker.Cancel(context.Background(), "here") }()
	w.await("the cancel", func() (cancelled bool) {
		w.broker.loop.Call(func(now time.Time) { cancelled = w.broker.canceller.IsCancelled(w.broker.loop.Elapsed(now), "here") })
		return cancelled
	})
	for _, id := range []string{"told", "here"} {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		a, err := w.broker.Submit(ctx, assigner.Job{ID: id, Queue: "q", Steps: []assigner.Step{{Count: 1}}, CallerTimeout: time.Minute}, func() {})
		cancel()
		if err != nil || a.Outcome != assigner.OutcomeCancelled {
			t.Errorf("%s: the answer is %q, %v", id, a.Outcome, err)
		}
	}
}

// TestCancelFoundElsewhereIsTold checks that all entries learn that a cancelled job was found, since they
// forget the cancels of unknown jobs first.
func TestCancelFoundElsewhereIsTold(t *testing.T) {
	w := newAgentWorld(t)
	w.dialAnswering(messenger.CancellationFound)
	received := make(chan messenger.Cancellation, 8)
	w.dialAsEntry("entry-3", netip.AddrPort{}, func(f *messenger.Frame) {
		for _, m := range f.Cancellations {
			received <- m
		}
	})
	w.await("the third entry", func() (connected bool) {
		w.broker.loop.Call(func(time.Time) { connected = len(w.broker.entries) == 2 })
		return connected
	})
	if _, err := w.broker.Cancel(context.Background(), "00000000000000ab"); err != nil {
		t.Fatal(err)
	}
	got := []messenger.Cancellation{<-received, <-received}
	want := []messenger.Cancellation{
		{Job: "00000000000000ab", Step: messenger.CancellationAsked},
		{Job: "00000000000000ab", Step: messenger.CancellationTold, IsFound: true},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("messages (-want +got):\n%s", diff)
	}
}
