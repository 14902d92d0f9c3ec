package identifier

// Kind classifies what is wrong with an id.
type Kind string

// The kinds of errors of this package.
const (
	KindMalformed Kind = "malformed"
	KindVersion   Kind = "wrong-version"
)

// Error is the error type of this package.
type Error struct {
	Op     string // Op is the operation that failed.
	Kind   Kind   // Kind is one of the Kind constants.
	Detail string // Detail describes the fault.
}

// Error implements error.
func (e *Error) Error() string {
	return "submission id: " + e.Op + ": " + string(e.Kind) + ": " + e.Detail
}
