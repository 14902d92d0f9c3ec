// Package submitter is the Go client of sardinelock's API for callers, and defines the
// types of that API.
//
// A [Job] is a list of tasks that one service runs for one team. The system answers it
// with exactly one [Answer]: either complete, with the result of every task in order, or
// failed, not-run or unknown, with one of a fixed set of reasons.
package submitter

import (
	"encoding/json"
	"time"
)

// MaxTasks is the largest number of tasks of one job.
const MaxTasks = 580

// Job is the request body of a submission.
type Job struct {
	// Tasks has 1 to [MaxTasks] elements.
	Tasks []Task `json:"tasks"`
	// Deadline is how long the caller waits for the answer, measured from the arrival
	// of the request. Zero selects the service's default.
	Deadline Duration `json:"deadline,omitzero"`
	// RequestKey identifies the request across submissions. It is required for tasks
	// that are not repeatable to run at most once across all submissions of a request.
	RequestKey string `json:"request-key,omitempty"`
}

// Task is one unit of work, which an upstream runs.
type Task struct {
	// Payload is passed to the upstream unchanged.
	Payload json.RawMessage `json:"payload"`
	// RunTime is the declared run time; zero selects the service's default.
	RunTime Duration `json:"run-time,omitzero"`
	// MemoryBytes is the declared memory; zero selects the service's default.
	MemoryBytes int64 `json:"memory-bytes,omitempty"`
	// Accelerators is the declared number of accelerators.
	Accelerators int `json:"accelerators,omitempty"`
	// Repeatable tasks may be run again by the caller under another submission. The
	// dispatcher itself never starts any task twice.
	Repeatable bool `json:"repeatable"`
}

// Outcome is the outcome of a job.
type Outcome string

// The outcomes of a job.
const (
	// OutcomeComplete: every task ran and has a result.
	OutcomeComplete Outcome = "complete"
	// OutcomeFailed: the job cannot be completed; some tasks may have run.
	OutcomeFailed Outcome = "failed"
	// OutcomeNotRun: no task has started and none will.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown: the outcome is indeterminate; any of the tasks may have run.
	OutcomeUnknown Outcome = "unknown"
)

// Reason is the reason why a job is not complete.
type Reason string

// The fixed set of reasons.
const (
	ReasonTaskFailed         Reason = "task-failed"         // The upstream answered a task with an error.
	ReasonUpstreamLost       Reason = "upstream-lost"       // The upstream or its agent was lost while a task was running.
	ReasonDeadlineExceeded   Reason = "deadline-exceeded"   // The deadline expired.
	ReasonCancelled          Reason = "cancelled"           // The caller or an operator cancelled the job.
	ReasonNeverFits          Reason = "never-fits"          // A task requires more resources than any known upstream has.
	ReasonOverloaded         Reason = "overloaded"          // The queue is too long to meet the deadline.
	ReasonQuotaExceeded      Reason = "quota-exceeded"      // The team has exhausted its quota.
	ReasonNoUpstream         Reason = "no-upstream"         // No upstream serves the service at present, or operators hold all that can run a task.
	ReasonStale              Reason = "stale-submission"    // The id is older than the deduplication window.
	ReasonFuture             Reason = "future-submission"   // The id is further in the future than the allowed clock skew.
	ReasonOwnerChanged       Reason = "owner-changed"       // The partition's owner was replaced; the outcome says whether the job may have run.
	ReasonAnswerLost         Reason = "answer-lost"         // The job ran, but its answer is no longer stored.
	ReasonRegionUnreachable  Reason = "region-unreachable"  // The id belongs to a region that cannot be reached.
	ReasonNoOwner            Reason = "no-owner"            // The partition has no owner at present.
	ReasonDraining           Reason = "draining"            // The entry is shutting down.
	ReasonDuplicateRequest   Reason = "duplicate-request"   // The request key was used by another submission.
	ReasonConflictingRequest Reason = "conflicting-request" // The id was used with another body, service or team.
	ReasonNoSuchSubmission   Reason = "no-such-submission"  // No submission of the caller's team has the id.
	ReasonConnectionLost     Reason = "connection-lost"     // The caller's connection ended before the job was answered.
	ReasonMemoryLimit        Reason = "record-memory-limit" // The memory for records is full.
)

// Answer is the answer to a submission.
type Answer struct {
	SubmissionID string  `json:"submission-id"`
	Outcome      Outcome `json:"outcome"`
	// Reason is empty if and only if the outcome is complete.
	Reason Reason `json:"reason,omitempty"`
	// Detail is a human-readable explanation.
	Detail string `json:"detail,omitempty"`
	// RetryAfter is how long to wait before retrying; it is positive only if a retry
	// can succeed.
	RetryAfter Duration `json:"retry-after,omitzero"`
	// Results has the result of every task, in the order of the job's tasks. It is
	// set if and only if the outcome is complete.
	Results []json.RawMessage `json:"results,omitempty"`
}

// Duration is a time.Duration that is encoded in JSON as a string such as "250ms".
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
