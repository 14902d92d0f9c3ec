package interceptor

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sardinelock.dev/sardinelock/internal/journaler"
)

// TestPanicCostsOneRequest checks that a request whose handler panics is answered, and that
// the server goes on.
func TestPanicCostsOneRequest(t *testing.T) {
	var logged bytes.Buffer
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
