package messenger

import (
	"slices"

	"github.com/juju/errors"

	"sardinelock.dev/sardinelock/internal/identifier"
)

var errNoSubmission = errors.New("a message has no valid submission id")

// hasValidSubmissions reports whether every message of the frame that concerns a
// submission carries a valid submission id. The check is needed because CBOR leaves
// an absent id at its zero value and accepts a byte string of any length, neither of
// which has a text form.
func (f *Frame) hasValidSubmissions() bool {
	invalid := func(s identifier.Submission) bool { return !s.IsValid() }
	return !slices.ContainsFunc(f.Starts, func(m Start) bool { return invalid(m.Submission) }) &&
		!slices.ContainsFunc(f.Results, func(m Result) bool { return invalid(m.Submission) }) &&
		!slices.ContainsFunc(f.Cancels, func(m Cancel) bool { return invalid(m.Submission) }) &&
		!slices.ContainsFunc(f.CancelAcks, func(m CancelAck) bool { return invalid(m.Submission) }) &&
		!slices.ContainsFunc(f.Forwards, func(m Forward) bool { return invalid(m.Submission) }) &&
		!slices.ContainsFunc(f.Answers, func(m Answer) bool { return invalid(m.Submission) }) &&
		!slices.ContainsFunc(f.Settled, func(m Settlement) bool { return invalid(m.Submission) }) &&
		!slices.ContainsFunc(f.Fenced, func(m Fenced) bool { return !m.hasValidSubmissions() }) &&
		(f.Handover == nil || f.Handover.hasValidSubmissions())
}

func (m *Fenced) hasValidSubmissions() bool {
	return !slices.ContainsFunc(m.Records, func(r Record) bool { return !r.Submission.IsValid() })
}

func (m *Handover) hasValidSubmissions() bool {
	return !slices.ContainsFunc(m.Jobs, func(j HandoverJob) bool {
		return !j.Job.Submission.IsValid() || (j.Answer != nil && !j.Answer.Submission.IsValid())
	})
}
