package broker

import (
	"net/netip"
	"slices"

	"sardinelock.dev/sardinelock/internal/messenger"
)

// directory holds the entries that this entry is connected to, for agents and other
// entries. A new connection is sent the whole list; after that, only entries that were
// added are sent, since no frame of a connection is lost before the connection ends.
type directory struct {
	entries map[messenger.Peer]netip.AddrPort
	// added holds the entries that connected since the last call of takeAdded, and may
	// have disconnected since.
	added []messenger.Peer
}

func (d *directory) connected(peer messenger.Peer, addr netip.AddrPort) {
	if d.entries == nil {
		d.entries = make(map[messenger.Peer]netip.AddrPort)
	}
	d.entries[peer] = addr
	d.added = append(d.added, peer)
}

func (d *directory) disconnected(peer messenger.Peer) { delete(d.entries, peer) }

// list returns each address once: this entry's own, those of the connected entries, and
// the other known ones.
func (d *directory) list(own netip.AddrPort, known []netip.AddrPort) []messenger.EntryAddr {
	list := []messenger.EntryAddr{{Addr: own, Connected: true}}
	listed := map[netip.AddrPort]bool{own: true}
	add := func(addr netip.AddrPort, connected bool) {
		if !listed[addr] {
			listed[addr] = true
			list = append(list, messenger.EntryAddr{Addr: addr, Connected: connected})
		}
	}
	for _, addr := range d.entries {
		add(addr, true)
	}
	for _, addr := range known {
		add(addr, false)
	}
	slices.SortFunc(list, func(x, y messenger.EntryAddr) int { return x.Addr.Compare(y.Addr) })
	return list
}

// takeAdded returns the entries that connected since the last call and still are.
func (d *directory) takeAdded() (added []messenger.EntryAddr) {
	for _, peer := range d.added {
		if addr, ok := d.entries[peer]; ok {
			added = append(added, messenger.EntryAddr{Addr: addr, Connected: true})
		}
	}
	d.added = nil
	return added
}

func routesFrame(entries []messenger.EntryAddr) *messenger.Frame {
	return &messenger.Frame{Routes: &messenger.Routes{Entries: entries}}
}
