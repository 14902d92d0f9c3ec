package dispatcher

import (
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"sardinelock.dev/sardinelock/internal/configurer"
	"sardinelock.dev/sardinelock/pkg/submitter"
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

// TestDecodedTasksMemory guards against bodies of empty tasks: decoding them took a hundred times as much
// memory as the body, which may have 32 MiB.
func TestDecodedTasksMemory(t *testing.T) {
	const tasks = 1 << 20
	body := `{"tasks":[` + strings.Repeat("{},", tasks-1) + `{}]}`
	r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(body))
	config := configurer.Default()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, problem := decodeJob(httptest.NewRecorder(), r, &config.Limits)
	runtime.ReadMemStats(&after)
	if got, most := after.TotalAlloc-before.TotalAlloc, uint64(4*len(body)); got > most {
		t.Errorf("decoding a body of %d bytes allocates %d, want %d at most", len(body), got, most)
	}
	want := "the job has " + strconv.Itoa(tasks) + " tasks; it must have 1 to " + strconv.Itoa(submitter.MaxTasks)
	if problem == nil || problem.Detail != want {
		t.Errorf("problem %+v, want %s", problem, want)
	}
}
