package connector

import (
	"fmt"

	"github.com/juju/errors"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of errors.
const (
	KindDial      Kind = "dial"
	KindHandshake Kind = "handshake"
	KindVersion   Kind = "protocol-version"
	KindProtocol  Kind = "protocol"
	KindClosed    Kind = "closed"
)

var errVersion = errors.New("peer speaks another protocol version or has no name")

// Error is the error type of this package.
type Error struct {
	Op   string // Op is the operation that failed.
	Kind Kind   // Kind is one of the Kind constants.
	Peer string // Peer is the name or address of the peer, if known.
	Err  error  // Err is the cause and is never nil.
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("connection: %s %s: %s: %v", e.Op, e.Peer, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
