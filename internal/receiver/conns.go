package receiver

import (
	"net"
	"net/http"
)

// ConnState notes the state of a connection, as the hook of the same name of an [http.Server]. If there
// are too many connections, it closes the one that has been without a request that is being served for
// the longest time.
func (r *Receiver) ConnState(c net.Conn, s http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch s {
	case http.StateNew:
		r.conns[c] = r.waiting.PushBack(c)
		if r.limits.MaxConns > 0 && len(r.conns) > r.limits.MaxConns {
			r.closeOldest()
		}
	case http.StateIdle:
		if e, open := r.conns[c]; open && e == nil {
			r.conns[c] = r.waiting.PushBack(c)
		}
	case http.StateActive:
		// The header of a request is arriving.
		if e := r.conns[c]; e != nil {
			r.waiting.MoveToBack(e)
		}
	case http.StateClosed, http.StateHijacked:
		r.remove(c)
	}
}

// serving notes that the header of a request has arrived on a connection.
func (r *Receiver) serving(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.conns[c]; e != nil {
		r.waiting.Remove(e)
		r.conns[c] = nil
	}
}

// closeOldest closes the connection that has been without a request for the longest time, which may be
// the newest one.
func (r *Receiver) closeOldest() {
	c := r.waiting.Front().Value.(net.Conn)
	r.remove(c)
	// An error only shows that the caller has ended the connection.
	_ = c.Close()
}

func (r *Receiver) remove(c net.Conn) {
	if e := r.conns[c]; e != nil {
		r.waiting.Remove(e)
	}
	delete(r.conns, c)
}
