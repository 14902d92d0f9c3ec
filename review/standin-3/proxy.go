package main

import (
	"bytes"
	"encoding/binary"
	"net"
	"slices"
	"sync"
	"sync/atomic"
)

// proxy stands before the peer port of an entry, as the network does. It can lose everything that is
// sent between the entry and another machine: no byte, no end and no reset of a connection gets through,
// as if the machine had lost its power.
type proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	links    []*link
	dark     []string // dark has the names of the machines that are without power.
	self     string
}

// link is one connection through a proxy.
type link struct {
	client, server net.Conn
	mu             sync.Mutex
	sent           []byte // sent is the beginning of what the client sent.
	lost           atomic.Bool
}

func newProxy(listen, target, self string) (*proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, self: self}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(c net.Conn) {
	p.mu.Lock()
	selfDark := slices.Contains(p.dark, p.self)
	p.mu.Unlock()
	if selfDark {
		// The machine does not answer. The connection stays open until the end of the script.
		return
	}
	s, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = c.Close()
		return
	}
	k := &link{client: c, server: s}
	p.mu.Lock()
	p.links = append(p.links, k)
	p.mu.Unlock()
	go k.copy(s, c, true)
	go k.copy(c, s, false)
}

const keptBytes = 4096

// copy moves bytes until one side ends. What a lost link should carry is read and dropped.
func (k *link) copy(to, from net.Conn, isClient bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if isClient {
			k.keep(buf[:n])
		}
		if err == nil && !k.lost.Load() {
			_, err = to.Write(buf[:n])
		}
		if err == nil {
			continue
		}
		if !k.lost.Load() {
			_ = from.Close()
			_ = to.Close()
		}
		return
	}
}

// keep keeps the beginning of what the client sent.
func (k *link) keep(b []byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.sent) < keptBytes {
		k.sent = append(k.sent, b...)
	}
}

// isFrom reports whether the peer that opened the link introduced itself with the name: the first frame
// of its WebSocket names the instance.
func (k *link) isFrom(name string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	i := bytes.Index(k.sent, []byte("\r\n\r\n"))
	if i < 0 || len(k.sent) < i+10 {
		return false
	}
	frame := k.sent[i+4:]
	size, at := int(frame[1]&0x7f), 2
	if size == 126 {
		size, at = int(binary.BigEndian.Uint16(frame[2:])), 4
	}
	if frame[1]&0x80 == 0 || len(frame) < at+4 {
		return false
	}
	mask, payload := frame[at:at+4], frame[at+4:]
	payload = append([]byte(nil), payload[:min(size, len(payload))]...)
	for j := range payload {
		payload[j] ^= mask[j%4]
	}
	return bytes.Contains(payload, []byte(name))
}

// powerOff loses everything between this proxy's entry and the machine, or everything of the entry if the
// machine is its own. It returns the number of links that it took.
func (p *proxy) powerOff(machine string) (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dark = append(p.dark, machine)
	for _, k := range p.links {
		if machine == p.self || k.isFrom(machine) {
			k.lost.Store(true)
			n++
		}
	}
	return n
}
