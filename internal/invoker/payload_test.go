package invoker

import (
	"io"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"
)

// TestReadPayload checks what is read and what it takes in memory, with and without
// a known length.
func TestReadPayload(t *testing.T) {
	for _, c := range []struct {
		body   string
		length int64
		want   int // want is how many bytes are read.
		err    error
	}{
		{"", 0, 0, nil},
		{`{"quote":12}`, 12, 12, nil},
		{`{"quote":12}`, -1, 12, nil},
		{`{"quote":`, 12, 9, io.ErrUnexpectedEOF},
		{strings.Repeat("x", MaxReplyBytes+9), MaxReplyBytes + 9, MaxReplyBytes + 1, nil},
		{strings.Repeat("x", MaxReplyBytes+9), -1, MaxReplyBytes + 1, nil},
	} {
		payload, err := readPayload(strings.NewReader(c.body), c.length)
		if !errors.Is(err, c.err) {
			t.Errorf("length %d: error %v, want %v", c.length, err, c.err)
		}
		if c.err != nil {
			continue
		}
		if diff := cmp.Diff(c.body[:c.want], string(payload)); diff != "" {
			t.Errorf("length %d (-want +got):\n%s", c.length, diff)
		}
		// The allocator's size classes are at most an eighth larger, or 16 bytes.
		if most := c.want + max(c.want/8, 16); cap(payload) > most {
			t.Errorf("length %d: %d bytes are held, want at most %d", c.length, cap(payload), most)
		}
	}
}
