package broker

// Kind classifies the errors of this package.
type Kind string

// The kinds of errors of this package.
const (
	KindListen     Kind = "listen"
	KindServe      Kind = "serve"
	KindClosed     Kind = "closed"
	KindCallerLeft Kind = "caller-left"
)

// Error is the error type of this package.
type Error struct {
	Op   string // Op is the operation that failed.
	Kind Kind   // Kind is one of the Kind constants.
	Err  error  // Err is the cause and is never nil.
}

// Error implements error.
func (e *Error) Error() string {
	return "entry: " + e.Op + ": " + string(e.Kind) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
