// Package prober tells whether the other side of a TCP connection has ended it.
//
// A server that was paused, or whose requests were delayed, may read a request long after its
// client has left. The end of the connection is known to the kernel by then, but the server reads
// it only after the request.
package prober

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// connKey is the key of the connection in a request's context.
type connKey struct{}

// WithConn returns a context with the connection, for the ConnContext of an [net/http.Server].
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Ended returns a function that reports whether the other side of the context's connection has
// ended it, as far as this machine's kernel knows. It does not block, and reports false if that
// cannot be determined. It may be called at any time, also while the connection is read or after
// it was closed.
func Ended(ctx context.Context) func() bool {
	c, ok := ctx.Value(connKey{}).(syscall.Conn)
	if !ok {
		return func() bool { return false }
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return func() bool { return false }
	}
	return func() (ended bool) {
		err := raw.Control(func(fd uintptr) { ended = hungUp(int(fd)) })
		// Control fails only on a connection that this process has closed.
		return ended || err != nil
	}
}

// hungUp reports whether the end of the connection, or an error, has been received.
func hungUp(fd int) bool {
	const events = unix.POLLRDHUP | unix.POLLHUP | unix.POLLERR
	p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err := unix.Poll(p, 0)
	return err == nil && n > 0 && p[0].Revents&events != 0
}
