package connector

import (
	"sync"

	"sardinelock.dev/sardinelock/internal/messenger"
)

// frameQueue is a bounded queue of outgoing frames. It takes memory only for what
// waits, so that many idle connections cost little.
type frameQueue struct {
	limit int

	mu      sync.Mutex
	frames  []*messenger.Frame
	writing bool // writing means that a writer takes the frames.
}

func newFrameQueue(limit int) *frameQueue { return &frameQueue{limit: limit} }

// push adds a frame. It reports whether the frame was queued, which fails if the
// queue is full, and whether the caller must start a writer.
func (q *frameQueue) push(f *messenger.Frame) (queued, idle bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.frames) >= q.limit {
		return false, false
	}
	q.frames = append(q.frames, f)
	idle = !q.writing
	q.writing = true
	return true, idle
}

// rest ends the writer and reports true if nothing is queued.
func (q *frameQueue) rest() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.writing = len(q.frames) > 0
	return !q.writing
}

// pop removes the first frame; nil if there is none.
func (q *frameQueue) pop() *messenger.Frame {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.frames) == 0 {
		return nil
	}
	f := q.frames[0]
	q.frames[0] = nil
	q.frames = q.frames[1:]
	if len(q.frames) == 0 {
		q.frames = nil
	}
	return f
}
