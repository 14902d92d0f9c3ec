package submitter

import (
	"fmt"

	"github.com/juju/errors"
)

// Kind classifies the errors of a call.
type Kind string

// The kinds of errors of this package.
const (
	// KindInvalid: the request cannot be encoded or sent.
	KindInvalid Kind = "invalid"
	// KindRejected: an entry rejected the request as invalid.
	KindRejected Kind = "rejected"
	// KindUnreachable: no entry gave an answer that can be decoded.
	KindUnreachable Kind = "unreachable"
)

// Error is the error type of this package.
type Error struct {
	Op      string   // Op is the operation that failed.
	Kind    Kind     // Kind is one of the Kind constants.
	Problem *Problem // Problem is set if and only if the kind is rejected.
	Err     error    // Err is the cause; nil if the kind is rejected.
}

// Error implements error.
func (e *Error) Error() string {
	if e.Problem != nil {
		return fmt.Sprintf("%s: %s: status %d: %s: %s", e.Op, e.Kind, e.Problem.Status, e.Problem.Title, e.Problem.Detail)
	}
	return fmt.Sprintf("%s: %s: %v", e.Op, e.Kind, e.Err)
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
