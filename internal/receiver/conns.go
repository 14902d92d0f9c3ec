package receiver

import (
	"context"
	"net"
	"net/http"
	"time"

	"sardinelock.dev/sardinelock/internal/prober"
)

// writeTimeout is the longest time that a caller may take to accept a part of an answer. The parts have
// some KB, and most fit into the buffers of the kernel.
const writeTimeout = 5 * time.Second

// listener gives each write on its connections a deadline.
type listener struct {
	*net.TCPListener
	writeTimeout time.Duration
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &conn{TCPConn: c, writeTimeout: l.writeTimeout}, nil
}

// conn is a connection whose writes have a deadline: a caller that does not read its answers would keep the
// connection, and its place among those of the server, for any time.
type conn struct {
	*net.TCPConn
	writeTimeout time.Duration
}

// Write implements io.Writer.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	return c.TCPConn.Write(b)
}

// Listen listens at an address for a server that [Receiver.Protect] has prepared.
func Listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return listener{TCPListener: l.(*net.TCPListener), writeTimeout: writeTimeout}, nil
}

// Protect makes a server use the receiver for its requests and connections.
func (r *Receiver) Protect(s *http.Server) {
	// The server would handle "OPTIONS *" without the receiver, and read its body for any time.
	s.DisableGeneralOptionsHandler = true
	s.Handler, s.ConnState, s.ConnContext = r.Wrap(s.Handler), r.ConnState, prober.WithConn
}

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
	case http.StateHijacked:
		// Until the handler has examined the other side, the connection counts as one without a request.
		if e, open := r.conns[c]; open && e == nil {
			r.conns[c] = r.waiting.PushBack(c)
		}
	case http.StateClosed:
		r.remove(c)
	}
}

// Admit ends the count of the connection of a request whose handler has taken it from the server. A
// connection that was not admitted counts until the handler returns.
func (r *Receiver) Admit(ctx context.Context) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.remove(prober.Conn(ctx))
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

// progressedOn notes that more of a body has arrived on a connection, so that others are closed first.
func (r *Receiver) progressedOn(c net.Conn) {
	if e := r.conns[c]; e != nil {
		r.waiting.MoveToBack(e)
	}
}

// returned notes that the handler of a request on a connection has returned. One that was taken from the
// server counts no longer.
func (r *Receiver) returned(c net.Conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conns[c] != nil {
		r.remove(c)
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
