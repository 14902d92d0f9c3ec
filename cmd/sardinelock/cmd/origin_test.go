package cmd

import (
	"net/http"
	"testing"

	"sardinelock.dev/sardinelock/internal/launcher"
)

// TestPagesOfOthersMakeNoChange sends changes like a page of another site in an
// operator's browser (cross-site request forgery). They must be rejected even if no
// operator has a token and the browser runs on the same machine.
func TestPagesOfOthersMakeNoChange(t *testing.T) {
	system := newSystem(t, launcher.Options{Entries: 1, Agents: 1})
	url := "http://" + system.AdminAddrs()[0].String() + "/v1/admin/upstreams/agent-0/drain"
	for name, header := range map[string]map[string]string{
		"site":   {"Sec-Fetch-Site": "cross-site"},
		"origin": {"Origin": "https://elsewhere.test"},
	} {
		if status := post(t, url, header); status != http.StatusForbidden {
			t.Errorf("%s: status %d, want %d", name, status, http.StatusForbidden)
		}
	}
	if status := post(t, url, map[string]string{"Sec-Fetch-Site": "same-origin"}); status != http.StatusOK {
		t.Errorf("from the same origin: status %d, want %d", status, http.StatusOK)
	}
}

func post(t *testing.T, url string, header map[string]string) int {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	for k, v := range header {
		r.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}
