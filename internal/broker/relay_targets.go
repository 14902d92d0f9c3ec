package broker

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
)

const (
	// relayTime is how long an entry without a connection is sent messages through agents, after its
	// connection ended, its address became known or it was heard through an agent. It is the
	// lifetime of records.
	relayTime = 10 * time.Second
	// relayNoticeTime is the same for an entry that has a connection here, but sends that it has none.
	relayNoticeTime = time.Second
)

// relayTargets are the entries that are sent messages through agents, by their addresses. Times are
// durations on the process's clock.
type relayTargets struct {
	targets map[netip.AddrPort]relayTarget
	// addrs has the addresses of the entries that are connected, or whose messages came through
	// agents, and of those that are still a target.
	addrs map[messenger.Peer]netip.AddrPort
}

type relayTarget struct {
	until time.Duration
	// via is the agent through which the latest message came, or empty.
	via messenger.Peer
	// isUsed is set once a message was sent.
	isUsed bool
}

func newRelayTargets() relayTargets {
	return relayTargets{targets: make(map[netip.AddrPort]relayTarget), addrs: make(map[messenger.Peer]netip.AddrPort)}
}

// known applies that an address may be one of an entry without a connection.
func (r *relayTargets) known(now time.Duration, addr netip.AddrPort) {
	if _, listed := r.targets[addr]; !listed {
		r.targets[addr] = relayTarget{until: now + relayTime}
	}
}

// connected applies a new connection to an entry. It reports whether that ends the use of relays.
func (r *relayTargets) connected(peer messenger.Peer, addr netip.AddrPort) (wasUsed bool) {
	wasUsed = r.targets[addr].isUsed
	delete(r.targets, addr)
	r.addrs[peer] = addr
	return wasUsed
}

// disconnected applies the end of the connection to an entry.
func (r *relayTargets) disconnected(now time.Duration, peer messenger.Peer) {
	if addr, ok := r.addrs[peer]; ok {
		t := r.targets[addr]
		t.until = now + relayTime
		r.targets[addr] = t
	}
}

// heard applies that a message of an entry came through an agent. isConnected is set if that entry
// has a connection here. It returns the earlier incarnations at the address, which have ended.
func (r *relayTargets) heard(now time.Duration, peer messenger.Peer, addr netip.AddrPort, via messenger.Peer, isConnected bool) (ended []messenger.Peer) {
	ended = r.remove(func(p messenger.Peer, a netip.AddrPort) bool { return a == addr && p != peer })
	r.addrs[peer] = addr
	lasts := relayTime
	if isConnected {
		lasts = relayNoticeTime
	}
	t := r.targets[addr]
	t.until, t.via = max(t.until, now+lasts), via
	r.targets[addr] = t
	return ended
}

// remove removes the addresses of the entries for which holds returns true, and returns these in order.
func (r *relayTargets) remove(holds func(messenger.Peer, netip.AddrPort) bool) (removed []messenger.Peer) {
	for peer, addr := range r.addrs {
		if holds(peer, addr) {
			delete(r.addrs, peer)
			removed = append(removed, peer)
		}
	}
	slices.Sort(removed)
	return removed
}

// expire removes the targets whose time is over, and returns, in order, those that were used.
func (r *relayTargets) expire(now time.Duration) (ended []netip.AddrPort) {
	for addr, t := range r.targets {
		if now < t.until {
			continue
		}
		delete(r.targets, addr)
		if t.isUsed {
			ended = append(ended, addr)
		}
	}
	slices.SortFunc(ended, netip.AddrPort.Compare)
	return ended
}

// forget removes the addresses of the entries that have no connection and are no target, and returns
// these entries in order.
func (r *relayTargets) forget(hasConnection func(messenger.Peer) bool) []messenger.Peer {
	return r.remove(func(peer messenger.Peer, addr netip.AddrPort) bool {
		_, isTarget := r.targets[addr]
		return !isTarget && !hasConnection(peer)
	})
}

// list returns the targets in order.
func (r *relayTargets) list() []netip.AddrPort {
	return slices.SortedFunc(maps.Keys(r.targets), netip.AddrPort.Compare)
}

// use applies that a message is sent to an address. It returns the agent through which the latest
// message came, if any, and whether this is the first one that is sent.
func (r *relayTargets) use(addr netip.AddrPort) (via messenger.Peer, isFirst bool) {
	t := r.targets[addr]
	isFirst = !t.isUsed
	t.isUsed = true
	r.targets[addr] = t
	return t.via, isFirst
}

// reached returns the entries, in order, whose messages come through agents.
func (r *relayTargets) reached() (peers []messenger.Peer) {
	for peer, addr := range r.addrs {
		if r.targets[addr].via != "" {
			peers = append(peers, peer)
		}
	}
	slices.Sort(peers)
	return peers
}

// addrOf returns the address of an entry if it is a target.
func (r *relayTargets) addrOf(peer messenger.Peer) (addr netip.AddrPort, ok bool) {
	addr, ok = r.addrs[peer]
	if ok {
		_, ok = r.targets[addr]
	}
	return addr, ok
}
