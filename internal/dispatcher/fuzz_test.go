package dispatcher

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"sardinelock.dev/sardinelock/internal/configurer"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// FuzzDecodeJob checks that no body makes the decoder panic, that every rejection is a
// client error with a title, and that an accepted job has the same number of tasks
// after it is encoded and decoded again.
func FuzzDecodeJob(f *testing.F) {
	for _, body := range []string{
		`{"tasks":[{"payload":{"run-time":"1ms"},"run-time":"250ms","repeatable":true}],"deadline":"2s","request-key":"k"}`,
		`{"tasks":[]}`,
		`{"tasks":[{}]}`,
		`{"tasks":[{"payload":null,"memory-bytes":-1,"accelerators":9223372036854775807}]}`,
		`{"tasks":[{"run-time":"-1s"}],"deadline":"-1h"}`,
		`{"tasks":[{"unknown":1}]}`,
		`{"tasks":[{"payload":1}]} trailing`,
		`{"tasks":[` + strings.Repeat(`{},`, submitter.MaxTasks) + `{}]}`,
		`[[[[[[`, ``, "\x00", `{"tasks":[{"payload":"\ud800"}]}`,
	} {
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body string) {
		job, problem := decodeBody(body)
		if problem != nil {
			if problem.Status < 400 || problem.Status >= 500 || problem.Title == "" {
				t.Errorf("problem %+v", problem)
			}
			return
		}
		text, err := json.Marshal(job)
		if err != nil {
			t.Fatalf("cannot encode an accepted job: %v", err)
		}
		again, problem := decodeBody(string(text))
		if problem != nil || len(again.Tasks) != len(job.Tasks) {
			t.Errorf("the encoded job was decoded as %+v, %+v", again, problem)
		}
	})
}

func decodeBody(body string) (*submitter.Job, *submitter.Problem) {
	r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(body))
	config := configurer.Default()
	return decodeJob(httptest.NewRecorder(), r, &config.Limits)
}
