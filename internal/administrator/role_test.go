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

// TestRolesOfEveryRoute calls every route without a role and as a caller, a viewer and
// an operator. Only operators may use a POST route, whatever the tables of routes
// contain, and a refused request must write nothing.
func TestRolesOfEveryRoute(t *testing.T) {
	a, _ := newConfigAPI(t, emulator.Faults{})
	a.parts = map[Call][]Part{CallJob: {{Peer: "e1"}}, CallCancelJob: {{Peer: "e1"}}}
	s := New(a.options())
	allowed := map[string][]string{"GET /burn": {"viewer", "operator"}}
	for pattern := range s.readRoutes() {
		allowed[pattern] = []string{"viewer", "operator"}
	}
	for pattern := range s.operatorRoutes() {
		allowed[pattern] = []string{"operator"}
	}
	if len(allowed) != len(s.readRoutes())+len(s.operatorRoutes())+1 {
		t.Error("a route is both a read and a change")
	}
	for pattern := range s.readRoutes() {
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
			a.mux.ServeHTTP(w, r)
			accepted := w.Code != http.StatusForbidden
			if want := slices.Contains(roles, role); accepted != want {
				t.Errorf("%s as %q: status %d, want accepted: %t", pattern, role, w.Code, want)
			}
		}
	}
	if rows := a.platform.Read("").Rows; len(rows) != 0 {
		t.Errorf("%d rows were written, the first %s", len(rows), rows[0].Key)
	}
}

// FuzzConfigChange checks that no body makes the decoder panic, that every refusal has
// a 4xx status and a body and writes nothing, and that every accepted body makes
// exactly one version.
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
		a, _ := newConfigAPI(t, emulator.Faults{})
		r := httptest.NewRequest(http.MethodPost, configVersions, strings.NewReader(body))
		r.Header.Set("Role", "operator")
		w := httptest.NewRecorder()
		a.mux.ServeHTTP(w, r)
		versions := len(a.platform.Read("config/history/").Rows)
		switch {
		case w.Code == http.StatusOK && versions == 1:
		case w.Code >= 400 && w.Code < 500 && versions == 0 && w.Body.Len() > 0:
		default:
			t.Errorf("status %d with %d versions: %s", w.Code, versions, w.Body)
		}
	})
}
