package guard

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/invoker"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// delayRun drives a guard that delays echoes and results for one entry.
type delayRun struct {
	guard *Guard
	now   time.Time
	id    identifier.Submission
	ping  uint64
}

func newDelayRun() *delayRun {
	h := &delayRun{now: time.Unix(1_700_000_000, 0)}
	h.id = identifier.New(h.now)
	h.guard = New(h.now, Limits{
		Window: time.Minute, MaxRecordBytes: 1 << 20, MaxWaiting: 10,
		MaxEchoDelay: 250 * time.Millisecond, MaxResultDelay: 2 * time.Millisecond,
	})
	h.guard.EntryUp(h.now, "entry")
	h.guard.Announce(h.now, invoker.Announcement{
		Address: netip.MustParseAddrPort("127.0.0.1:1"), Services: []string{"quote"}, Slots: 8,
		TimeToLive: submitter.Duration(time.Minute),
	})
	h.guard.Receive(h.now, "entry", &messenger.Frame{Admit: &messenger.Admit{RosterVersion: 1, Epochs: make([]uint64, identifier.Partitions)}})
	h.guard.Take(h.now)
	return h
}

// receive applies a frame with a ping.
func (h *delayRun) receive(f *messenger.Frame) {
	h.ping++
	f.Contact = &messenger.Contact{Ping: h.ping}
	h.guard.Receive(h.now, "entry", f)
}

func (h *delayRun) start(tasks ...uint16) {
	s := messenger.Start{Submission: h.id, Epoch: 1, StartBy: time.Minute, EndBy: time.Minute}
	for _, index := range tasks {
		s.Tasks = append(s.Tasks, messenger.TaskStart{Index: index})
	}
	h.receive(&messenger.Frame{Starts: []messenger.Start{s}})
}

func (h *delayRun) end(index uint16, kind messenger.ResultKind) {
	h.guard.Ended(h.now, TaskRef{Submission: h.id, Index: index}, messenger.TaskResult{Index: index, Kind: kind})
}

// take advances the time and returns the frames sent and the time until the next
// wake-up.
func (h *delayRun) take(after time.Duration) string {
	h.now = h.now.Add(after)
	out := h.guard.Take(h.now)
	text := ""
	for _, s := range out.Sends {
		text += fmt.Sprintf("echo %d", s.Frame.Contact.Echo)
		for _, r := range s.Frame.Results {
			for _, t := range r.Tasks {
				text += fmt.Sprintf(" %d:%s", t.Index, t.Kind)
			}
		}
	}
	if !out.Wake.IsZero() {
		text += "wake in " + out.Wake.Sub(h.now).String()
	}
	return text
}

// TestDelayedSends checks which echoes and results are delayed to be sent with
// others, for how long, and which are sent at once.
func TestDelayedSends(t *testing.T) {
	var got []string
	record := func(text string) { got = append(got, text) }

	h := newDelayRun()
	h.start(0, 1, 2)
	record(h.take(0))
	record(h.take(10 * time.Millisecond))
	h.end(0, messenger.ResultDone)
	record(h.take(0))
	h.end(1, messenger.ResultDone)
	record(h.take(time.Millisecond))
	record(h.take(time.Millisecond))
	h.end(2, messenger.ResultDone)
	record(h.take(0))

	h.receive(&messenger.Frame{})
	record("ping alone: " + h.take(0))

	h = newDelayRun()
	h.start(0, 1)
	h.end(0, messenger.ResultFailed)
	record("failed: " + h.take(0))

	h = newDelayRun()
	h.start(0)
	record("slow task: " + h.take(249*time.Millisecond))
	record("slow task: " + h.take(time.Millisecond))

	h = newDelayRun()
	h.start(0, 1)
	record("echo due: " + h.take(249*time.Millisecond))
	h.end(0, messenger.ResultDone)
	record("echo due: " + h.take(time.Millisecond))

	want := []string{
		"wake in 250ms",
		"wake in 240ms",
		"wake in 2ms",
		"wake in 1ms",
		"echo 1 0:done 1:done",
		"echo 1 2:done",
		"ping alone: echo 2",
		"failed: echo 1 0:failed",
		"slow task: wake in 1ms",
		"slow task: echo 1",
		"echo due: wake in 1ms",
		"echo due: echo 1 0:done",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("sent frames and wake-ups (-want +got):\n%s", diff)
	}
}
