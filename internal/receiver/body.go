package receiver

import (
	"container/list"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"sardinelock.dev/sardinelock/internal/prober"
)

const (
	// firstBuffer is the size of the first buffer of a body, in bytes.
	firstBuffer = 4 << 10
	// maxBodyDivisor bounds a single body, as a divisor of the memory for all bodies. While its buffer
	// grows, it takes up to 1.5 times its size.
	maxBodyDivisor = 4
	// maxDecodedDivisor bounds what is reserved for a decoded body, as a divisor of the memory for all bodies,
	// so that a single one is always received.
	maxDecodedDivisor = 2
	// mediumBody is the largest buffer of a medium body. Bodies with small buffers, of up to firstBuffer, are cut
	// off after the medium ones, and these after the large ones. Buffers of small bodies alone do not use up the
	// memory of an entry: it has an eighth of its memory for bodies, and a third for connections, 48 KiB each.
	mediumBody = 16 << 10
	// progressBytes is how much of a body must arrive to count as progress.
	progressBytes = 4 << 10
)

var (
	errTooLarge  = errors.New("the body is too large")
	errTooSlow   = errors.New("the body did not arrive in time")
	errDisplaced = errors.New("the body was cut off for others that arrived faster")
)

// Body is the received body of a request.
type Body struct {
	receiver *Receiver
	cut      context.CancelCauseFunc
	conn     net.Conn      // conn is the connection on which the body arrives.
	in       *list.List    // in is the list of the receiver that has the body; nil once the body is received or cut off.
	element  *list.Element // element is that of the list.
	isCut    bool
	reserved int64 // reserved is the memory that the body holds.
	wants    int64 // wants is the memory that the body waits for; 0 once it is cut off.
	buffer   int64 // buffer is the size of the buffer that the body has or waits for.
	progress int   // progress is how much has arrived since the last progress of progressBytes.
	data     []byte
}

// Bytes returns the body, which is valid until Release.
func (b *Body) Bytes() []byte { return b.data }

// Release returns the memory of the body. It has no effect after the first call.
func (b *Body) Release() {
	b.data = nil
	b.receiver.release(b, b.reserved)
}

// Receive reads the body of a request, which may have the given size and take the given time. It also
// reserves the memory that the body takes once it is decoded, as decoded tells. The body must be released
// when the decoded request is no longer held. The errors are of the kinds [KindTooLarge], [KindTimeout], [KindOverload] and, if
// the caller ended the connection, [KindBroken].
func (r *Receiver) Receive(w http.ResponseWriter, req *http.Request, limit int64, timeout time.Duration, decoded func([]byte) int64) (*Body, error) {
	const op = "receive"
	limit = min(limit, r.limits.MaxBytes/maxBodyDivisor)
	if req.ContentLength > limit {
		return nil, &Error{Op: op, Kind: KindTooLarge, Err: errTooLarge}
	}
	ctx, cut := context.WithCancelCause(req.Context())
	defer cut(nil)
	b := &Body{receiver: r, cut: cut, conn: prober.Conn(req.Context())}
	timer := time.AfterFunc(timeout, func() { cut(errTooSlow) })
	defer timer.Stop()
	disarm := context.AfterFunc(ctx, func() { abortReads(w) })
	received := false
	// It also runs if the reading or decoded panics, since the server recovers panics of handlers.
	defer func() {
		if !received {
			r.end(b)
			b.Release()
		}
	}()
	r.begin(b)
	err := b.read(ctx, req, limit)
	if err == nil {
		// A body that waits for this memory may still be cut off, so that bodies cannot wait for each other.
		err = r.reserve(ctx, b, min(decoded(b.data), r.limits.MaxBytes/maxDecodedDivisor))
	}
	r.end(b)
	r.serving(b.conn)
	if !disarm() {
		// The connection cannot be read any more, also if the whole body has just arrived.
		if in, ok := req.Body.(*incoming); ok {
			in.received = false
		}
		err = context.Cause(ctx)
	}
	if err != nil {
		return nil, &Error{Op: op, Kind: kindOf(err), Err: err}
	}
	received = true
	return b, nil
}

func kindOf(err error) Kind {
	switch err {
	case errTooLarge:
		return KindTooLarge
	case errTooSlow:
		return KindTimeout
	case errDisplaced:
		return KindOverload
	}
	return KindBroken
}

// read reads the body to its end.
func (b *Body) read(ctx context.Context, req *http.Request, limit int64) error {
	for {
		if len(b.data) == cap(b.data) {
			if err := b.grow(ctx, req.ContentLength, limit); err != nil {
				return err
			}
		}
		n, err := req.Body.Read(b.data[len(b.data):cap(b.data)])
		b.data = b.data[:len(b.data)+n]
		if b.progress += n; b.progress >= progressBytes {
			b.progress = 0
			b.receiver.progressed(b)
		}
		switch {
		case int64(len(b.data)) > limit:
			return errTooLarge
		case err == io.EOF:
			// A body that has arrived and waits for the memory of the decoded one does not stall.
			b.receiver.progressed(b)
			return nil
		case err != nil:
			return err
		}
	}
}

