package surveyor

import (
	"net"
	"sync/atomic"
)

// countingListener counts the bytes of all connections that it accepts, with
// what HTTP adds to the bodies.
type countingListener struct {
	net.Listener
	bytes atomic.Uint64 // bytes counts both directions.
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, bytes: &l.bytes}, nil
}

// countingConn adds what is read and written to a count.
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
