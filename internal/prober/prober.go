// Package prober tells what this machine's kernel knows of a TCP connection: whether the other side
// has ended it, and when its latest data came.
//
// A server that was paused, or whose requests were delayed, may read a request long after its
// client has left. The end of the connection is known to the kernel by then, but the server reads
// it only after the request.
package prober

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// connKey is the key of the connection in a request's context.
type connKey struct{}

// WithConn returns a context with the connection, for the ConnContext of an [net/http.Server].
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Conn returns the context's connection, or nil if there is none.
func Conn(ctx context.Context) net.Conn {
	c, _ := ctx.Value(connKey{}).(net.Conn)
	return c
}

// Ended returns a function that reports whether the other side of the context's connection has
// ended it, as far as this machine's kernel knows. It does not block, and reports false if that
// cannot be determined. It may be called at any time, also while the connection is read or after
// it was closed.
func Ended(ctx context.Context) func() bool {
	raw, ok := rawConn(ctx)
	if !ok {
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

// DataAge returns the time since the latest data of the context's connection reached this machine,
// whether it was read or not. It is exact to some milliseconds. ok is false if it cannot be
// determined.
func DataAge(ctx context.Context) (age time.Duration, ok bool) {
	raw, ok := rawConn(ctx)
	if !ok {
		return 0, false
	}
	var info *unix.TCPInfo
	var failure error
	if err := raw.Control(func(fd uintptr) { info, failure = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }); err != nil || failure != nil {
		return 0, false
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond, true
}

// rawConn returns the context's connection for calls of the kernel.
func rawConn(ctx context.Context) (raw syscall.RawConn, ok bool) {
	c, ok := ctx.Value(connKey{}).(syscall.Conn)
	if !ok {
		return nil, false
	}
	raw, err := c.SyscallConn()
	return raw, err == nil
}
