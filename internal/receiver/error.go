package receiver

// Kind classifies an [Error].
type Kind string

// The kinds of errors of this package.
const (
	KindTooLarge Kind = "too-large"
	KindTimeout  Kind = "timeout"  // The body did not arrive in time.
	KindOverload Kind = "overload" // The body was cut off for others.
	KindBroken   Kind = "broken"   // The caller ended the connection or sent no valid body.
)

// Error is the error type of this package.
type Error struct {
	Op   string // Op is the operation that failed.
	Kind Kind   // Kind is one of the Kind constants.
	Err  error  // Err is the cause and is never nil.
}

// Error implements error.
func (e *Error) Error() string {
	return "receiver: " + e.Op + ": " + string(e.Kind) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
