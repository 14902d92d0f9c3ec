package applier

import (
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
)

// FollowerOutput lists the actions that the caller of [Follower.Take] carries out.
type FollowerOutput struct {
	Sends []Send
	// InForce is the document that has come into force since the last call, or nil.
	InForce *Document
}

// Follower is the configuration state of an agent.
type Follower struct {
	limits Limits
	versionTracker
	entries         []*connectedEntry // entries are the connected entries, in order of connection.
	sourceReachable bool
	everConnected   bool // everConnected is set once an entry has connected.
}

// connectedEntry is an agent's view of a connected entry.
type connectedEntry struct {
	peer       messenger.Peer
	readsTable bool // readsTable is set if the entry reports that it reaches the table.
	// reportPending is set while the entry has not been sent the current state;
	// reportPendingSince is when it was set.
	reportPending      bool
	reportPendingSince time.Time
}

// NewFollower returns the state of an agent that has no version in force.
func NewFollower(now time.Time, l Limits) *Follower {
	return &Follower{limits: l, versionTracker: versionTracker{startedAt: now}}
}

// Version returns the version in force, or 0.
func (f *Follower) Version() uint64 { return f.inForce.Number }

// EntryUp adds a connection to an entry. The version is the one in force there, or 0.
func (f *Follower) EntryUp(now time.Time, entry messenger.Peer, version uint64) {
	f.EntryDown(now, entry)
	if !f.everConnected {
		f.everConnected = true
		f.startedAt = now
	}
	f.entries = append(f.entries, &connectedEntry{peer: entry, reportPending: f.inForce.Number > 0, reportPendingSince: now})
	f.observeNumber(version)
}

// EntryDown removes a connection.
func (f *Follower) EntryDown(now time.Time, entry messenger.Peer) {
	f.entries = slices.DeleteFunc(f.entries, func(s *connectedEntry) bool { return s.peer == entry })
	f.updateReachability(now)
}

// Receive applies a message of an entry.
func (f *Follower) Receive(now time.Time, from messenger.Peer, m *messenger.Config) {
	i := slices.IndexFunc(f.entries, func(s *connectedEntry) bool { return s.peer == from })
	if i < 0 {
		return
	}
	s := f.entries[i]
	s.readsTable = m.SourceReachable
	f.observeNumber(m.Version)
	if len(m.Document) > 0 {
		before := f.inForce.Number
		f.addDocument(now, Document{Number: m.Version, Text: m.Document})
		if f.inForce.Number > before {
			f.markReportsPending(now)
		}
		// The entry would not have sent the document if it knew this agent's version, so
		// the agent reports it.
		s.markReportPending(now)
	}
	f.updateReachability(now)
}

// Tick applies timeouts up to now.
func (f *Follower) Tick(now time.Time) {
	if f.everConnected && now.Sub(f.startedAt) >= f.limits.DiscoveryPeriod {
		f.discoveryDone = true
	}
	if f.activatePending(now) {
		f.markReportsPending(now)
	}
}

// TakeReport returns the pending report to an entry, or nil, so that the caller can
// send it with another message to the entry.
func (f *Follower) TakeReport(now time.Time, entry messenger.Peer) *messenger.Config {
	i := slices.IndexFunc(f.entries, func(s *connectedEntry) bool { return s.peer == entry && s.reportPending })
	if i < 0 {
		return nil
	}
	f.entries[i].reportPending = false
	return f.report(now)
}

// Take returns the pending actions and clears them.
func (f *Follower) Take(now time.Time) FollowerOutput {
	out := FollowerOutput{InForce: f.takeActivated()}
	for _, s := range f.entries {
		if s.reportPending && now.Sub(s.reportPendingSince) >= f.limits.MaxReportDelay {
			s.reportPending = false
			out.Sends = append(out.Sends, Send{To: s.peer, Config: f.report(now)})
		}
	}
	return out
}

// Status returns the status of this agent relative to the current version.
func (f *Follower) Status() Status {
	return Status{
		Role:    messenger.RoleAgent,
		State:   f.state(f.sourceReachable),
		Version: f.inForce.Number,
		Highest: f.highest,
		Since:   f.inForceSince,
	}
}

func (f *Follower) report(now time.Time) *messenger.Config {
	return &messenger.Config{Version: f.inForce.Number, SourceReachable: f.sourceReachable, Age: f.age(now)}
}

// markReportsPending marks a report as pending for every entry.
func (f *Follower) markReportsPending(now time.Time) {
	for _, s := range f.entries {
		s.markReportPending(now)
	}
}

func (s *connectedEntry) markReportPending(now time.Time) {
	if !s.reportPending {
		s.reportPending, s.reportPendingSince = true, now
	}
}

// updateReachability recomputes whether the agent can learn the current version.
func (f *Follower) updateReachability(now time.Time) {
	reachable := slices.ContainsFunc(f.entries, func(s *connectedEntry) bool { return s.readsTable })
	if reachable != f.sourceReachable {
		f.sourceReachable = reachable
		f.markReportsPending(now)
	}
}
