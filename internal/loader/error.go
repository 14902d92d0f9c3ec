package loader

import "fmt"

// Kind says what went wrong with a load.
type Kind string

// The kinds of errors of this package.
const (
	KindExperiment Kind = "experiment" // The experiment is not valid.
	KindTarget     Kind = "target"     // The system cannot be loaded.
	KindOutput     Kind = "output"     // The result cannot be written.
)

// Error is the error type of this package.
type Error struct {
	Op   string // Op is the operation that failed.
	Kind Kind   // Kind is one of the Kind constants.
	Err  error  // Err is the cause and is never nil.
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("load: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
