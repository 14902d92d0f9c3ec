package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// gate is a proxy in front of an executor. While it is closed, its address refuses
// connections.
type gate struct {
	address, to string

	mu       sync.Mutex
	listener net.Listener
	conns    map[*net.TCPConn]bool
}

func newGate(to string) *gate {
	g := &gate{address: freeAddress(), to: to, conns: map[*net.TCPConn]bool{}}
	g.open()
	return g
}

func (g *gate) open() {
	l, err := net.Listen("tcp", g.address)
	if err != nil {
		fail("listen: %v", err)
	}
	g.mu.Lock()
	g.listener = l
	g.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go g.pass(c.(*net.TCPConn))
		}
	}()
}

// close resets all connections.
func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.listener.Close()
	for c := range g.conns {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	clear(g.conns)
}

func (g *gate) pass(from *net.TCPConn) {
	c, err := net.DialTimeout("tcp", g.to, time.Second)
	if err != nil {
		_ = from.Close()
		return
	}
	to := c.(*net.TCPConn)
	g.mu.Lock()
	g.conns[from], g.conns[to] = true, true
	g.mu.Unlock()
	var wg sync.WaitGroup
	for _, way := range [][2]*net.TCPConn{{from, to}, {to, from}} {
		wg.Go(func() {
			_, _ = io.Copy(way[1], way[0])
			_ = way[1].CloseWrite()
		})
	}
	wg.Wait()
	g.mu.Lock()
	delete(g.conns, from)
	delete(g.conns, to)
	g.mu.Unlock()
	_ = from.Close()
	_ = to.Close()
}
