package dispatcher

import (
	"net/http/httptest"
	"testing"

	"sardinelock.dev/sardinelock/internal/authenticator"
)

// TestAdministrationWithoutTokens checks that while no operator has a token,
// administration is allowed from the same machine only, whatever the headers say.
func TestAdministrationWithoutTokens(t *testing.T) {
	e := new(Entry)
	for remote, want := range map[string]bool{
		"127.0.0.1:40000":          true,
		"[::1]:40000":              true,
		"[::ffff:127.0.0.1]:40000": true,
		"192.0.2.7:40000":          false,
		"[2001:db8::7]:40000":      false,
		"@":                        false,
		"":                         false,
	} {
		r := httptest.NewRequest("POST", "/v1/admin/entries/e/drain", nil)
		r.RemoteAddr = remote
		r.Header.Set("X-Forwarded-For", "127.0.0.1")
		r.Header.Set("Forwarded", "for=127.0.0.1")
		who, problem := e.administrator(r, authenticator.RoleOperator)
		if (problem == nil) != want || want && who.Name != "local" {
			t.Errorf("from %q: %+v, %+v; want allowed: %t", remote, who, problem, want)
		}
	}
}
