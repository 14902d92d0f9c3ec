package agent

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"sardinelock.dev/sardinelock/internal/controller"
)

// FuzzAnnouncement checks that no announcement makes the agent panic, and that each is
// accepted, or refused with a reason.
func FuzzAnnouncement(f *testing.F) {
	for _, body := range []string{
		`{"address":"127.0.0.1:1","services":["quote"],"slots":8,"connections":64,"memory-bytes":1,"time-to-live":"5s"}`,
		`{"address":"127.0.0.1:1","slots":-1,"connections":0,"time-to-live":"-1s"}`,
		`{"address":"nowhere"}`, `{"leaving":true}`, `{"slots":1e99}`, `{"unknown":1}`, `[[[[`, ``, "\x00",
	} {
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body string) {
		a := &Agent{loop: controller.New(func(time.Time) {})}
		w := httptest.NewRecorder()
		a.serveAnnouncement(w, httptest.NewRequest(http.MethodPost, "/", strings.NewReader(body)))
		taken := w.Code == http.StatusNoContent
		refused := w.Code == http.StatusBadRequest && strings.TrimSpace(w.Body.String()) != ""
		if !taken && !refused {
			t.Errorf("status %d: %s", w.Code, w.Body)
		}
	})
}
