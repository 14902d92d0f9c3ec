package interceptor

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sardinelock.dev/sardinelock/internal/journaler"
)

// logBuffer is a buffer for the goroutine of a journaler.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// TestPanicCostsOneRequest checks that a request whose handler panics is answered, and that
// the server goes on.
func TestPanicCostsOneRequest(t *testing.T) {
	var logged logBuffer
	journal := journaler.New("info", &logged)
	server := httptest.NewServer(Wrap(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/bad" {
			panic("a broken request")
		}
		w.WriteHeader(http.StatusNoContent)
	}), journal))
	defer server.Close()
	var got []int
	for _, path := range []string{"/good", "/bad", "/good"} {
		resp, err := http.Get(server.URL + path)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		got = append(got, resp.StatusCode)
	}
	if diff := cmp.Diff([]int{204, 500, 204}, got); diff != "" {
		t.Errorf("statuses (-want +got):\n%s", diff)
	}
	journal.Close()
	for _, part := range []string{`"event":"request-panicked"`, `"path":"/bad"`, "a broken request"} {
		if !strings.Contains(logged.String(), part) {
			t.Errorf("the log has no %s:\n%s", part, logged.String())
		}
	}
}
