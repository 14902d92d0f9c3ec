package linker

import (
	"net/netip"
	"slices"
	"time"
)

const (
	minDialDelay = 100 * time.Millisecond
	maxDialDelay = time.Second
	// maxDialFailures is how many dials of a learned address may fail in a row before the
	// address is forgotten: some two minutes at the longest delay.
	maxDialFailures = 120
)

// schedule holds the addresses that a process connects to, and when each is dialled next.
type schedule map[netip.AddrPort]*target

type target struct {
	configured bool // configured is set if the address comes from the settings; it is never forgotten.
	active     bool // active is set while the address is connected or being dialled.
	// reachable is set if another process has reported a connection to the address since
	// the latest dial began.
	reachable bool
	failures  int // failures counts the dials that failed since the last connection.
	nextDial  time.Time
}

// add adds addresses. Configured ones are never forgotten.
func (s schedule) add(configured bool, addrs ...netip.AddrPort) {
	for _, addr := range addrs {
		t := s[addr]
		if t == nil {
			t = &target{}
			s[addr] = t
		}
		t.configured = t.configured || configured
	}
}

// reachable adds addresses that are known to accept connections, and ends their delay. A
// dial in progress may wait for a packet that was lost, so the next one follows it at once.
func (s schedule) reachable(now time.Time, addrs ...netip.AddrPort) {
	s.add(false, addrs...)
	for _, addr := range addrs {
		t := s[addr]
		t.reachable = true
		t.failures, t.nextDial = 0, now
	}
}

// addresses returns the known addresses in order.
func (s schedule) addresses() []netip.AddrPort {
	addrs := make([]netip.AddrPort, 0, len(s))
	for addr := range s {
		addrs = append(addrs, addr)
	}
	slices.SortFunc(addrs, netip.AddrPort.Compare)
	return addrs
}

// begin returns the addresses to dial now. Each is active until ended is called for it.
func (s schedule) begin(now time.Time) (due []netip.AddrPort) {
	for addr, t := range s {
		if !t.active && !now.Before(t.nextDial) {
			t.active, t.reachable = true, false
			due = append(due, addr)
		}
	}
	slices.SortFunc(due, netip.AddrPort.Compare)
	return due
}

// ended applies the end of a dial or of the connection that it made, and delays the next
// dial. The jitter, from 0 to 1, spreads the delay from a half to three halves.
func (s schedule) ended(now time.Time, addr netip.AddrPort, connected bool, jitter float64) {
	t := s[addr]
	t.active = false
	if t.reachable && !connected {
		t.nextDial = now
		return
	}
	if connected {
		t.failures = 0
	}
	delay := min(minDialDelay<<min(t.failures, 8), maxDialDelay)
	t.failures++
	if !t.configured && t.failures > maxDialFailures {
		delete(s, addr)
		return
	}
	t.nextDial = now.Add(time.Duration((0.5 + jitter) * float64(delay)))
}
