package versioner

import (
	"context"

	"sardinelock.dev/sardinelock/internal/configurer"
)

// Report describes the outcome of a change for operators.
type Report struct {
	Result
	// Differences are, after a conflict, the changes since the expected version.
	Differences []configurer.Difference `json:"differences,omitempty"`
	// Fault is the reason why Differences could not be computed, or empty.
	Fault string `json:"fault,omitempty"`
}

// Report returns a report of the result. For a conflict it includes the changes that
// other operators have made since the expected version.
func (r *Versioner) Report(ctx context.Context, result Result) Report {
	out := Report{Result: result}
	if result.Reason != ReasonConflict {
		return out
	}
	if result.Current < result.Expected {
		out.Fault = "the expected version does not exist"
		return out
	}
	differences, err := r.differences(ctx, result.Expected, result.Current)
	if err != nil {
		out.Fault = err.Error()
	}
	out.Differences = differences
	return out
}

// differences compares two accepted versions. Number 0 stands for an empty configuration
// before the first version.
func (r *Versioner) differences(ctx context.Context, from, to uint64) ([]configurer.Difference, error) {
	before, err := r.versionOrNone(ctx, from)
	if err != nil {
		return nil, err
	}
	after, err := r.versionOrNone(ctx, to)
	if err != nil {
		return nil, err
	}
	return configurer.Differences(before, after)
}

// versionOrNone returns a version, or nil for number 0.
func (r *Versioner) versionOrNone(ctx context.Context, number uint64) (*configurer.Version, error) {
	if number == 0 {
		return nil, nil
	}
	return r.Version(ctx, number)
}
