package agent

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"sardinelock.dev/sardinelock/internal/connector"
	"sardinelock.dev/sardinelock/internal/messenger"
)

// target is the address of an entry that the agent dials.
type target struct {
	active     bool      // active is set while the entry is connected or being dialled.
	configured bool      // configured is set for an address from the settings.
	failures   int       // failures counts the failed dials since the last connection.
	nextDial   time.Time // nextDial is when the address may be dialled again.
}

const (
	minRedialDelay = 250 * time.Millisecond
	maxRedialDelay = time.Second
)

// dialEntries dials the entries that are not connected. It runs on the control
// thread; each dial runs on its own goroutine.
func (a *Agent) dialEntries(now time.Time) {
	for addr, t := range a.targets {
		if t.active || now.Before(t.nextDial) {
			continue
		}
		t.active = true
		go a.connect(addr)
	}
}

// scheduleRedial schedules the next dial of an address after a connection or a dial has
// ended. The backoff doubles with every failure and is jittered, so that the agents of
// a region do not all dial a restarted entry at once.
func (a *Agent) scheduleRedial(now time.Time, addr netip.AddrPort, connected bool) {
	t := a.targets[addr]
	if t == nil {
		return
	}
	t.active = false
	if connected {
		t.failures = 0
	}
	delay := min(minRedialDelay<<min(t.failures, 8), maxRedialDelay)
	t.failures++
	t.nextDial = now.Add(delay/2 + rand.N(delay))
}

// setRoutes replaces the entries that the agent dials with the ones listed by an entry.
// Addresses from the settings stay, and so do connected ones.
func (a *Agent) setRoutes(entries []messenger.EntryAddr) {
	listed := make(map[netip.AddrPort]bool, len(entries))
	for _, e := range entries {
		listed[e.Addr] = true
		if a.targets[e.Addr] == nil {
			a.targets[e.Addr] = &target{}
		}
	}
	for addr, t := range a.targets {
		if !listed[addr] && !t.configured && !t.active {
			delete(a.targets, addr)
		}
	}
}

// connect connects to one entry and serves the connection until it ends.
func (a *Agent) connect(addr netip.AddrPort) {
	connected := false
	defer func() {
		a.loop.Post(func(now time.Time) { a.scheduleRedial(now, addr, connected) })
	}()
	conn, err := connector.Dial(a.background, a.entryURL(addr), connector.Options{
		Hello:  a.hello,
		Counts: &a.counts,
		Client: a.dialer,
	})
	if err != nil {
		return
	}
	connected = true
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
	a.loop.Post(func(now time.Time) { a.disconnect(now, entry, conn, err) })
}

func (a *Agent) receive(now time.Time, entry messenger.Peer, conn *connector.Conn, f *messenger.Frame) {
	if a.conns[entry] != conn {
		return
	}
	if f.Routes != nil && len(f.Routes.Entries) > 0 {
		a.setRoutes(f.Routes.Entries)
	}
	if f.Config != nil {
		a.follower.Receive(now, entry, f.Config)
	}
	if f.Expel != nil && !a.guard.Expelled() {
		a.settings.Logger.Warn().Str("entry", string(entry)).Uint64("roster", f.Expel.RosterVersion).
			Msg("an operator has declared this agent dead; it starts no tasks until it is restarted")
	}
	a.guard.Receive(now, entry, f)
}

func (a *Agent) disconnect(now time.Time, entry messenger.Peer, conn *connector.Conn, cause error) {
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
