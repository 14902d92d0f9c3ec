package administrator

import (
	"fmt"

	"github.com/juju/errors"
)

// Kind classifies the failure of a call to the administration API.
type Kind string

// The kinds of errors of this package.
const (
	KindUnreachable Kind = "unreachable"
	KindRejected    Kind = "rejected"
	KindAnswer      Kind = "unreadable-answer"
)

// Error is the error type of this package.
type Error struct {
	Op   string // Op is the operation that failed.
	Kind Kind   // Kind is one of the Kind constants.
	Err  error  // Err is the cause and is never nil.
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("administration: %s: %s: %v", e.Op, e.Kind, e.Err)
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
