package owner

import (
	"time"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// Rules are the checks that at-most-once execution depends on. Each is a function
// that tests replace on its own, to show which fault the check prevents.
type Rules struct {
	// HoldsPartition reports whether this entry holds the partition now. Only then
	// may it answer not-run; otherwise another owner may have started the job.
	HoldsPartition func(p identifier.Partition) bool
	// ProvesNotStarted reports whether a refusal proves that the task did not start.
	ProvesNotStarted func(r messenger.Refusal) bool
	// TooOld reports whether an id of the given age must be refused, because the
	// record of its job may have been evicted.
	TooOld func(age, window time.Duration) bool
	// KeepsNotRun reports whether a job answered with not-run is retained for the
	// deduplication window like any other.
	KeepsNotRun func() bool
	// HoldsKey reports whether a reserved request key is refused to other submissions.
	HoldsKey func() bool
}

// DefaultRules returns the rules used in production. An entry that may lose
// partitions replaces HoldsPartition.
func DefaultRules() Rules {
	return Rules{
		HoldsPartition:   func(identifier.Partition) bool { return true },
		ProvesNotStarted: func(r messenger.Refusal) bool { return r != messenger.RefusalDuplicate },
		TooOld:           func(age, window time.Duration) bool { return age > window },
		KeepsNotRun:      func() bool { return true },
		HoldsKey:         func() bool { return true },
	}
}

// rejection returns the answer to a new submission that is not recorded, or nil if
// the submission becomes a job. Without a record, a later duplicate may be accepted,
// so the outcome of the answer is unknown and not not-run.
func (o *Owner) rejection(now time.Time, in *Job) *messenger.Answer {
	if now.After(o.latestTime) {
		o.latestTime = now
	}
	age := o.latestTime.Sub(in.Submission.Time())
	switch {
	case o.Rules.TooOld(age, o.limits.Window):
		return unknown(in.Submission, submitter.ReasonStale, "the submission id is older than "+o.limits.Window.String())
	case -age > o.limits.MaxClockSkew:
		return unknown(in.Submission, submitter.ReasonFuture, "the submission id is further in the future than "+o.limits.MaxClockSkew.String())
	case in.RequestKey != "" && identifier.KeyPartition(in.RequestKey) != in.Submission.Partition():
		return unknown(in.Submission, submitter.ReasonConflictingRequest, "the submission id is not of the partition of its request key")
	case o.recordBytes > o.limits.MaxRecordBytes+o.limits.MaxRecordBytes/8:
		return unknown(in.Submission, submitter.ReasonMemoryLimit, "the entry keeps as many records as its memory limit allows")
	}
	return nil
}

// refusal returns the answer to a new submission that is recorded but not run, or
// nil if it may run. An eighth of MaxRecordBytes, on top of that limit, is reserved
// for such records.
func (o *Owner) refusal(in *Job) *messenger.Answer {
	holder, held := o.keyHolders[in.RequestKey]
	switch {
	case held && o.Rules.HoldsKey():
		return o.notRun(in.Submission, submitter.ReasonDuplicateRequest, "the request key is used by submission "+holder.String(), 0)
	case o.recordBytes > o.limits.MaxRecordBytes:
		return o.notRun(in.Submission, submitter.ReasonMemoryLimit, "the entry keeps as many records as its memory limit allows", time.Second)
	}
	return nil
}

// notRun returns the answer that no task ran or will run. If this entry may not hold
// the partition, the outcome of the answer is unknown.
func (o *Owner) notRun(s identifier.Submission, reason submitter.Reason, detail string, retryAfter time.Duration) *messenger.Answer {
	if !o.Rules.HoldsPartition(s.Partition()) {
		return unknown(s, submitter.ReasonOwnerChanged, "the entry may have lost the partition of the submission: "+detail)
	}
	return &messenger.Answer{
		Submission: s,
		Outcome:    string(submitter.OutcomeNotRun),
		Reason:     string(reason),
		Detail:     detail,
		RetryAfter: retryAfter,
	}
}

func unknown(s identifier.Submission, reason submitter.Reason, detail string) *messenger.Answer {
	return &messenger.Answer{
		Submission: s,
		Outcome:    string(submitter.OutcomeUnknown),
		Reason:     string(reason),
		Detail:     detail,
	}
}

func isNotRun(a *messenger.Answer) bool { return a.Outcome == string(submitter.OutcomeNotRun) }
