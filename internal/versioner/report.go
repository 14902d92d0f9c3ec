package versioner

import (
	"context"

	"sardinelock.dev/sardinelock/internal/configurer"
)

// Report is what became of a change, for operators.
type Report struct {
	Result
	// Differences are what has changed since the expected version, after a conflict.
	Differences []configurer.Difference `json:"differences,omitempty"`
	// Fault says why there are no differences.
	Fault string `json:"fault,omitempty"`
}

// Report adds to the result of a conflict what others have changed.
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

// differences compares two accepted versions; 0 is before the first.
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

func (r *Versioner) versionOrNone(ctx context.Context, number uint64) (*configurer.Version, error) {
	if number == 0 {
		return nil, nil
	}
	return r.Version(ctx, number)
}
