package administrator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"sardinelock.dev/sardinelock/internal/configurer"
	"sardinelock.dev/sardinelock/internal/emulator"
	"sardinelock.dev/sardinelock/internal/storer"
	"sardinelock.dev/sardinelock/internal/versioner"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// newConfigAPI returns an API on an emulated platform, and a function that returns a
// client with a role.
func newConfigAPI(t *testing.T, faults emulator.Faults) (*testAPI, func(role string) *Client) {
	a := &testAPI{t: t, platform: emulator.NewPlatform(5, faults), now: time.Unix(1_700_000_000, 0), mux: http.NewServeMux()}
	server := httptest.NewServer(a.platform.Handler())
	t.Cleanup(server.Close)
	a.store = storer.New(netip.MustParseAddrPort(server.Listener.Addr().String()))
	a.store.Sleep = func(context.Context, time.Duration) {}
	New(a.options()).Register(a.mux)
	return a, func(role string) *Client {
		api := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			r.Header.Set("Role", role)
			a.mux.ServeHTTP(w, r)
		}))
		t.Cleanup(api.Close)
		return NewClient(ClientOptions{
			Addrs: []netip.AddrPort{netip.MustParseAddrPort(api.Listener.Addr().String())},
			HTTP:  api.Client(),
		})
	}
}

func baseWithSlots(slots int) string {
	return fmt.Sprintf("services: [{name: quote, path: /q, timeout: 1s, objective: {latency: 1s, latency-ratio: 0.9, success-ratio: 0.9}}]\nteams: [{name: desk, slots: %d}]\n", slots)
}

func configChange(expect uint64, slots int) ConfigChange {
	return ConfigChange{Expect: &expect, Base: baseWithSlots(slots)}
}

func numberedChangeID(i int) string { return fmt.Sprintf("00000000-0000-0000-0000-%012d", i) }

// TestConfigLostAnswers makes changes through the API on a platform that loses the
// response to about half of the calls. Each change must make one version with the
// operator's name and leave its record in the object store.
func TestConfigLostAnswers(t *testing.T) {
	a, clients := newConfigAPI(t, emulator.Faults{LoseAnswerRatio: 0.5})
	client := clients("operator")
	const changes = 20
	for i := range changes {
		report, err := client.ApplyConfig(t.Context(), numberedChangeID(i), configChange(uint64(i), i))
		if err != nil || report.Verdict != versioner.VerdictAccepted || report.Version != uint64(i+1) {
			t.Fatalf("change %d: %+v, error %v", i, report, err)
		}
	}
	a.platform.SetFaults(emulator.Faults{})
	heads, err := client.ConfigHistory(t.Context(), 2*changes)
	if err != nil || len(heads) != changes {
		t.Fatalf("%d versions, error %v", len(heads), err)
	}
	for _, h := range heads {
		if h.Operator != "ann" || h.ChangeID != numberedChangeID(int(h.Number)-1) {
			t.Errorf("version %d is by %q under %s", h.Number, h.Operator, h.ChangeID)
		}
		var record Record
		text, err := a.store.Object(t.Context(), recordPrefix+h.ChangeID)
		if err != nil || json.Unmarshal(text, &record) != nil || record.By != "ann" || record.Action != ActionApplyConfig {
			t.Errorf("the record of version %d is %s, error %v", h.Number, text, err)
		}
	}
}

// TestConfigVerdictsWithoutPlatform requests changes while the platform is down. A
// first request is refused; the outcome of a repeated request is unknown.
func TestConfigVerdictsWithoutPlatform(t *testing.T) {
	a, _ := newConfigAPI(t, emulator.Faults{Down: true})
	for repeated, want := range map[bool]versioner.Verdict{false: versioner.VerdictRefused, true: versioner.VerdictUnknown} {
		change := configChange(0, 1)
		change.Repeated = repeated
		r := httptest.NewRequest(http.MethodPost, configVersions, bytes.NewReader(encode(change)))
		r.Header.Set("Role", "operator")
		w := httptest.NewRecorder()
		a.mux.ServeHTTP(w, r)
		var got ConfigApplied
		if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil {
			t.Fatalf("%s: %v", w.Body, err)
		}
		if w.Code != http.StatusServiceUnavailable || got.Verdict != want {
			t.Errorf("repeated %t: status %d, %+v", repeated, w.Code, got)
		}
	}
}

// TestConfigNotSent requests a change with a context that has already ended. Nothing
// was sent, so the verdict must be refused, not unknown.
func TestConfigNotSent(t *testing.T) {
	a, clients := newConfigAPI(t, emulator.Faults{})
	expired, cancel := context.WithCancel(t.Context())
	cancel()
	report, err := clients("operator").ApplyConfig(expired, numberedChangeID(1), configChange(0, 1))
	if err != nil || report.Verdict != versioner.VerdictRefused || report.Reason != versioner.ReasonUnavailable {
		t.Errorf("the change is %+v, error %v", report, err)
	}
	if rows := a.platform.Read(configurer.HistoryPrefix).Rows; len(rows) != 0 {
		t.Errorf("there are %d versions, want none", len(rows))
	}
}

// TestConfigErrors checks the status and title of the responses to invalid requests,
// and that only operators can read a whole version, which contains hashes of tokens.
func TestConfigErrors(t *testing.T) {
	a, clients := newConfigAPI(t, emulator.Faults{})
	if _, err := clients("operator").ApplyConfig(t.Context(), numberedChangeID(1), configChange(0, 1)); err != nil {
		t.Fatal(err)
	}
	for _, test := range []struct {
		method, path, role, body string
		status                   int
		title                    string
	}{
		{"POST", configVersions, "viewer", `{"expect-version":1}`, 403, "the role does not allow this"},
		{"POST", configVersions, "operator", `{}`, 400, "the body is not a change of the configuration"},
		{"POST", configVersions, "operator", `{"expect-version":1,"bse":""}`, 400, "the body is not a change of the configuration"},
		{"POST", configVersions, "operator", `{"expect-version":1,"rollback-to":1,"base":"x"}`, 400, "the body is not a change of the configuration"},
		{"POST", configVersions, "operator", `{"expect-version":1,"base":"services: {}"}`, 400, "the configuration is not valid"},
		{"POST", configVersions, "operator", `{"expect-version":1,"rollback-to":7}`, 404, "no such version"},
		{"GET", configVersions + "/1", "viewer", "", 403, "the role does not allow this"},
		{"GET", configVersions + "/x", "operator", "", 400, "the version is not a number"},
		{"GET", configVersions + "/2", "operator", "", 404, "no such version"},
		{"GET", configVersions + "?limit=0", "viewer", "", 400, "the limit is not valid"},
		{"GET", configVersions, "caller", "", 403, "the role does not allow this"},
	} {
		r := httptest.NewRequest(test.method, test.path, bytes.NewReader([]byte(test.body)))
		r.Header.Set("Role", test.role)
		w := httptest.NewRecorder()
		a.mux.ServeHTTP(w, r)
		var p submitter.Problem
		_ = json.Unmarshal(w.Body.Bytes(), &p)
		if w.Code != test.status || p.Title != test.title {
			t.Errorf("%s %s as %s with %s: status %d, %s", test.method, test.path, test.role, test.body, w.Code, w.Body)
		}
	}
	if rows := a.platform.Read(configurer.HistoryPrefix).Rows; len(rows) != 1 {
		t.Errorf("there are %d versions, want 1", len(rows))
	}
}
