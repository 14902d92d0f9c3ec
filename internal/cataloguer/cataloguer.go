// Package cataloguer holds the queues that operators have configured for ephemeral
// jobs, and encodes versions of this configuration for exchange between entries.
//
// A [Catalogue] is one complete version. A [Store] holds the highest version that a
// process has received from the platform or from a peer; a lower version never
// replaces it.
package cataloguer

import (
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"sardinelock.dev/sardinelock/internal/controller"
)

// Queue is the configuration of one class of jobs.
type Queue struct {
	Name             string        `cbor:"1,keyasint"`
	Host             string        `cbor:"2,keyasint"` // Host is the host name of the queue's requests; empty matches any host.
	Prefix           string        `cbor:"3,keyasint"` // Prefix is the path prefix of the queue's requests.
	Service          string        `cbor:"4,keyasint"` // Service is the service whose upstreams run the queue's tasks.
	Priority         int           `cbor:"5,keyasint,omitempty"`
	MaxAttempts      int           `cbor:"6,keyasint,omitempty"` // MaxAttempts is at least 1.
	SlowdownFactor   float64       `cbor:"7,keyasint,omitempty"` // SlowdownFactor is the allowed duration of a job as a multiple of its longest chain of tasks.
	LatencyAllowance time.Duration `cbor:"8,keyasint,omitempty"` // LatencyAllowance is the time that a job may take beyond that.
	RequiresAdvice   bool          `cbor:"9,keyasint,omitempty"` // RequiresAdvice is set if another service must approve each upstream.
}

// Catalogue is one version of the configuration.
type Catalogue struct {
	Version      uint64  `cbor:"1,keyasint"`
	Queues       []Queue `cbor:"2,keyasint"`
	MaxBodyBytes int64   `cbor:"3,keyasint,omitempty"` // MaxBodyBytes limits the size of a request's body; 0 selects the default.
}

// Find returns the queue with the longest prefix that matches the path, and the rest of
// the path after that prefix.
func (c *Catalogue) Find(host, path string) (q *Queue, rest string, found bool) {
	for i := range c.Queues {
		candidate := &c.Queues[i]
		if (candidate.Host == "" || strings.EqualFold(candidate.Host, host)) && strings.HasPrefix(path, candidate.Prefix) &&
			(q == nil || len(candidate.Prefix) > len(q.Prefix)) {
			q = candidate
		}
	}
	if q == nil {
		return nil, "", false
	}
	return q, path[len(q.Prefix):], true
}

// Kind classifies an [Error].
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

// Encode returns the catalogue in the encoding that [Decode] reads.
func (c *Catalogue) Encode() ([]byte, error) {
	b, err := cbor.Marshal(c)
	if err != nil {
		return nil, &Error{Op: "encode", Kind: KindEncode, Err: err}
	}
	return b, nil
}

// Decode decodes a catalogue that a peer has encoded, and checks it.
func Decode(b []byte) (*Catalogue, error) {
	c := new(Catalogue)
	if err := cbor.Unmarshal(b, c); err != nil {
		return nil, &Error{Op: "decode", Kind: KindDecode, Err: err}
	}
	invalid := slices.ContainsFunc(c.Queues, func(q Queue) bool { return q.MaxAttempts < 1 || q.Service == "" })
	if c.Version == 0 || invalid {
		return nil, &Error{Op: "decode", Kind: KindDecode, Err: errors.New("the version is 0, or a queue has no service or attempts")}
	}
	return c, nil
}

// Store holds the version in force in a process.
type Store struct {
	cell controller.Cell[Catalogue]
}

// Offer puts a version in force if it is higher than the current one, and reports
// whether it did. It must not be called concurrently.
func (s *Store) Offer(c *Catalogue) bool {
	if current := s.cell.Read(); current != nil && current.Version >= c.Version {
		return false
	}
	s.cell.Publish(c)
	return true
}

// InForce returns the version in force, or nil if there is none yet.
func (s *Store) InForce() *Catalogue { return s.cell.Read() }
