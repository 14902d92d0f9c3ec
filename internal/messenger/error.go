package messenger

import "fmt"

// Kind classifies the errors of this package.
type Kind string

// The kinds of errors.
const (
	KindEncode Kind = "encode"
	KindDecode Kind = "decode"
)

// Error is the error type of this package.
type Error struct {
	Op     string // Op is the operation that failed.
	Kind   Kind   // Kind is one of the Kind constants.
	Offset int    // Offset is the offset in bytes at which decoding stopped.
	Err    error  // Err is the cause and is never nil.
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("message: %s at byte %d: %v", e.Op, e.Offset, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
