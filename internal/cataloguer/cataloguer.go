// Package cataloguer holds the queues that operators have configured for ephemeral
// jobs, and passes versions of them on between entries.
//
// A [Catalogue] is one version in full. A [Shelf] has the highest version that a
// process has seen, from the platform or from a peer; a lower one never replaces
// it.
package cataloguer

import (
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"sardinelock.dev/sardinelock/internal/controller"
)

// Queue is a kind of job.
type Queue struct {
	Name             string        `cbor:"1,keyasint"`
	Host             string        `cbor:"2,keyasint"` // Host is that of the queue's requests; empty stands for any.
	Prefix           string        `cbor:"3,keyasint"` // Prefix is what the paths of its requests begin with.
	Service          string        `cbor:"4,keyasint"` // Service names the upstreams that run its tasks.
	Priority         int           `cbor:"5,keyasint,omitempty"`
	MaxAttempts      int           `cbor:"6,keyasint,omitempty"` // MaxAttempts is at least 1.
	SlowdownFactor   float64       `cbor:"7,keyasint,omitempty"` // Stretch is how often a job may take its longest chain of work.
	LatencyAllowance time.Duration `cbor:"8,keyasint,omitempty"` // Allowance is what a job may take besides.
	RequiresAdvice   bool          `cbor:"9,keyasint,omitempty"` // Advised means that another service must allow each upstream.
}

// Catalogue is one version of the configuration.
type Catalogue struct {
	Version      uint64  `cbor:"1,keyasint"`
	Queues       []Queue `cbor:"2,keyasint"`
	MaxBodyBytes int64   `cbor:"3,keyasint,omitempty"` // MaxBodyBytes bounds a request's body; 0 leaves the default.
}

// Find returns the queue with the longest prefix of a path, and what follows it.
func (c *Catalogue) Find(host, path string) (q *Queue, rest string, found bool) {
	for i := range c.Queues {
		o := &c.Queues[i]
		if (o.Host == "" || strings.EqualFold(o.Host, host)) && strings.HasPrefix(path, o.Prefix) &&
			(q == nil || len(o.Prefix) > len(q.Prefix)) {
			q = o
		}
	}
	if q == nil {
		return nil, "", false
	}
	return q, path[len(q.Prefix):], true
}

// Kind says what went wrong with a catalogue.
type Kind string

// The kinds of errors of this package.
const (
	KindEncode Kind = "encode"
	KindDecode Kind = "decode"
)

// Error is the error type of this package.
type Error struct {
	Op   string // Op is the operation that failed.
	Kind Kind   // Kind is one of the Kind constants.
	Err  error  // Err is the cause and is never nil.
}

// Error implements error.
func (e *Error) Error() string {
	return "catalogue: " + e.Op + ": " + string(e.Kind) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Encode returns the catalogue as peers read it.
func (c *Catalogue) Encode() ([]byte, error) {
	b, err := cbor.Marshal(c)
	if err != nil {
		return nil, &Error{Op: "encode", Kind: KindEncode, Err: err}
	}
	return b, nil
}

// Decode reads a catalogue of a peer.
func Decode(b []byte) (*Catalogue, error) {
	c := new(Catalogue)
	if err := cbor.Unmarshal(b, c); err != nil {
		return nil, &Error{Op: "decode", Kind: KindDecode, Err: err}
	}
	bad := slices.ContainsFunc(c.Queues, func(q Queue) bool { return q.MaxAttempts < 1 || q.Service == "" })
	if c.Version == 0 || bad {
		return nil, &Error{Op: "decode", Kind: KindDecode, Err: errors.New("the version is 0, or a queue has no service or attempts")}
	}
	return c, nil
}

// Shelf has the version in force in a process.
type Store struct {
	cell controller.Cell[Catalogue]
}

// Offer puts a version in force if it is higher than the present one, and reports
// whether it did. It must be called on one goroutine at a time.
func (s *Store) Offer(c *Catalogue) bool {
	if present := s.cell.Read(); present != nil && present.Version >= c.Version {
		return false
	}
	s.cell.Publish(c)
	return true
}

// InForce returns the version in force, or nil if there is none yet.
func (s *Store) InForce() *Catalogue { return s.cell.Read() }
