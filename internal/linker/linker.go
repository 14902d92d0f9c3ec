// Package linker keeps connections to a changing set of addresses.
//
// A [Linker] belongs to the control thread of a process. It dials the known addresses
// that are not connected, with exponential backoff and jitter, and passes the frames of
// its connections to hooks. When each address is dialled is decided without I/O by a
// schedule.
package linker

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"sardinelock.dev/sardinelock/internal/connector"
	"sardinelock.dev/sardinelock/internal/controller"
	"sardinelock.dev/sardinelock/internal/messenger"
)

const (
	// dialTimeout bounds how long the machine at an address may take to answer the opening
	// packet. The kernel repeats a lost one only after a second, so that a machine that
	// starts meanwhile is reached sooner by the next dial.
	dialTimeout = 250 * time.Millisecond
	// ackTimeout is how long sent bytes may remain unacknowledged before the connection is
	// closed.
	ackTimeout = 2 * time.Second
)

// Hooks are called on the control thread, except DialFailed.
type Hooks struct {
	// Up is called with each new connection. If it returns false, the connection is closed.
	Up func(now time.Time, c *connector.Conn) bool
	// Receive is called with each frame.
	Receive func(now time.Time, c *connector.Conn, f *messenger.Frame)
	// Down is called when a connection that Up accepted has ended.
	Down func(now time.Time, c *connector.Conn, cause error)
	// DialFailed is called when a dial has failed, on the goroutine of the dial.
	DialFailed func(addr netip.AddrPort, err error)
}

// Linker keeps the connections of one process.
type Linker struct {
	loop    *controller.Loop
	hooks   Hooks
	options connector.Options
	ctx     context.Context
	dials   schedule
}

// New returns a linker whose connections end with the context.
func New(ctx context.Context, loop *controller.Loop, o connector.Options, h Hooks) *Linker {
	o.Client = &http.Client{Transport: &http.Transport{DialContext: Dial}}
	return &Linker{loop: loop, hooks: h, options: o, ctx: ctx, dials: make(schedule)}
}

// Dial opens a connection that fails if sent bytes remain unacknowledged for ackTimeout, so
// that a peer that has lost its power or its network is detected.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{
		Timeout:   dialTimeout,
		KeepAlive: ackTimeout / 2,
		Control:   func(_, _ string, c syscall.RawConn) error { return setAckTimeout(c) },
	}
	return d.DialContext(ctx, network, address)
}

func setAckTimeout(c syscall.RawConn) error {
	var sockErr error
	err := c.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockErr
}

// Add adds addresses. Configured ones are never forgotten.
func (l *Linker) Add(configured bool, addrs ...netip.AddrPort) { l.dials.add(configured, addrs...) }

// Reachable adds addresses that another process is connected to. They are dialled without
// further delay.
func (l *Linker) Reachable(now time.Time, addrs ...netip.AddrPort) { l.dials.reachable(now, addrs...) }

// Addresses returns the known addresses.
func (l *Linker) Addresses() []netip.AddrPort { return l.dials.addresses() }

// DialDue dials the addresses that are not connected and whose delay has passed.
func (l *Linker) DialDue(now time.Time) {
	for _, addr := range l.dials.begin(now) {
		go l.dial(addr)
	}
}

func (l *Linker) dial(addr netip.AddrPort) {
	connected := false
	defer func() {
		l.loop.Post(func(now time.Time) { l.dials.ended(now, addr, connected, rand.Float64()) })
	}()
	conn, err := connector.Dial(l.ctx, "ws://"+addr.String()+connector.Path, l.options)
	if err != nil {
		l.hooks.DialFailed(addr, err)
		return
	}
	connected = l.Serve(conn)
}

// Serve passes the frames of a connection to the hooks until the connection ends. It
// reports whether the Up hook accepted the connection. It must not be called on the
// control thread.
func (l *Linker) Serve(conn *connector.Conn) bool {
	accepted := false
	l.loop.Call(func(now time.Time) { accepted = l.hooks.Up(now, conn) })
	if !accepted {
		conn.Close()
		return false
	}
	stop := context.AfterFunc(l.ctx, conn.Close)
	defer stop()
	err := conn.Run(func(f *messenger.Frame) {
		l.loop.Post(func(now time.Time) { l.hooks.Receive(now, conn, f) })
	})
	l.loop.Post(func(now time.Time) { l.hooks.Down(now, conn, err) })
	return true
}
