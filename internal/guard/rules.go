package guard

import (
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
)

// Rules are the checks of a start, each replaceable. Production code uses
// [DefaultRules]; tests replace single rules to show that each is needed.
type Rules struct {
	// Duplicate reports whether a start must be refused because the task had
	// started before.
	Duplicate func(started bool) bool
	// Unadmitted reports whether a start must be refused because the agent is not
	// part of the roster.
	Unadmitted func(admitted bool) bool
	// StaleEpoch reports whether a message of the epoch must be refused under the
	// highest epoch seen.
	StaleEpoch func(epoch, highest uint64) bool
	// Cancelled reports whether a start must be refused because the submission was
	// cancelled.
	Cancelled func(cancelled bool) bool
	// Expired reports whether a start must be refused because its start-by time has
	// passed on the agent's clock.
	Expired func(clock, startBy time.Duration) bool
	// ReportRecords reports whether a fence is answered with the records of what has
	// started.
	ReportRecords func() bool
}

// DefaultRules returns the checks that the system relies on.
func DefaultRules() Rules {
	return Rules{
		Duplicate:     func(started bool) bool { return started },
		Unadmitted:    func(admitted bool) bool { return !admitted },
		StaleEpoch:    func(epoch, highest uint64) bool { return epoch < highest },
		Cancelled:     func(cancelled bool) bool { return cancelled },
		Expired:       func(clock, startBy time.Duration) bool { return clock > startBy },
		ReportRecords: func() bool { return true },
	}
}

// check returns the reason to refuse a start now, or "" if it may proceed. The
// check for a duplicate comes first, because every other refusal is proof that
// the task did not start.
func (g *Guard) check(now time.Time, p *pending) messenger.Refusal {
	partition := p.ref.Submission.Partition()
	r := g.records.get(partition, p.ref.Submission)
	switch {
	case p.ref.Index >= maxTasks:
		return messenger.RefusalInvalid
	case g.Rules.Duplicate(r != nil && r.started.has(p.ref.Index)):
		return messenger.RefusalDuplicate
	case g.Rules.Unadmitted(g.admitted):
		return messenger.RefusalUnadmitted
	case g.Rules.StaleEpoch(p.start.Epoch, g.epochs[partition]):
		return messenger.RefusalStaleEpoch
	case g.Rules.Cancelled(r != nil && r.cancelled):
		return messenger.RefusalCancelled
	case g.Rules.Expired(g.Clock(now), p.start.StartBy):
		return messenger.RefusalExpired
	case g.state == messenger.UpstreamLeaving:
		return messenger.RefusalLeaving
	case g.state == messenger.UpstreamAbsent || now.After(g.announcementExpiry):
		return messenger.RefusalLapsed
	case g.records.full(r == nil, g.transferred.bytes):
		return messenger.RefusalMemory
	}
	return ""
}
