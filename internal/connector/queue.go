package connector

import (
	"sync"

	"sardinelock.dev/sardinelock/internal/messenger"
)

// frameQueue is a bounded queue of outgoing frames. An empty queue holds no memory for
// frames, so that many idle connections take little memory.
type frameQueue struct {
	limit int

	mu            sync.Mutex
	frames        []*messenger.Frame
	writerRunning bool
}

func newFrameQueue(limit int) *frameQueue { return &frameQueue{limit: limit} }

// push adds a frame. It reports whether the frame was queued, which is not the case if
// the queue is full, and whether the caller must start a writer.
func (q *frameQueue) push(f *messenger.Frame) (queued, startWriter bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.frames) >= q.limit {
		return false, false
	}
	q.frames = append(q.frames, f)
	startWriter = !q.writerRunning
	q.writerRunning = true
	return true, startWriter
}

// stopIfEmpty is called by the writer. If no frame is queued, it marks the writer as
// stopped and reports true; the writer must then return.
func (q *frameQueue) stopIfEmpty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.writerRunning = len(q.frames) > 0
	return !q.writerRunning
}

// pop removes and returns the first frame, or nil if the queue is empty.
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
