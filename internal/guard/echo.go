package guard

import (
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
)

// waits reports whether the echo that is owed to an entry may wait for more to go
// with it, and until when. An echo of a message that brought starts rides on their
// results; a message without starts asks for nothing but the echo and gets it at
// once. The wait is bounded, since leases rest on echoes.
func (g *Guard) echoDelay(now time.Time, l *connection) (until time.Time, ok bool) {
	if l.echoAtOnce || l.frame != nil {
		return now, false
	}
	until = l.echoDueSince.Add(g.limits.MaxEchoDelay)
	return until, now.Before(until)
}

// contact notes a ping and whether its echo may wait.
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

// owe notes since when an echo is owed to the entry.
func (l *connection) markEchoDue(now time.Time) {
	if l.echoDueSince.IsZero() {
		l.echoDueSince = now
	}
}

// paid clears what was owed when a frame goes out.
func (l *connection) clearSent() {
	l.echoed = l.ping
	l.frame = nil
	l.echoAtOnce = false
	l.echoDueSince = time.Time{}
}

// mustEcho reports whether an echo goes to the entry now in any case.
func (g *Guard) echoDue(now time.Time, l *connection) bool {
	if l.ping == l.echoed {
		return false
	}
	_, waits := g.echoDelay(now, l)
	return !waits
}
