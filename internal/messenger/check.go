package messenger

import (
	"slices"

	"github.com/juju/errors"

	"sardinelock.dev/sardinelock/internal/identifier"
)

var errNoSubmission = errors.New("a message has no valid submission id")

// named reports whether every message of the frame that concerns a submission
// names one. CBOR leaves an absent id unset and takes a byte string of any
// length for one; neither is an id that the text form could carry.
func (f *Frame) named() bool {
	bad := func(s identifier.Submission) bool { return !s.IsValid() }
	return !slices.ContainsFunc(f.Starts, func(m Start) bool { return bad(m.Submission) }) &&
		!slices.ContainsFunc(f.Results, func(m Result) bool { return bad(m.Submission) }) &&
		!slices.ContainsFunc(f.Cancels, func(m Cancel) bool { return bad(m.Submission) }) &&
		!slices.ContainsFunc(f.CancelAcks, func(m CancelAck) bool { return bad(m.Submission) }) &&
		!slices.ContainsFunc(f.Forwards, func(m Forward) bool { return bad(m.Submission) }) &&
		!slices.ContainsFunc(f.Answers, func(m Answer) bool { return bad(m.Submission) }) &&
		!slices.ContainsFunc(f.Settled, func(m Settlement) bool { return bad(m.Submission) }) &&
		!slices.ContainsFunc(f.Fenced, func(m Fenced) bool { return !m.named() }) &&
		(f.Handover == nil || f.Handover.named())
}

func (m *Fenced) named() bool {
	return !slices.ContainsFunc(m.Records, func(r Record) bool { return !r.Submission.IsValid() })
}

func (m *Handover) named() bool {
	return !slices.ContainsFunc(m.Jobs, func(j HandoverJob) bool {
		return !j.Job.Submission.IsValid() || (j.Answer != nil && !j.Answer.Submission.IsValid())
	})
}
