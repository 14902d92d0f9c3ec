package authenticator

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestRotation rotates a team's token over three versions of the configuration, which
// have the old token, both tokens, and the new token.
func TestRotation(t *testing.T) {
	const before, after = "token-before", "token-after"
	team := Principal{Name: "order-desk", Role: RoleCaller}
	cases := []struct {
		name   string
		hashes []string
		want   map[string]bool
	}{
		{"old", []string{Hash(before)}, map[string]bool{before: true, after: false}},
		{"both", []string{Hash(before), Hash(after)}, map[string]bool{before: true, after: true}},
		{"new", []string{Hash(after)}, map[string]bool{before: false, after: true}},
	}
	for _, c := range cases {
		set, err := New([]Credential{{Principal: team, Hashes: c.hashes}})
		if err != nil {
			t.Fatal(err)
		}
		for presented, valid := range c.want {
			got, err := set.Authenticate(presented, RoleCaller)
			if (err == nil) != valid || (valid && got != team) {
				t.Errorf("%s: %s: got %v, %v; want valid %v", c.name, presented, got, err, valid)
			}
		}
	}
}

// TestRoles checks that a token is valid only for the role of its principal, and that
// errors do not contain the token.
func TestRoles(t *testing.T) {
	set, err := New([]Credential{
		{Principal: Principal{"order-desk", RoleCaller}, Hashes: []string{Hash("caller-token")}},
		{Principal: Principal{"ann", RoleViewer}, Hashes: []string{Hash("viewer-token")}},
		{Principal: Principal{"bob", RoleOperator}, Hashes: []string{Hash("operator-token")}},
	})
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, presented := range []string{"caller-token", "viewer-token", "operator-token", "other", ""} {
		for _, roles := range [][]Role{{RoleCaller}, {RoleViewer, RoleOperator}, {RoleOperator}} {
			p, err := set.Authenticate(presented, roles...)
			if err == nil {
				got = append(got, p.Name)
				continue
			}
			if KindOf(err) != KindUnknown || (presented != "" && strings.Contains(err.Error(), presented)) {
				t.Errorf("error %v", err)
			}
			got = append(got, "-")
		}
	}
	want := []string{"order-desk", "-", "-", "-", "ann", "-", "-", "bob", "bob", "-", "-", "-", "-", "-", "-"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("principals (-want +got):\n%s", diff)
	}
}

// TestMalformedHash checks that the error contains the principal's name but not the
// hash.
func TestMalformedHash(t *testing.T) {
	_, err := New([]Credential{{Principal: Principal{"order-desk", RoleCaller}, Hashes: []string{"secret-typed-as-hash"}}})
	if diff := cmp.Diff("new: malformed-hash of order-desk", err.Error()); diff != "" {
		t.Errorf("error (-want +got):\n%s", diff)
	}
}

func TestBearer(t *testing.T) {
	for header, want := range map[string]string{
		"":              "",
		"Bearer":        "",
		"Bearer ":       "",
		"Basic abc":     "",
		"Bearer abc":    "abc",
		"bearer abc":    "abc",
		"Bearer a b c ": "a b c ",
	} {
		r := httptest.NewRequest("GET", "/", nil)
		r.Header.Set("Authorization", header)
		if got, err := Bearer(r); got != want || (err != nil) != (want == "") {
			t.Errorf("%q: got %q, %v; want %q", header, got, err, want)
		}
	}
}

// TestEveryHashIsCompared checks that a token is compared with every hash, also after
// a match, so that the response time does not reveal the position of the match.
func TestEveryHashIsCompared(t *testing.T) {
	set, err := New([]Credential{
		{Principal: Principal{"order-desk", RoleCaller}, Hashes: []string{Hash("first"), Hash("second")}},
		{Principal: Principal{"ann", RoleViewer}, Hashes: []string{Hash("last")}},
	})
	if err != nil {
		t.Fatal(err)
	}
	compared := 0
	equal := set.equal
	set.equal = func(a, b []byte) int {
		compared++
		return equal(a, b)
	}
	for _, presented := range []string{"first", "second", "last", "none", ""} {
		for _, role := range []Role{RoleCaller, RoleViewer} {
			compared = 0
			_, _ = set.Authenticate(presented, role)
			if compared != 3 {
				t.Errorf("%q as %s: compared with %d of 3 hashes", presented, role, compared)
			}
		}
	}
}
