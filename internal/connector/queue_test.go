package connector

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/seeder"
)

// TestMain fixes the seed of the random tests.
func TestMain(m *testing.M) { seeder.Main(m) }

const testLimit = 5

// queueModel is what a queue must do: a slice of what is queued, and whether a
// writer runs.
type queueModel struct {
	queue   *frameQueue
	want    []uint64
	next    uint64
	writing bool
}

func (m *queueModel) push(t *rapid.T) {
	m.next++
	took, idle := m.queue.push(&messenger.Frame{Contact: &messenger.Contact{Ping: m.next}})
	if took != (len(m.want) < testLimit) {
		t.Fatalf("push took %t with %d queued", took, len(m.want))
	}
	if idle != (took && !m.writing) {
		t.Fatalf("a writer is started: %t, while one writes: %t", idle, m.writing)
	}
	if took {
		m.want = append(m.want, m.next)
		m.writing = true
	}
}

func (m *queueModel) pop(t *rapid.T) {
	got, want := uint64(0), uint64(0)
	if f := m.queue.pop(); f != nil {
		got = f.Contact.Ping
	}
	if len(m.want) > 0 {
		want, m.want = m.want[0], m.want[1:]
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatalf("pop (-want +got):\n%s", diff)
	}
}

// rest is called by a running writer only.
func (m *queueModel) rest(t *rapid.T) {
	if !m.writing {
		return
	}
	if rests := m.queue.rest(); rests != (len(m.want) == 0) {
		t.Fatalf("the writer rests: %t, with %d queued", rests, len(m.want))
	}
	m.writing = len(m.want) > 0
}

// TestFrameQueue compares the queue with its model: a writer is started exactly
// when there is none and rests exactly when nothing is left.
func TestFrameQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &queueModel{queue: newFrameQueue(testLimit)}
		t.Repeat(map[string]func(*rapid.T){"push": m.push, "pop": m.pop, "rest": m.rest})
	})
}
