package certifier

import "fmt"

// Kind says what went wrong with the files.
type Kind string

// The kinds of errors of this package.
const (
	KindRead    Kind = "read"
	KindInvalid Kind = "invalid"
)

// Error is the error type of this package. It never has content of a file.
type Error struct {
	Op   string // Op is the operation that failed.
	Kind Kind   // Kind is one of the Kind constants.
	File string // File is the file at fault.
	Err  error  // Err is the cause and is never nil.
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("tls: %s %s: %s: %v", e.Op, e.File, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
