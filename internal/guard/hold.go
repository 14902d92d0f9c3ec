package guard

import (
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
)

// waits reports whether the echo that is owed to an entry may wait for more to go
// with it, and until when. An echo of a message that brought starts rides on their
// results; a message without starts asks for nothing but the echo and gets it at
// once. The wait is bounded, since leases rest on echoes.
func (g *Guard) waits(now time.Time, l *link) (until time.Time, ok bool) {
	if l.prompt || l.frame != nil {
		return now, false
	}
	until = l.owed.Add(g.limits.MaxEchoDelay)
	return until, now.Before(until)
}

// contact notes a ping and whether its echo may wait.
func (l *link) contact(now time.Time, f *messenger.Frame) {
	if f.Contact == nil || f.Contact.Ping <= l.ping {
		return
	}
	l.ping = f.Contact.Ping
	if len(f.Starts) == 0 {
		l.prompt = true
	}
	l.owe(now)
}

// owe notes since when an echo is owed to the entry.
func (l *link) owe(now time.Time) {
	if l.owed.IsZero() {
		l.owed = now
	}
}

// paid clears what was owed when a frame goes out.
func (l *link) paid() {
	l.echoed = l.ping
	l.frame = nil
	l.prompt = false
	l.owed = time.Time{}
}

// mustEcho reports whether an echo goes to the entry now in any case.
func (g *Guard) mustEcho(now time.Time, l *link) bool {
	if l.ping == l.echoed {
		return false
	}
	_, waits := g.waits(now, l)
	return !waits
}
