package versioner

import (
	"fmt"

	"github.com/juju/errors"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of errors.
const (
	KindAbsent      Kind = "absent"      // The version does not exist.
	KindUnavailable Kind = "unavailable" // The platform did not answer.
	KindInvalid     Kind = "invalid"     // The request for the change is invalid.
)

// Error is the error type of this package.
type Error struct {
	Op     string // Op is the operation that failed.
	Kind   Kind   // Kind is one of the Kind constants.
	Number uint64 // Number is the version concerned, or 0.
	Err    error  // Err is the cause and is never nil.
}

// Error implements error.
func (e *Error) Error() string {
	if e.Number > 0 {
		return fmt.Sprintf("versions: %s: version %d: %s: %v", e.Op, e.Number, e.Kind, e.Err)
	}
	return fmt.Sprintf("versions: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of an error of this package, or "" for any other.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}
