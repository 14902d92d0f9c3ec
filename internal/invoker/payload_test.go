package invoker

import (
	"io"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"
)

// TestReadPayload checks the payload and the capacity of its buffer, with and without a
// known length.
func TestReadPayload(t *testing.T) {
	for _, c := range []struct {
		body   string
		length int64
		want   int // want is the number of bytes read.
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
		// The allocator rounds a size up to its size class, by at most an eighth or 16 bytes.
		if maxCap := c.want + max(c.want/8, 16); cap(payload) > maxCap {
			t.Errorf("length %d: the buffer has %d bytes, want at most %d", c.length, cap(payload), maxCap)
		}
	}
}
