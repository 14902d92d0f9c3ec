package connector

import (
	"bufio"
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestSmallReaderKeepsAhead checks that bytes that arrived together with the upgrade
// request are in the new buffer, whatever their number, and that the bytes of the
// connection follow them.
func TestSmallReaderKeepsAhead(t *testing.T) {
	for _, size := range []int{0, 1, bufferBytes - 1, bufferBytes, bufferBytes + 1, 4 * bufferBytes} {
		ahead, rest := bytes.Repeat([]byte{'a'}, size), strings.Repeat("r", 2*bufferBytes)
		large := bufio.NewReaderSize(bytes.NewReader(ahead), 8*bufferBytes)
		if _, err := large.Peek(size); err != nil {
			t.Fatal(err)
		}
		reader, err := smallReader(large, strings.NewReader(rest))
		if err != nil {
			t.Fatal(err)
		}
		if reader.Buffered() < size {
			t.Errorf("%d of %d bytes are buffered", reader.Buffered(), size)
		}
		all, err := io.ReadAll(reader)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(string(ahead)+rest, string(all)); diff != "" {
			t.Errorf("%d bytes ahead (-want +got):\n%s", size, diff)
		}
	}
}
