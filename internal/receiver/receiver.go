// Package receiver bounds what the callers of an HTTP server can make it hold: the bodies of requests
// that are still arriving or not yet handled, headers, answers that are not read, and open connections.
//
// A server that reads whole bodies holds as much as its callers send, for as long as they keep it
// waiting. A [Receiver] reserves memory for a body before it reads more of it. If the memory is used up,
// a large body that has been without progress for the longest time is cut off, so that one that arrives
// at once is received beside any number of stalled ones. In the same way, a new connection replaces the
// one that has been without a request for the longest time.
package receiver

import (
	"container/list"
	"net"
	"net/http"
	"sync"

	"golang.org/x/sync/semaphore"

	"sardinelock.dev/sardinelock/internal/prober"
)

// Limits are the settings of a [Receiver].
type Limits struct {
	// MaxBytes is the largest total size of the buffers of all bodies, and of the decoded ones until their
	// release.
	MaxBytes int64
	// MaxConns is the largest number of open connections; 0 sets no limit.
	MaxConns int
	// KeptFields has the names, in canonical form, of header fields that handlers read. Of a header with very
	// many fields, only these and those of the protocol are kept.
	KeptFields []string
}

// Receiver bounds what one HTTP server holds for its callers. It is safe for concurrent use.
type Receiver struct {
	limits Limits
	memory *semaphore.Weighted // memory has the bytes of all buffers.

	mu sync.Mutex
	// small, medium and large have the *Body values that are being read and were not cut off, by the size of
	// their buffers and in the order of their latest progress.
	small, medium, large list.List

	held int64 // held is the total size of the buffers.
	// wanted is the memory for which bodies wait, and leaving that of the bodies that were cut off and
	// have not released it.
	wanted, leaving int64
	// waiting has the connections without a request that is being served, in the order in which they
	// were opened or last had one.
	waiting list.List
	// conns has the open connections, with their elements of waiting; nil if one is being served.
	conns map[net.Conn]*list.Element
}

// New returns a receiver that holds nothing.
func New(l Limits) *Receiver {
	return &Receiver{limits: l, memory: semaphore.NewWeighted(l.MaxBytes), conns: make(map[net.Conn]*list.Element)}
}

// Wrap returns a handler whose answers do not wait for the bodies of their requests: if a part of the
// body is missing when the answer begins, the connection is closed after the answer. The server must
// call [Receiver.ConnState] and [prober.WithConn].
func (r *Receiver) Wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		c := prober.Conn(req.Context())
		defer r.returned(c)
		r.dropFields(req)
		if req.ContentLength == 0 {
			r.serving(c)
			h.ServeHTTP(w, req)
			return
		}
		// Until its body has been received, the connection counts as one without a request, so that callers
		// whose bodies stall do not keep the places of others.
		defer r.serving(c)
		in := &incoming{ReadCloser: req.Body}
		out := &answer{ResponseWriter: w, in: in}
		// The server examines the body in its own copy of the request.
		req = req.WithContext(req.Context())
		req.Body = in
		h.ServeHTTP(out, req)
		out.closeUnlessReceived()
	})
}
