// Package identifier generates and parses submission ids and maps them to partitions.
//
// A submission id is a UUID of version 7: its first 48 bits are the Unix time in
// milliseconds at which the caller generated it, the rest is random. The hash of the
// whole id alone determines its partition. The number of partitions is fixed, and
// each partition has one owner at a time.
package identifier

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// Partitions is the number of partitions of the submission-id space. It is part
// of the stored format: a change would map ids to other partitions.
const Partitions = 256

// Partition is the index of a partition, from 0 to Partitions-1.
type Partition uint16

// Submission is a submission id in its binary form.
type Submission uuid.UUID

// New returns an id generated at the given wall-clock time.
func New(now time.Time) Submission { return secureGenerator.New(now) }

// NewIn returns an id generated at the given time whose partition accept allows. It
// returns false if a bounded number of attempts found no such id, for example because
// accept allows no partition.
func NewIn(now time.Time, accept func(Partition) bool) (Submission, bool) {
	return secureGenerator.NewIn(now, accept)
}

// NewForKey returns an id generated at the given time for a submission with a request
// key. An empty key allows any partition.
func NewForKey(now time.Time, key string) (Submission, bool) {
	return secureGenerator.NewForKey(now, key)
}

// Parse parses the canonical text form of an id. It returns an error of kind
// [KindMalformed] if the text is not a UUID, and of kind [KindVersion] if it is a
// UUID of another version.
func Parse(text string) (Submission, error) {
	const op = "parse"
	if len(text) != 36 {
		return Submission{}, &Error{Op: op, Kind: KindMalformed, Detail: "want 36 characters"}
	}
	id, err := uuid.Parse(text)
	if err != nil {
		return Submission{}, &Error{Op: op, Kind: KindMalformed, Detail: err.Error()}
	}
	if id.Version() != 7 {
		return Submission{}, &Error{Op: op, Kind: KindVersion, Detail: "want UUID version 7"}
	}
	return Submission(id), nil
}

// String returns the canonical text form.
func (s Submission) String() string { return uuid.UUID(s).String() }

// MarshalText implements encoding.TextMarshaler.
func (s Submission) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Submission) UnmarshalText(text []byte) error {
	id, err := Parse(string(text))
	if err != nil {
		return err
	}
	*s = id
	return nil
}

// Time returns the wall-clock time at which the id was generated, in milliseconds.
func (s Submission) Time() time.Time {
	var stamp [8]byte
	copy(stamp[2:], s[:6])
	return time.UnixMilli(int64(binary.BigEndian.Uint64(stamp[:])))
}

// Partition returns the partition of the id.
func (s Submission) Partition() Partition {
	return Partition(xxhash.Sum64(s[:]) % Partitions)
}

// IsValid reports whether the id is one that [Parse] would return.
func (s Submission) IsValid() bool { return uuid.UUID(s).Version() == 7 }

// IsZero reports whether the id is unset.
func (s Submission) IsZero() bool { return s == Submission{} }

// KeyPartition returns the partition of a request key. The id of a submission with a
// request key must have the same partition, so that one owner decides both.
func KeyPartition(key string) Partition {
	return Partition(xxhash.Sum64String(key) % Partitions)
}
