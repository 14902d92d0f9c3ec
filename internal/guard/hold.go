package guard

import (
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
)

// echoDelay reports whether a pending echo to an entry may wait to be sent with
// other content, and until when. The echo of a message with starts is sent with
// their results; a message without starts only asks for the echo and gets it at
// once. The delay is bounded, because leases depend on echoes.
func (g *Guard) echoDelay(now time.Time, l *connection) (until time.Time, ok bool) {
	if l.echoAtOnce || l.frame != nil {
		return now, false
	}
	until = l.echoDueSince.Add(g.limits.MaxEchoDelay)
	return until, now.Before(until)
}

// recordPing records a ping and whether its echo may be delayed.
func (l *connection) recordPing(now time.Time, f *messenger.Frame) {
	if f.Contact == nil || f.Contact.Ping <= l.ping {
		return
	}
	l.ping = f.Contact.Ping
	if len(f.Starts) == 0 {
		l.echoAtOnce = true
	}
	l.markEchoDue(now)
}

// markEchoDue records the time since which an echo is pending, unless one is already.
func (l *connection) markEchoDue(now time.Time) {
	if l.echoDueSince.IsZero() {
		l.echoDueSince = now
	}
}

// clearSent clears the pending frame and echo when the frame is sent.
func (l *connection) clearSent() {
	l.echoed = l.ping
	l.frame = nil
	l.echoAtOnce = false
	l.echoDueSince = time.Time{}
}

// echoDue reports whether an echo must be sent to the entry now.
func (g *Guard) echoDue(now time.Time, l *connection) bool {
	if l.ping == l.echoed {
		return false
	}
	_, waits := g.echoDelay(now, l)
	return !waits
}
