package dispatcher

import "fmt"

// Kind classifies the errors of this package.
type Kind string

// The kinds of errors of this package.
const (
	KindListen  Kind = "listen"
	KindServe   Kind = "serve"
	KindInvalid Kind = "invalid-request"
)

// Error is the error type of this package.
type Error struct {
	Op   string // Op is the operation that failed.
	Kind Kind   // Kind is one of the Kind constants.
	Err  error  // Err is the cause and is never nil.
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("entry: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
