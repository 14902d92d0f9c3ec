package guard

import (
	"time"

	"sardinelock.dev/sardinelock/internal/invoker"
	"sardinelock.dev/sardinelock/internal/messenger"
)

// Upstream returns the latest announcement and the state of the upstream.
func (g *Guard) Upstream() (invoker.Announcement, messenger.UpstreamState) {
	return g.upstream, g.state
}

// Announce applies an announcement of the upstream.
func (g *Guard) Announce(now time.Time, a invoker.Announcement) {
	before := *g.capacity()
	g.upstream = a
	g.announcementExpiry = now.Add(time.Duration(a.TimeToLive))
	g.state = messenger.UpstreamServing
	if a.Leaving {
		g.state = messenger.UpstreamLeaving
	}
	if !sameCapacity(&before, g.capacity()) {
		g.broadcastCapacity()
	}
	g.startWaiting(now)
}

func (g *Guard) capacity() *messenger.Capacity {
	return &messenger.Capacity{
		State:        g.state,
		Services:     g.upstream.Services,
		Slots:        g.upstream.Slots,
		Connections:  g.upstream.Connections,
		MemoryBytes:  g.upstream.MemoryBytes,
		Accelerators: g.upstream.Accelerators,
	}
}

func (g *Guard) broadcastCapacity() {
	for _, entry := range g.entryOrder {
		g.frameTo(entry).Capacity = g.capacity()
	}
}

func sameCapacity(a, b *messenger.Capacity) bool {
	if len(a.Services) != len(b.Services) {
		return false
	}
	for i := range a.Services {
		if a.Services[i] != b.Services[i] {
			return false
		}
	}
	return a.State == b.State && a.Slots == b.Slots && a.Connections == b.Connections &&
		a.MemoryBytes == b.MemoryBytes && a.Accelerators == b.Accelerators
}
