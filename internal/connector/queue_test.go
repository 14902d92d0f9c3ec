package connector

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"sardinelock.dev/sardinelock/internal/messenger"
)

// TestFrameQueue compares the queue with a slice, and checks that a writer is
// started exactly when there is none and rests exactly when nothing is left.
func TestFrameQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 5
		q := newFrameQueue(limit)
		var want []int
		next := 0
		writing := false
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "push") {
				next++
				took, idle := q.push(&messenger.Frame{Contact: &messenger.Contact{Ping: uint64(next)}})
				if took != (len(want) < limit) {
					t.Fatalf("push took %t with %d queued", took, len(want))
				}
				if idle != (took && !writing) {
					t.Fatalf("a writer is started: %t, while one writes: %t", idle, writing)
				}
				if took {
					want = append(want, next)
					writing = true
				}
				continue
			}
			f := q.pop()
			got := -1
			if f != nil {
				got = int(f.Contact.Ping)
			}
			wanted := -1
			if len(want) > 0 {
				wanted, want = want[0], want[1:]
			}
			if diff := cmp.Diff(wanted, got); diff != "" {
				t.Fatalf("pop (-want +got):\n%s", diff)
			}
			if writing && rapid.Bool().Draw(t, "rest") {
				if rests := q.rest(); rests != (len(want) == 0) {
					t.Fatalf("the writer rests: %t, with %d queued", rests, len(want))
				}
				writing = len(want) > 0
			}
		}
	})
}
