package applier

import (
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
)

// FollowerOutput is what an agent has to do.
type FollowerOutput struct {
	Sends []Send
	// InForce is the document that has come into force, or nil.
	InForce *Document
}

// Follower is the state of an agent.
type Follower struct {
	limits Limits
	register
	entries   []*source // entries are connected, in order of arrival.
	wasFresh  bool
	connected bool // connected is set once an entry was connected.
}

// source is a connected entry.
type source struct {
	peer  messenger.Peer
	fresh bool // fresh is set if the entry reads the table.
	// owed is set while the entry has not been told the present state, and owedAt
	// since when.
	owed   bool
	owedAt time.Time
}

// NewFollower returns the state of an agent that has nothing in force.
func NewFollower(now time.Time, l Limits) *Follower {
	return &Follower{limits: l, register: register{started: now}}
}

// Version returns the version in force, or 0.
func (f *Follower) Version() uint64 { return f.inForce.Number }

// EntryUp adds a connection to an entry that has a version in force, or 0.
func (f *Follower) EntryUp(now time.Time, entry messenger.Peer, version uint64) {
	f.EntryDown(now, entry)
	if !f.connected {
		f.connected = true
		f.started = now
	}
	f.entries = append(f.entries, &source{peer: entry, owed: f.inForce.Number > 0, owedAt: now})
	f.show(version)
}

// EntryDown removes a connection.
func (f *Follower) EntryDown(now time.Time, entry messenger.Peer) {
	f.entries = slices.DeleteFunc(f.entries, func(s *source) bool { return s.peer == entry })
	f.refresh(now)
}

// Receive applies a message of an entry.
func (f *Follower) Receive(now time.Time, from messenger.Peer, m *messenger.Config) {
	i := slices.IndexFunc(f.entries, func(s *source) bool { return s.peer == from })
	if i < 0 {
		return
	}
	s := f.entries[i]
	s.fresh = m.SourceReachable
	f.show(m.Version)
	if len(m.Document) > 0 {
		before := f.inForce.Number
		f.offer(now, Document{Number: m.Version, Text: m.Document})
		if f.inForce.Number > before {
			f.owe(now)
		}
		// The entry does not know what this agent has, or it would not have sent it.
		s.oweNow(now)
	}
	f.refresh(now)
}

// Tick applies the passing of time.
func (f *Follower) Tick(now time.Time) {
	if f.connected && now.Sub(f.started) >= f.limits.DiscoveryPeriod {
		f.settled = true
	}
	if f.settle(now) {
		f.owe(now)
	}
}

// Ride returns the report that is owed to an entry, or nil, so that it goes with
// another message to the entry.
func (f *Follower) TakeReport(now time.Time, entry messenger.Peer) *messenger.Config {
	i := slices.IndexFunc(f.entries, func(s *source) bool { return s.peer == entry && s.owed })
	if i < 0 {
		return nil
	}
	f.entries[i].owed = false
	return f.report(now)
}

// Take returns what is to be done and clears it.
func (f *Follower) Take(now time.Time) FollowerOutput {
	out := FollowerOutput{InForce: f.take()}
	for _, s := range f.entries {
		if s.owed && now.Sub(s.owedAt) >= f.limits.MaxReportDelay {
			s.owed = false
			out.Sends = append(out.Sends, Send{To: s.peer, Config: f.report(now)})
		}
	}
	return out
}

// Status returns how this agent stands to the current version.
func (f *Follower) Status() Status {
	return Status{
		Role:    messenger.RoleAgent,
		State:   f.state(f.wasFresh),
		Version: f.inForce.Number,
		Highest: f.highest,
		Since:   f.since,
	}
}

func (f *Follower) report(now time.Time) *messenger.Config {
	return &messenger.Config{Version: f.inForce.Number, SourceReachable: f.wasFresh, Age: f.age(now)}
}

// owe notes that every entry is to be told the present state.
func (f *Follower) owe(now time.Time) {
	for _, s := range f.entries {
		s.oweNow(now)
	}
}

func (s *source) oweNow(now time.Time) {
	if !s.owed {
		s.owed, s.owedAt = true, now
	}
}

// refresh notes whether the agent can learn the current version.
func (f *Follower) refresh(now time.Time) {
	fresh := slices.ContainsFunc(f.entries, func(s *source) bool { return s.fresh })
	if fresh != f.wasFresh {
		f.wasFresh = fresh
		f.owe(now)
	}
}
