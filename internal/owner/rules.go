package owner

import (
	"time"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// Rules are the decisions that at-most-once rests on, each as a seam. Tests
// replace single rules to show what each is needed for.
type Rules struct {
	// Holds reports whether this entry holds the partition now. Only then may it
	// answer not-run: another owner may have started the job otherwise.
	HoldsPartition func(p identifier.Partition) bool
	// Proves reports whether a refusal proves that the task did not start.
	ProvesNotStarted func(r messenger.Refusal) bool
	// TooOld reports whether an id of the given age must be refused, because its
	// record may be gone.
	TooOld func(age, window time.Duration) bool
	// KeepsNotRun reports whether a job answered with not-run is kept for the
	// window like any other.
	KeepsNotRun func() bool
	// HoldsKey reports whether a submission holds its request key against others.
	HoldsKey func() bool
}

// DefaultRules returns the decisions that the system relies on. An entry that may
// lose partitions replaces Holds.
func DefaultRules() Rules {
	return Rules{
		HoldsPartition:   func(identifier.Partition) bool { return true },
		ProvesNotStarted: func(r messenger.Refusal) bool { return r != messenger.RefusalDuplicate },
		TooOld:           func(age, window time.Duration) bool { return age > window },
		KeepsNotRun:      func() bool { return true },
		HoldsKey:         func() bool { return true },
	}
}

// inadmissible returns the answer to a new submission that is not kept, or nil
// if the submission is taken up. Since nothing is kept of it, the answer does not
// say that none of its tasks starts later.
func (o *Owner) inadmissible(now time.Time, in *Job) *messenger.Answer {
	if now.After(o.latest) {
		o.latest = now
	}
	age := o.latest.Sub(in.Submission.Time())
	switch {
	case o.Rules.TooOld(age, o.limits.Window):
		return unknown(in.Submission, submitter.ReasonStale, "the submission id is older than "+o.limits.Window.String())
	case -age > o.limits.MaxClockSkew:
		return unknown(in.Submission, submitter.ReasonFuture, "the submission id is further in the future than "+o.limits.MaxClockSkew.String())
	case in.RequestKey != "" && identifier.KeyPartition(in.RequestKey) != in.Submission.Partition():
		return unknown(in.Submission, submitter.ReasonConflictingRequest, "the submission id is not of the partition of its request key")
	case o.bytes > o.limits.MaxRecordBytes+o.limits.MaxRecordBytes/8:
		return unknown(in.Submission, submitter.ReasonMemoryLimit, "the entry keeps as many records as its memory limit allows")
	}
	return nil
}

// refusal returns the answer to a new submission that is kept but not run, or nil
// if it may run. An eighth of the memory limit is for such records.
func (o *Owner) refusal(in *Job) *messenger.Answer {
	holder, held := o.keys[in.RequestKey]
	switch {
	case held && o.Rules.HoldsKey():
		return o.notRun(in.Submission, submitter.ReasonDuplicateRequest, "the request key is used by submission "+holder.String(), 0)
	case o.bytes > o.limits.MaxRecordBytes:
		return o.notRun(in.Submission, submitter.ReasonMemoryLimit, "the entry keeps as many records as its memory limit allows", time.Second)
	}
	return nil
}

// notRun returns the answer that nothing ran and nothing will, or one that claims
// nothing if this entry may not hold the partition.
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
