package authenticator

import "github.com/juju/errors"

// Kind classifies the errors of this package.
type Kind string

// The kinds of errors of this package.
const (
	KindHash    Kind = "malformed-hash"
	KindMissing Kind = "missing-token"
	KindUnknown Kind = "unknown-token"
)

// Error is the error type of this package. It never contains a token or a hash.
type Error struct {
	Op   string // Op is the operation that failed.
	Kind Kind   // Kind is one of the Kind constants.
	Name string // Name is the principal concerned; empty if none is known.
}

// Error implements error.
func (e *Error) Error() string {
	text := e.Op + ": " + string(e.Kind)
	if e.Name != "" {
		text += " of " + e.Name
	}
	return text
}

// KindOf returns the kind of an error of this package, or "" for any other.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}
