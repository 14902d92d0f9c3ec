package surveyor

import (
	"net"
	"sync/atomic"
)

// countingListener counts the bytes of all connections that it accepts. They include
// HTTP headers and framing.
type countingListener struct {
	net.Listener
	bytes atomic.Uint64 // sent and received
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, bytes: &l.bytes}, nil
}

// countingConn adds the number of bytes read and written to a counter.
type countingConn struct {
	net.Conn
	bytes *atomic.Uint64
}

// Read implements io.Reader.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(uint64(n))
	return n, err
}

// Write implements io.Writer.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(uint64(n))
	return n, err
}
