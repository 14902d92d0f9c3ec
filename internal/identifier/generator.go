package identifier

import (
	"crypto/rand"
	"encoding/binary"
	"io"
	"time"

	"github.com/google/uuid"
)

// Generator generates submission ids from a source of random bits. Generators with
// equal sources generate equal ids, so that tests that depend on ids are reproducible.
type Generator struct {
	// Random is the source of random bits. An id that is not random could collide with
	// another caller's, so generating an id panics if Random fails.
	Random io.Reader
}

// secureGenerator generates the ids of callers, which must not be predictable.
var secureGenerator = Generator{Random: rand.Reader}

// New returns an id generated at the given wall-clock time.
func (m Generator) New(now time.Time) Submission {
	id := uuid.Must(uuid.NewRandomFromReader(m.Random))
	millis := uint64(now.UnixMilli())
	var stamp [8]byte
	binary.BigEndian.PutUint64(stamp[:], millis<<16)
	copy(id[:6], stamp[:6])
	id[6] = 0x70 | id[6]&0x0f
	return Submission(id)
}

// NewIn is like the function [NewIn] but uses the random bits of the generator.
func (m Generator) NewIn(now time.Time, accept func(Partition) bool) (Submission, bool) {
	const attempts = 16 * Partitions
	for range attempts {
		id := m.New(now)
		if accept(id.Partition()) {
			return id, true
		}
	}
	return Submission{}, false
}

// NewForKey is like the function [NewForKey] but uses the random bits of the
// generator.
func (m Generator) NewForKey(now time.Time, key string) (Submission, bool) {
	if key == "" {
		return m.New(now), true
	}
	want := KeyPartition(key)
	return m.NewIn(now, func(p Partition) bool { return p == want })
}
