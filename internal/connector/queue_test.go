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

// queueModel is the reference model of a queue: a slice of the queued frames, and whether
// a writer runs.
type queueModel struct {
	queue         *frameQueue
	want          []uint64
	next          uint64
	writerRunning bool
}

func (m *queueModel) push(t *rapid.T) {
	m.next++
	queued, startWriter := m.queue.push(&messenger.Frame{Contact: &messenger.Contact{Ping: m.next}})
	if queued != (len(m.want) < testLimit) {
		t.Fatalf("push reported queued = %t with %d frames queued", queued, len(m.want))
	}
	if startWriter != (queued && !m.writerRunning) {
		t.Fatalf("push reported startWriter = %t while a writer runs: %t", startWriter, m.writerRunning)
	}
	if queued {
		m.want = append(m.want, m.next)
		m.writerRunning = true
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

// stopIfEmpty is called by a running writer only.
func (m *queueModel) stopIfEmpty(t *rapid.T) {
	if !m.writerRunning {
		return
	}
	if stopped := m.queue.stopIfEmpty(); stopped != (len(m.want) == 0) {
		t.Fatalf("stopIfEmpty reported %t with %d frames queued", stopped, len(m.want))
	}
	m.writerRunning = len(m.want) > 0
}

// TestFrameQueue compares the queue with its model: a writer must be started if and only
// if none runs, and stop if and only if the queue is empty.
func TestFrameQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &queueModel{queue: newFrameQueue(testLimit)}
		t.Repeat(map[string]func(*rapid.T){"push": m.push, "pop": m.pop, "stopIfEmpty": m.stopIfEmpty})
	})
}
