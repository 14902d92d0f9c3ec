package identifier

import (
	"crypto/rand"
	"encoding/binary"
	"io"
	"time"

	"github.com/google/uuid"
)

// Maker makes submission ids from a source of random bits. Makers with equal
// sources make equal ids, so that what depends on an id can be repeated.
type Generator struct {
	// Random gives the random bits. It never fails: an id that is not random
	// could be another caller's.
	Random io.Reader
}

// secure makes the ids of callers, which nobody can foresee.
var secure = Generator{Random: rand.Reader}

// New returns an id made at the given wall-clock time.
func (m Generator) New(now time.Time) Submission {
	id := uuid.Must(uuid.NewRandomFromReader(m.Random))
	millis := uint64(now.UnixMilli())
	var stamp [8]byte
	binary.BigEndian.PutUint64(stamp[:], millis<<16)
	copy(id[:6], stamp[:6])
	id[6] = 0x70 | id[6]&0x0f
	return Submission(id)
}

// NewIn is the function [NewIn] with the random bits of the maker.
func (m Generator) NewIn(now time.Time, accept func(Partition) bool) (Submission, bool) {
	const tries = 16 * Partitions
	for range tries {
		id := m.New(now)
		if accept(id.Partition()) {
			return id, true
		}
	}
	return Submission{}, false
}

// NewForKey is the function [NewForKey] with the random bits of the maker.
func (m Generator) NewForKey(now time.Time, key string) (Submission, bool) {
	if key == "" {
		return m.New(now), true
	}
	want := KeyPartition(key)
	return m.NewIn(now, func(p Partition) bool { return p == want })
}
