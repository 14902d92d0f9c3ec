package receiver

import (
	"fmt"
	"io"
	"runtime"
	"strings"
	"testing"
	"time"
)

// TestManyFieldsAreDropped guards against headers of legal size with very many fields: kept until the
// request is answered, those of some hundred requests exceeded the memory of an entry.
func TestManyFieldsAreDropped(t *testing.T) {
	const (
		callers, fields = 100, 1200
		// perCaller is less than such a header takes, some 200 KB, and more than the buffers and stacks of a
		// connection take at both ends.
		perCaller = 100 << 10
	)
	s := newTestServer(t, Limits{MaxBytes: 4 * bodyLimit}, 10*time.Second)
	var header strings.Builder
	for i := range fields {
		fmt.Fprintf(&header, "h%04d:1\r\n", i)
	}
	before := liveHeap()
	for range callers {
		c := s.dial()
		if _, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: test\r\nContent-Length: 10\r\n"+header.String()+"\r\n"); err != nil {
			t.Fatal(err)
		}
	}
	s.await("the bodies", func() bool { return s.receiver.small.Len() == callers })
	if held := (liveHeap() - before) / callers; held > perCaller {
		t.Errorf("%d KB are held for each request, want %d at most", held>>10, perCaller>>10)
	}
}

// liveHeap returns the size of all reachable objects, in bytes.
func liveHeap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
