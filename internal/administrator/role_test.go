package administrator

import (
	"net/http"
	"net/http/httptest"
	"regexp"
	"slices"
	"strings"
	"testing"

	"sardinelock.dev/sardinelock/internal/emulator"
)

var pathValue = regexp.MustCompile(`\{[a-z]+\}`)

// TestRolesOfEveryRoute calls every route as nobody, as a caller, as a viewer and as
// an operator. Every POST is an operator's, whatever the table says, and what is
// refused writes nothing.
func TestRolesOfEveryRoute(t *testing.T) {
	b, _ := newConfigBench(t, emulator.Faults{})
	b.parts = map[Call][]Part{CallJob: {{Peer: "e1"}}, CallCancelJob: {{Peer: "e1"}}}
	s := New(b.options())
	allowed := map[string][]string{"GET /burn": {"viewer", "operator"}}
	for pattern := range s.reads() {
		allowed[pattern] = []string{"viewer", "operator"}
	}
	for pattern := range s.changes() {
		allowed[pattern] = []string{"operator"}
	}
	if len(allowed) != len(s.reads())+len(s.changes())+1 {
		t.Error("a route is both a read and a change")
	}
	for pattern := range s.reads() {
		if !strings.HasPrefix(pattern, http.MethodGet+" ") {
			t.Errorf("%s is open to viewers", pattern)
		}
	}
	for pattern, roles := range allowed {
		method, path, _ := strings.Cut(pattern, " ")
		path = pathValue.ReplaceAllString(path, "x")
		for _, role := range []string{"", "caller", "viewer", "operator"} {
			r := httptest.NewRequest(method, path, nil)
			r.Header.Set("Role", role)
			w := httptest.NewRecorder()
			b.mux.ServeHTTP(w, r)
			letIn := w.Code != http.StatusForbidden
			if want := slices.Contains(roles, role); letIn != want {
				t.Errorf("%s as %q: status %d, want let in: %t", pattern, role, w.Code, want)
			}
		}
	}
	if rows := b.platform.Read("").Rows; len(rows) != 0 {
		t.Errorf("%d rows were written, the first %s", len(rows), rows[0].Key)
	}
}

// FuzzConfigChange checks that no body makes the decoder panic, that every refusal
// is the operator's fault with a title and writes nothing, and that what is accepted
// is one version.
func FuzzConfigChange(f *testing.F) {
	for _, body := range []string{
		`{"expect-version":0,"base":"` + strings.ReplaceAll(baseWithSlots(1), "\n", `\n`) + `"}`,
		`{"expect-version":0,"base":"services: {}"}`,
		`{"expect-version":0,"base":"services: []","overlays":["site: a","site: a"]}`,
		`{"expect-version":0,"rollback-to":1}`,
		`{"expect-version":-1}`, `{"expect-version":18446744073709551615,"base":"services: []"}`,
		`{"expect-version":0,"base":"services: []","repeated":true}`,
		`{"expect-version":0,"base":"\ud800"}`, `{}`, `[[[[`, ``, "\x00",
	} {
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body string) {
		b, _ := newConfigBench(t, emulator.Faults{})
		r := httptest.NewRequest(http.MethodPost, configVersions, strings.NewReader(body))
		r.Header.Set("Role", "operator")
		w := httptest.NewRecorder()
		b.mux.ServeHTTP(w, r)
		versions := len(b.platform.Read("config/history/").Rows)
		switch {
		case w.Code == http.StatusOK && versions == 1:
		case w.Code >= 400 && w.Code < 500 && versions == 0 && w.Body.Len() > 0:
		default:
			t.Errorf("status %d with %d versions: %s", w.Code, versions, w.Body)
		}
	})
}
