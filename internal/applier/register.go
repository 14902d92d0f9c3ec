// Package applier decides which version of the operators' configuration is in
// force at a process.
//
// Versions are numbered, and numbers only grow. An [Applier] is the state of an
// entry: it polls the number of the current version in the platform's table, asks
// for the document when the number grows, and passes the number on to its peers.
// A [Follower] is the state of an agent, which reads nothing and takes versions
// from the entries it is connected to.
//
// The rule of both is the same. A process remembers the highest number that any
// source has shown it and never puts a lower version in force than the one in
// force. A process that has nothing in force yet, as after a restart, takes
// nothing below the highest number shown either, and while the table does not
// answer it first listens for a while to those who know. So no order of messages,
// no restart and no outage brings an old version back.
//
// The package does no I/O: events come in with a time, and Take returns what to do.
package applier

import (
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
)

// Limits are the settings of an applier or follower.
type Limits struct {
	// PollEvery is the pause between two reads of the current number.
	PollInterval time.Duration
	// FreshFor is how long the answer to a read proves that a process can learn
	// the current version.
	ConfirmationTTL time.Duration
	// RetryEvery is the pause before a message that had no effect is repeated.
	RetryInterval time.Duration
	// SettleFor is how long a process without a version listens before it takes
	// one that does not come from the table.
	DiscoveryPeriod time.Duration
	// ReportWithin is how long a report of an agent waits for another message to
	// the same entry that it can ride on.
	MaxReportDelay time.Duration
}

// DefaultLimits returns the limits that processes run with.
func DefaultLimits() Limits {
	return Limits{
		PollInterval:    time.Second,
		ConfirmationTTL: 8 * time.Second,
		RetryInterval:   2 * time.Second,
		DiscoveryPeriod: 3 * time.Second,
		MaxReportDelay:  time.Second,
	}
}

// Document is a version with its number.
type Document struct {
	Number uint64
	Text   []byte
}

// Send is a message for one peer.
type Send struct {
	To     messenger.Peer
	Config *messenger.Config
	// Settings is set if the message must carry the settings of the agent as its
	// document, which the sender of the message adds.
	AddSettings bool
}

// State says how a process stands to the current version.
type State string

// The states of a process.
const (
	StateCurrent     State = "current"     // The latest version is in force and a later one would be learned.
	StateBehind      State = "behind"      // A later version is known and not in force.
	StateUnconfirmed State = "unconfirmed" // A later version could not be learned.
	StateNone        State = "none"        // No version is in force.
)

// States returns all states.
func States() []State { return []State{StateCurrent, StateBehind, StateUnconfirmed, StateNone} }

// Status is how one process stands to the current version.
type Status struct {
	Process    messenger.Peer `json:"process"`
	Role       messenger.Role `json:"role"`
	DataCentre string         `json:"data-centre"`
	State      State          `json:"state"`
	Version    uint64         `json:"version"` // Version is the one in force, or 0.
	// Highest is the highest number that any source has shown.
	Highest uint64 `json:"highest"`
	// Since is when the version came into force, by the clock of the process that
	// reports; zero if none is in force.
	Since time.Time `json:"since,omitzero"`
	// Confirmed is when the table last said which version is current; zero if it
	// never did or the process reads no table.
	Confirmed time.Time `json:"confirmed,omitzero"`
	Detail    string    `json:"detail,omitempty"`
}

// register is the rule that entries and agents share.
type register struct {
	started time.Time
	settled bool // settled is set once a version may be taken from any source.
	inForce Document
	since   time.Time
	// highest is the highest number shown and never below that in force.
	highest uint64
	// pending is the highest document that could not be put in force yet.
	pending Document
	// taken is set while the document in force has not been handed out.
	taken bool
}

// show applies a number that a source has shown.
func (r *register) show(number uint64) { r.highest = max(r.highest, number) }

// offer applies a document that a source has shown.
func (r *register) offer(now time.Time, d Document) {
	r.show(d.Number)
	if d.Number > r.pending.Number {
		r.pending = d
	}
	r.settle(now)
}

// settle puts the pending document in force if the rule allows it, and reports
// whether it did.
func (r *register) settle(now time.Time) bool {
	if r.pending.Number <= r.inForce.Number {
		return false
	}
	first := r.inForce.Number == 0
	if first && (!r.settled || r.pending.Number < r.highest) {
		return false
	}
	r.inForce = r.pending
	r.since = now
	r.taken = true
	return true
}

// lacks reports whether a version is known whose document is not at hand.
func (r *register) lacks() bool { return r.highest > max(r.inForce.Number, r.pending.Number) }

// take returns the document that has come into force since the last call.
func (r *register) take() *Document {
	if !r.taken {
		return nil
	}
	r.taken = false
	d := r.inForce
	return &d
}

func (r *register) age(now time.Time) time.Duration {
	if r.inForce.Number == 0 {
		return 0
	}
	return now.Sub(r.since)
}

// state returns the state of a process with this register.
func (r *register) state(fresh bool) State {
	switch {
	case r.inForce.Number == 0:
		return StateNone
	case r.highest > r.inForce.Number:
		return StateBehind
	case !fresh:
		return StateUnconfirmed
	}
	return StateCurrent
}