// grow doubles the buffer, up to the announced length or one byte beyond the limit.
func (b *Body) grow(ctx context.Context, length, limit int64) error {
	most := limit + 1
	if length >= 0 && int64(len(b.data)) < length {
		most = length
	}
	old := int64(cap(b.data))
	size := min(max(2*old, firstBuffer), most)
	b.receiver.enlarge(b, size)
	if err := b.receiver.reserve(ctx, b, size); err != nil {
		return err
	}
	data := make([]byte, len(b.data), size)
	copy(data, b.data)
	b.data = data
	b.receiver.release(b, old)
	return nil
}

// begin adds a body to those that may be cut off.
func (r *Receiver) begin(b *Body) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.move(b, r.listFor(b))
}

// enlarge notes that a body needs a buffer of a size. It counts as one of that size from then on, also while
// it waits: otherwise the smaller ones would be cut off for it.
func (r *Receiver) enlarge(b *Body, size int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	b.buffer = size
	if to := r.listFor(b); b.in != nil && b.in != to {
		r.move(b, to)
	}
}

// listFor returns the list for bodies with a buffer of the size of that of a body.
func (r *Receiver) listFor(b *Body) *list.List {
	switch {
	case b.buffer > mediumBody:
		return &r.large
	case b.buffer > firstBuffer:
		return &r.medium
	}
	return &r.small
}

// progressed notes that more of a body has arrived.
func (r *Receiver) progressed(b *Body) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.progressedOn(b.conn)
	if b.in != nil {
		r.move(b, r.listFor(b))
	}
}

// end removes a body from those that may be cut off.
func (r *Receiver) end(b *Body) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.move(b, nil)
}

// move moves a body to the end of a list, or removes it from its list if the new one is nil.
func (r *Receiver) move(b *Body, to *list.List) {
	if b.in != nil {
		b.in.Remove(b.element)
	}
	if b.in = to; to != nil {
		b.element = to.PushBack(b)
	}
}

// reserve reserves memory for a body. If there is too little, it cuts off bodies, possibly this one, and
// waits until their memory is released.
func (r *Receiver) reserve(ctx context.Context, b *Body, size int64) error {
	if r.takeFree(b, size) {
		return nil
	}
	if err := r.memory.Acquire(ctx, size); err != nil {
		r.take(b, 0)
		return context.Cause(ctx)
	}
	// Until the next line, the body still counts as one that waits for this memory.
	r.take(b, size)
	return nil
}

// takeFree takes memory for a body if enough is free. Otherwise it notes that the body waits for it, and cuts
// off bodies until there will be enough.
func (r *Receiver) takeFree(b *Body, size int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	// Memory is acquired and counted under the same lock, and not past a body that waits but has not reached the
	// semaphore yet. Otherwise a body could wait for memory that nobody was cut off for.
	if r.wanted == 0 && r.memory.TryAcquire(size) {
		r.add(b, size)
		return true
	}
	if b.isCut {
		return false
	}
	b.wants = size
	r.wanted += size
	for _, c := range r.displaced(b) {
		r.cutOff(c)
	}
	return false
}

// displaced returns the bodies to cut off so that there will be enough for all that wait: those with the
// larger buffers first, and each kind in the order of the latest progress. If there will not be enough before it is
// the turn of the body that has just begun to wait, it is the only one, since the others would be cut off
// without use.
func (r *Receiver) displaced(waiting *Body) (bodies []*Body) {
	missing := r.wanted - (r.limits.MaxBytes - r.held + r.leaving)
	for _, l := range []*list.List{&r.large, &r.medium, &r.small} {
		for e := l.Front(); e != nil && missing > 0; e = e.Next() {
			b := e.Value.(*Body)
			if b == waiting {
				return []*Body{b}
			}
			missing -= b.reserved + b.wants
			bodies = append(bodies, b)
		}
	}
	return bodies
}

// cutOff ends the reading of a body.
func (r *Receiver) cutOff(b *Body) {
	r.move(b, nil)
	b.isCut = true
	r.leaving += b.reserved
	r.wanted -= b.wants
	b.wants = 0
	b.cut(errDisplaced)
}

// take notes that a body waits no longer and has got memory.
func (r *Receiver) take(b *Body, size int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wanted -= b.wants
	b.wants = 0
	r.add(b, size)
}

// add adds memory that was acquired to that of a body.
func (r *Receiver) add(b *Body, size int64) {
	b.reserved += size
	r.held += size
	if b.isCut {
		r.leaving += size
	}
}

// release returns memory of a body.
func (r *Receiver) release(b *Body, size int64) {
	r.mu.Lock()
	b.reserved -= size
	r.held -= size
	if b.isCut {
		r.leaving -= size
	}
	r.mu.Unlock()
	r.memory.Release(size)
}
