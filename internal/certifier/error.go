package certifier

import "fmt"

// Kind classifies the errors of this package.
type Kind string

// The kinds of errors of this package.
const (
	KindRead    Kind = "read"
	KindInvalid Kind = "invalid"
)

// Error is the error type of this package. It never contains content of a file.
type Error struct {
	Op   string // Op is the operation that failed.
	Kind Kind   // Kind is one of the Kind constants.
	File string // File is the name of the file that caused the error.
	Err  error  // Err is the cause and is never nil.
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("tls: %s %s: %s: %v", e.Op, e.File, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
