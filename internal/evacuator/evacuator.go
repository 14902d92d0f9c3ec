// Package evacuator decides in which data centres a process may start tasks.
//
// An operator's request to evacuate a data centre is state with a version that only grows. A process
// learns of it from the store or from any peer, and the highest version wins, so the order in which it
// hears of versions does not matter. An entry or agent that has just started knows no version and starts
// nothing. An entry that was paused may have missed a request, so it launches nothing until a source
// confirms the version in force, or until none has done so in time.
//
// An [Evacuator] does no I/O: it is given events and the time. Times are durations on the process's
// clock. A nil Evacuator is one of a deployment without evacuations: it allows everything.
package evacuator

import (
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
)

// Limits are the settings of an [Evacuator].
type Limits struct {
	// PauseLimit is the shortest pause of the process after which the version in force must be
	// confirmed.
	PauseLimit time.Duration
	// ConfirmTimeout is how long starts wait for a confirmation after a pause. Without one, no source
	// that could know of a higher version is within reach.
	ConfirmTimeout time.Duration
}

// Evacuator is the state of one process.
type Evacuator struct {
	limits  Limits
	current messenger.Evacuations // current is the version in force; Version is 0 while none is known.
	// confirmedAt is when the version in force was last known to be the latest.
	confirmedAt time.Duration
	advancedAt  time.Duration // advancedAt is when Advance was last called.
	// unconfirmedSince is when the latest pause ended; 0 once the version is confirmed.
	unconfirmedSince time.Duration
}

// New returns an evacuator that knows no version.
func New(l Limits) *Evacuator {
	return &Evacuator{limits: l}
}

// Change is a change of the version in force.
type Change struct {
	Version      uint64   // Version is the one that came into force.
	Begun, Ended []string // Begun and Ended are data centres, in order.
}

// Offer applies a version that a source had at the given time. It reports whether that version is now in
// force for the first time, and what that changes.
func (e *Evacuator) Offer(offered messenger.Evacuations, asOf time.Duration) (c Change, applied bool) {
	if e == nil || offered.Version < e.current.Version || offered.Version == 0 {
		return Change{}, false
	}
	e.confirmedAt = max(e.confirmedAt, asOf)
	if offered.Version == e.current.Version {
		return Change{}, false
	}
	names := slices.Compact(slices.Sorted(slices.Values(offered.DataCentres)))
	c = Change{Version: offered.Version, Begun: without(names, e.current.DataCentres), Ended: without(e.current.DataCentres, names)}
	e.current = messenger.Evacuations{Version: offered.Version, DataCentres: names}
	return c, true
}

// without returns the elements of a list that are not in another one.
func without(list, excluded []string) (rest []string) {
	for _, s := range list {
		if !slices.Contains(excluded, s) {
			rest = append(rest, s)
		}
	}
	return rest
}

// Version returns the version in force; 0 if none is known.
func (e *Evacuator) Version() uint64 {
	if e == nil {
		return 0
	}
	return e.current.Version
}

// DataCentres returns the data centres that are being evacuated, in order.
func (e *Evacuator) DataCentres() []string {
	if e == nil {
		return nil
	}
	return e.current.DataCentres
}

// Includes reports whether a data centre is being evacuated.
func (e *Evacuator) Includes(dataCentre string) bool {
	return e != nil && slices.Contains(e.current.DataCentres, dataCentre)
}

// Age returns the time since the version in force was last known to be the latest.
func (e *Evacuator) Age(now time.Duration) time.Duration {
	if e == nil {
		return 0
	}
	return now - e.confirmedAt
}

// Start applies that the process starts. The first version that it hears of may be that of a peer that was cut
// off, so it must be confirmed like the one in force after a pause.
func (e *Evacuator) Start(now time.Duration) {
	if e != nil {
		e.advancedAt = now
		e.unconfirmedSince = max(now, 1)
	}
}

// Advance applies that the process runs. It reports whether the process was paused, so that the version in
// force must be confirmed.
func (e *Evacuator) Advance(now time.Duration) (paused bool) {
	if e == nil {
		return false
	}
	paused = e.advancedAt > 0 && now-e.advancedAt >= e.limits.PauseLimit
	e.advancedAt = now
	if paused {
		e.unconfirmedSince = now
	}
	return paused
}

// MayStart reports whether tasks may be started at all: a version is known, and it was confirmed since the
// latest pause, or could not be in time.
func (e *Evacuator) MayStart(now time.Duration) bool {
	if e == nil {
		return true
	}
	// The first event after a pause may be applied before Advance notices it.
	if e.current.Version == 0 || e.advancedAt > 0 && now-e.advancedAt >= e.limits.PauseLimit {
		return false
	}
	return e.unconfirmedSince == 0 || now-e.unconfirmedSince >= e.limits.ConfirmTimeout
}

// Confirm applies that a source stated at the given time that it knows of no higher version. It reports
// whether that ends the wait after a pause.
func (e *Evacuator) Confirm(asOf time.Duration) (ended bool) {
	if e == nil || e.unconfirmedSince == 0 || asOf < e.unconfirmedSince {
		return false
	}
	e.unconfirmedSince = 0
	return true
}

// Overdue reports whether the confirmation after a pause did not come in time. It does so once for each
// pause.
func (e *Evacuator) Overdue(now time.Duration) bool {
	if e == nil || e.unconfirmedSince == 0 || now-e.unconfirmedSince < e.limits.ConfirmTimeout {
		return false
	}
	e.unconfirmedSince = 0
	return true
}

// Message returns the message that tells another process of the version in force; nil if none is known.
func (e *Evacuator) Message(now time.Duration) *messenger.Evacuations {
	if e.Version() == 0 {
		return nil
	}
	m := e.current
	m.Age = e.Age(now)
	return &m
}
