// Package submitter is the Go client of sardinelock's callers' API, and the
// home of the API's types.
//
// A [Job] is a list of tasks that one service runs for one team. The system
// answers it with one [Answer]: complete with every task's result in order, or
// failed, not-run or unknown with a reason from a closed list.
package submitter

import (
	"encoding/json"
	"time"
)

// MaxTasks is the largest number of tasks of one job.
const MaxTasks = 580

// Job is the body of a submission.
type Job struct {
	// Tasks has 1 to MaxTasks entries.
	Tasks []Task `json:"tasks"`
	// Deadline is how long the caller waits for the answer, counted from the
	// arrival of the request. Zero means the service's default.
	Deadline Duration `json:"deadline,omitzero"`
	// RequestKey names the request across submissions. It is required for
	// at-most-once across submissions of tasks that are not repeatable.
	RequestKey string `json:"request-key,omitempty"`
}

// Task is one short piece of work.
type Task struct {
	// Payload is passed to the upstream as it is.
	Payload json.RawMessage `json:"payload"`
	// RunTime is the declared run time; zero means the service's default.
	RunTime Duration `json:"run-time,omitzero"`
	// MemoryBytes is the declared memory; zero means the service's default.
	MemoryBytes int64 `json:"memory-bytes,omitempty"`
	// Accelerators is the declared number of accelerators.
	Accelerators int `json:"accelerators,omitempty"`
	// Repeatable says that the caller may run the task again under another
	// submission. The dispatcher itself never starts any task twice.
	Repeatable bool `json:"repeatable"`
}

// Outcome is the kind of an answer.
type Outcome string

// The outcomes of a job.
const (
	// OutcomeComplete means that every task ran and has a result.
	OutcomeComplete Outcome = "complete"
	// OutcomeFailed means that the job cannot be completed; some tasks may have run.
	OutcomeFailed Outcome = "failed"
	// OutcomeNotRun means that no task started and none will.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the system cannot tell which tasks ran.
	OutcomeUnknown Outcome = "unknown"
)

// Reason says why a job is not complete.
type Reason string

// The closed list of reasons.
const (
	ReasonTaskFailed         Reason = "task-failed"         // The upstream answered a task with an error.
	ReasonUpstreamLost       Reason = "upstream-lost"       // The upstream or its agent died while a task ran.
	ReasonDeadlineExceeded   Reason = "deadline-exceeded"   // The deadline passed.
	ReasonCancelled          Reason = "cancelled"           // The caller or an operator cancelled the job.
	ReasonNeverFits          Reason = "never-fits"          // No known upstream can hold one of the tasks.
	ReasonOverloaded         Reason = "overloaded"          // The queue is too long to meet the deadline.
	ReasonQuotaExceeded      Reason = "quota-exceeded"      // The team's quota is used up.
	ReasonNoUpstream         Reason = "no-upstream"         // No upstream serves the service now.
	ReasonStale              Reason = "stale-submission"    // The id is older than the deduplication window.
	ReasonFuture             Reason = "future-submission"   // The id is further in the future than clocks may differ.
	ReasonOwnerChanged       Reason = "owner-changed"       // A takeover left open whether the job ran.
	ReasonAnswerLost         Reason = "answer-lost"         // The job ran; its answer is no longer kept.
	ReasonRegionUnreachable  Reason = "region-unreachable"  // The id belongs to a region that cannot be reached.
	ReasonNoOwner            Reason = "no-owner"            // The partition has no owner at the moment.
	ReasonDraining           Reason = "draining"            // The entry is shutting down.
	ReasonDuplicateRequest   Reason = "duplicate-request"   // The request key was used by another submission.
	ReasonConflictingRequest Reason = "conflicting-request" // The id was used with another body, service or team.
	ReasonNoSuchSubmission   Reason = "no-such-submission"  // No submission of the caller's team has the id.
	ReasonConnectionLost     Reason = "connection-lost"     // The connection of the caller ended before the answer was known.
	ReasonMemoryLimit        Reason = "record-memory-limit" // The memory for records is full.
)

// Answer is the one answer to a submission.
type Answer struct {
	SubmissionID string  `json:"submission-id"`
	Outcome      Outcome `json:"outcome"`
	// Reason is empty exactly if the outcome is complete.
	Reason Reason `json:"reason,omitempty"`
	// Detail is a sentence for a person.
	Detail string `json:"detail,omitempty"`
	// RetryAfter is positive where retrying helps.
	RetryAfter Duration `json:"retry-after,omitzero"`
	// Results has one entry a task, in the order of the job, exactly if the
	// outcome is complete.
	Results []json.RawMessage `json:"results,omitempty"`
}

// Duration is a time.Duration that is written like "250ms" in JSON.
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}
