package agent

import (
	"context"
	"net/netip"
	"time"

	"sardinelock.dev/sardinelock/internal/connector"
	"sardinelock.dev/sardinelock/internal/messenger"
)

// dialEntries dials the entries that are not connected. It runs on the control
// thread; the dialling does not.
func (a *Agent) dialEntries(time.Time) {
	for addr, busy := range a.targets {
		if busy {
			continue
		}
		a.targets[addr] = true
		go a.link(addr)
	}
}

// link connects to one entry and serves the connection until it ends.
func (a *Agent) link(addr netip.AddrPort) {
	defer a.loop.Post(func(time.Time) { a.targets[addr] = false })
	conn, err := connector.Dial(a.background, a.entryURL(addr), connector.Options{
		Hello:  a.hello,
		Counts: &a.counts,
		Client: a.dialer,
	})
	if err != nil {
		return
	}
	entry := conn.Hello().Peer
	up := a.loop.Call(func(now time.Time) {
		if old := a.conns[entry]; old != nil {
			old.Close()
			a.guard.EntryDown(now, entry)
		}
		a.conns[entry] = conn
		a.guard.EntryUp(now, entry)
		a.follower.EntryUp(now, entry, conn.Hello().ConfigVersion)
	})
	if !up {
		conn.Close()
		return
	}
	stop := context.AfterFunc(a.background, conn.Close)
	defer stop()
	err = conn.Run(func(f *messenger.Frame) {
		a.loop.Post(func(now time.Time) { a.receive(now, entry, conn, f) })
	})
	a.loop.Post(func(now time.Time) { a.unlink(now, entry, conn, err) })
}

func (a *Agent) receive(now time.Time, entry messenger.Peer, conn *connector.Conn, f *messenger.Frame) {
	if a.conns[entry] != conn {
		return
	}
	if f.Routes != nil {
		for _, e := range f.Routes.Entries {
			if _, known := a.targets[e.Addr]; !known {
				a.targets[e.Addr] = false
			}
		}
	}
	if f.Config != nil {
		a.follower.Receive(now, entry, f.Config)
	}
	a.guard.Receive(now, entry, f)
}

func (a *Agent) unlink(now time.Time, entry messenger.Peer, conn *connector.Conn, cause error) {
	if a.conns[entry] != conn {
		return
	}
	delete(a.conns, entry)
	a.guard.EntryDown(now, entry)
	a.follower.EntryDown(now, entry)
	a.settings.Logger.Info().Str("event", "peer-down").Str("peer", string(entry)).Err(cause).Msg("connection ended")
}

func (a *Agent) hello() messenger.Hello {
	h := messenger.Hello{
		Version:    messenger.ProtocolVersion,
		Peer:       a.settings.Peer,
		Role:       messenger.RoleAgent,
		Region:     a.settings.Region,
		DataCentre: a.settings.DataCentre,
		Rack:       a.settings.Rack,
	}
	a.loop.Call(func(time.Time) {
		h.Epochs = a.guard.Epochs()
		h.ConfigVersion = a.follower.Version()
	})
	return h
}
