package dispatcher

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"sardinelock.dev/sardinelock/internal/configurer"
)

// TestSlowBody checks that a body that is not complete within the timeout is answered
// with status 408 and not as an invalid job.
func TestSlowBody(t *testing.T) {
	limits := &configurer.Limits{BodyTimeout: 50 * time.Millisecond, MaxBodyBytes: 1 << 20}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, problem := decodeJob(w, r, limits); problem != nil {
			w.WriteHeader(problem.Status)
		}
	}))
	defer server.Close()
	rest, stalled := io.Pipe()
	defer func() { _ = stalled.Close() }()
	body := io.MultiReader(strings.NewReader(`{"tasks":[{"payload":"`), rest)
	resp, err := http.Post(server.URL, "application/json", body)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusRequestTimeout {
		t.Errorf("status %d for a body that stalls", resp.StatusCode)
	}
}
