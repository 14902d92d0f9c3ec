package agent

import (
	"fmt"
	"strings"

	"github.com/juju/errors"

	"sardinelock.dev/sardinelock/pkg/submitter"
)

// Kind classifies an error of an agent.
type Kind string

// The kinds of errors of this package.
const (
	KindListen       Kind = "listen"
	KindServe        Kind = "serve"
	KindAnnouncement Kind = "announcement"
)

const defaultTimeToLiveJSON = submitter.Duration(defaultTimeToLive)

// Error is the error type of this package.
type Error struct {
	Op   string // Op is the operation that failed.
	Kind Kind   // Kind is one of the Kind constants.
	Err  error  // Err is the cause and is never nil.
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("agent: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func newAnnouncementError(faults []string) error {
	return &Error{Op: "announce", Kind: KindAnnouncement, Err: errors.New(strings.Join(faults, "; "))}
}
