// Package applier decides which version of the operators' configuration is in
// force at a process.
//
// Versions are numbered, and numbers only increase. An [Applier] is the state of an
// entry: it polls the number of the current version in the platform's table, fetches
// the document when the number increases, and sends the number to its peers. A
// [Follower] is the state of an agent, which does not read the table and receives
// versions from the entries that it is connected to.
//
// Both follow the same rule. A process records the highest number that it has seen
// from any source, and never replaces the version in force with a lower one. A process
// without a version in force, for example after a restart, does not activate a version
// below the highest number seen. If the table does not answer, it also waits for
// [Limits.DiscoveryPeriod] to learn which versions its peers have. So neither reordered
// messages nor a restart nor an outage reinstates an old version.
//
// The package does no I/O: events are passed in with a time, and Take returns the
// actions to carry out.
package applier

import (
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
)

// Limits are the settings of an applier or follower.
type Limits struct {
	// PollInterval is the time between two reads of the current version number.
	PollInterval time.Duration
	// ConfirmationTTL is how long a successful read counts as proof that the process can
	// learn the current version.
	ConfirmationTTL time.Duration
	// RetryInterval is the time after which a message without effect is repeated.
	RetryInterval time.Duration
	// DiscoveryPeriod is how long a process without a version in force collects the
	// numbers of its peers before it activates a version that the table has not
	// confirmed.
	DiscoveryPeriod time.Duration
	// MaxReportDelay is how long an agent delays a report in order to send it with
	// another message to the same entry.
	MaxReportDelay time.Duration
}

// DefaultLimits returns the limits that processes use.
func DefaultLimits() Limits {
	return Limits{
		PollInterval:    time.Second,
		ConfirmationTTL: 8 * time.Second,
		RetryInterval:   2 * time.Second,
		DiscoveryPeriod: 3 * time.Second,
		MaxReportDelay:  time.Second,
	}
}

// Document is the text of a version with its number.
type Document struct {
	Number uint64
	Text   []byte
}

// Send is a message for one peer.
type Send struct {
	To     messenger.Peer
	Config *messenger.Config
	// AddSettings is set if the caller must add the settings of the agent to the message
	// as its document.
	AddSettings bool
}

// State is the state of a process relative to the current version.
type State string

// The states of a process.
const (
	StateCurrent     State = "current"     // The highest known version is in force, and the process would learn of a later one.
	StateBehind      State = "behind"      // A later version is known but not in force.
	StateUnconfirmed State = "unconfirmed" // The highest known version is in force, but the process would not learn of a later one.
	StateNone        State = "none"        // No version is in force.
)

// States returns all states.
func States() []State { return []State{StateCurrent, StateBehind, StateUnconfirmed, StateNone} }

// Status is the status of one process relative to the current version.
type Status struct {
	Process    messenger.Peer `json:"process"`
	Role       messenger.Role `json:"role"`
	DataCentre string         `json:"data-centre"`
	State      State          `json:"state"`
	Version    uint64         `json:"version"` // Version is the version in force, or 0.
	// Highest is the highest version number that the reporter has seen.
	Highest uint64 `json:"highest"`
	// Since is when the version came into force, by the reporter's clock; zero if none is
	// in force.
	Since time.Time `json:"since,omitzero"`
	// Confirmed is when the current version number was last read from the table; zero if
	// it never was or the process does not read the table.
	Confirmed time.Time `json:"confirmed,omitzero"`
	Detail    string    `json:"detail,omitempty"`
}

// versionTracker implements the activation rule that entries and agents share.
type versionTracker struct {
	startedAt     time.Time
	discoveryDone bool // discoveryDone is set once a version of any source may be activated.
	inForce       Document
	inForceSince  time.Time
	// highest is the highest number seen; it is never below the number in force.
	highest uint64
	// pending is the document with the highest number received. It waits for activation
	// if its number is above that in force.
	pending Document
	// undelivered is set while the document in force has not been returned to the caller.
	undelivered bool
}

// observeNumber records a version number that a source has reported.
func (r *versionTracker) observeNumber(number uint64) { r.highest = max(r.highest, number) }

// addDocument records a document that a source has sent, and activates it if allowed.
func (r *versionTracker) addDocument(now time.Time, d Document) {
	r.observeNumber(d.Number)
	if d.Number > r.pending.Number {
		r.pending = d
	}
	r.activatePending(now)
}

// activatePending puts the pending document in force if the activation rule allows it.
// It reports whether it did.
func (r *versionTracker) activatePending(now time.Time) bool {
	if r.pending.Number <= r.inForce.Number {
		return false
	}
	initial := r.inForce.Number == 0
	if initial && (!r.discoveryDone || r.pending.Number < r.highest) {
		return false
	}
	r.inForce = r.pending
	r.inForceSince = now
	r.undelivered = true
	return true
}

// documentMissing reports whether the document of the highest known version has not
// been received.
func (r *versionTracker) documentMissing() bool {
	return r.highest > max(r.inForce.Number, r.pending.Number)
}

// takeActivated returns the document that has come into force since the last call, or
// nil.
func (r *versionTracker) takeActivated() *Document {
	if !r.undelivered {
		return nil
	}
	r.undelivered = false
	d := r.inForce
	return &d
}

// age returns the time since the version came into force, or 0 if none is in force.
func (r *versionTracker) age(now time.Time) time.Duration {
	if r.inForce.Number == 0 {
		return 0
	}
	return now.Sub(r.inForceSince)
}

// state returns the state of the process. canLearnLatest is set if the process would learn
// of a later version.
func (r *versionTracker) state(canLearnLatest bool) State {
	switch {
	case r.inForce.Number == 0:
		return StateNone
	case r.highest > r.inForce.Number:
		return StateBehind
	case !canLearnLatest:
		return StateUnconfirmed
	}
	return StateCurrent
}
