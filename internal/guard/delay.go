package guard

import (
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
)

// echoDelay reports whether a pending echo to an entry may wait to be sent with
// other content, and until when. The echo of a message with starts is sent with
// their results; a message without starts only asks for the echo and gets it at
// once. The delay is bounded, because leases depend on echoes.
func (g *Guard) echoDelay(now time.Time, c *connection) (until time.Time, ok bool) {
	if c.echoAtOnce || c.frame != nil {
		return now, false
	}
	until = c.echoDueSince.Add(g.limits.MaxEchoDelay)
	return until, now.Before(until)
}

// recordPing records a ping and whether its echo may be delayed.
func (c *connection) recordPing(now time.Time, f *messenger.Frame) {
	if f.Contact == nil || f.Contact.Ping <= c.ping {
		return
	}
	c.ping = f.Contact.Ping
	if len(f.Starts) == 0 {
		c.echoAtOnce = true
	}
	c.markEchoDue(now)
}

// markEchoDue records the time since which an echo is pending, unless one is already.
func (c *connection) markEchoDue(now time.Time) {
	if c.echoDueSince.IsZero() {
		c.echoDueSince = now
	}
}

// clearSent clears the pending frame and echo when the frame is sent.
func (c *connection) clearSent() {
	c.echoed = c.ping
	c.frame = nil
	c.echoAtOnce = false
	c.echoDueSince = time.Time{}
}

// echoDue reports whether an echo must be sent to the entry now.
func (g *Guard) echoDue(now time.Time, c *connection) bool {
	if c.ping == c.echoed {
		return false
	}
	_, delayed := g.echoDelay(now, c)
	return !delayed
}
