package receiver

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"
)

// unit is the memory that bodies of these tests reserve at once.
const unit = 1 << 20

// newBody returns a body that is being read, and holds memory or waits for it.
func newBody(r *Receiver, size int64) *Body {
	b := &Body{receiver: r, cut: func(error) {}}
	r.begin(b)
	r.takeFree(b, size)
	return b
}

// ended returns a context that has ended, with which no body waits for memory.
func ended() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// TestAcquiredMemoryIsCounted guards against memory that is neither free nor that of a body that can be cut
// off: while it was, a body that came to wait saw it as free, cut off nobody and waited until it was refused.
func TestAcquiredMemoryIsCounted(t *testing.T) {
	const memory = 4 * unit
	r := New(Limits{MaxBytes: memory})
	b := newBody(r, 0)
	r.mu.Lock()
	done := make(chan error)
	go func() { done <- r.reserve(context.Background(), b, unit) }()
	// The other goroutine needs far less to reach the lock.
	time.Sleep(50 * time.Millisecond)
	if !r.memory.TryAcquire(memory) {
		t.Errorf("memory was acquired that is not counted")
	} else {
		r.memory.Release(memory)
	}
	r.mu.Unlock()
	if err := <-done; err != nil || r.held != unit {
		t.Errorf("the body holds %d bytes with error %v, want %d", r.held, err, unit)
	}
}

// TestMemoryIsLeftForWaitingBodies guards against a body that takes the memory which was released for one that
// waits and has not reached the semaphore: nobody was cut off for that one any more.
func TestMemoryIsLeftForWaitingBodies(t *testing.T) {
	r := New(Limits{MaxBytes: 4 * unit})
	stalled, received := newBody(r, 2*unit), newBody(r, 2*unit)
	r.end(received)
	waiting := newBody(r, 2*unit)
	if !stalled.isCut || waiting.isCut {
		t.Fatalf("cut off: %v, %v, want only the stalled body", stalled.isCut, waiting.isCut)
	}
	stalled.Release()
	late := newBody(r, 2*unit)
	if late.reserved > 0 {
		t.Error("a late body has taken the memory of one that waits")
	}
	if free := r.limits.MaxBytes - r.held + r.leaving; r.wanted > free {
		t.Errorf("bodies wait for %d bytes, and %d will be free", r.wanted, free)
	}
}

// TestNoBodyIsCutOffWithoutUse guards against bodies that are cut off for one that needs more than they hold.
func TestNoBodyIsCutOffWithoutUse(t *testing.T) {
	r := New(Limits{MaxBytes: 4 * unit})
	received, other, large := newBody(r, 3*unit), newBody(r, unit/2), newBody(r, unit/2)
	r.end(received)
	if err := r.reserve(ended(), large, 2*unit); err == nil {
		t.Error("more memory was reserved than can be free")
	}
	if other.isCut || !large.isCut {
		t.Errorf("cut off: %v, %v, want only the body that needs too much", other.isCut, large.isCut)
	}
	small := newBody(r, unit)
	if !other.isCut || small.isCut {
		t.Errorf("cut off: %v, %v, want only the body whose memory is enough", other.isCut, small.isCut)
	}
}

// TestSmallBodyIsCutOffLast guards against an ordinary job that is refused beside stalled bodies: these counted
// as small while they waited for larger buffers, and those that had read more since it came were cut off after it.
func TestSmallBodyIsCutOffLast(t *testing.T) {
	for _, size := range []int64{8 << 10, 16 << 10, 32 << 10} {
		const stalled = 400
		r := New(Limits{MaxBytes: stalled * size})
		ordinary := newBody(r, 600)
		var bodies []*Body
		for range stalled {
			b := newBody(r, size/2)
			r.progressed(b)
			bodies = append(bodies, b)
		}
		for _, b := range bodies {
			r.enlarge(b, size)
			r.takeFree(b, size)
		}
		// It also waits for the memory of the decoded body.
		r.takeFree(ordinary, 4000)
		cut := 0
		for _, b := range bodies {
			if b.isCut {
				cut++
			}
		}
		if ordinary.isCut || cut == 0 || cut == stalled {
			t.Errorf("with buffers of %d bytes, the small body was cut off: %v, and %d of %d larger ones", size, ordinary.isCut, cut, stalled)
		}
	}
}

// TestArrivedBodyIsCutOffLast guards against a body that is cut off, although it has arrived, before those of its
// size that still stall.
func TestArrivedBodyIsCutOffLast(t *testing.T) {
	const size = 600
	r := New(Limits{MaxBytes: 4 * size})
	req := httptest.NewRequest("POST", "/", iotest.DataErrReader(strings.NewReader(strings.Repeat("x", size))))
	req.ContentLength = size
	arrived := &Body{receiver: r, cut: func(error) {}}
	r.begin(arrived)
	stalled := newBody(r, size)
	if err := arrived.read(t.Context(), req, bodyLimit); err != nil {
		t.Fatal(err)
	}
	if r.takeFree(arrived, 3*size); arrived.isCut || !stalled.isCut {
		t.Errorf("cut off: %v, %v, want only the body that stalls", arrived.isCut, stalled.isCut)
	}
}
