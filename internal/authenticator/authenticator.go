// Package authenticator maps bearer tokens to principals.
//
// The configuration contains only SHA-256 hashes of tokens. A [Set] is built from
// one version of the configuration and is immutable. A principal may have several
// valid tokens, so that tokens can be rotated without interruption: add the hash of
// the new token, switch every user to it, then remove the old hash.
//
// Every presented token is compared with every hash in constant time, so that the
// response time reveals neither similar hashes nor their position in the
// configuration.
package authenticator

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"slices"
	"strings"
)

// Role determines what a principal may do.
type Role string

// The roles.
const (
	// RoleCaller submits, reads and cancels the jobs of its team.
	RoleCaller Role = "caller"
	// RoleViewer reads everything in the administration API.
	RoleViewer Role = "viewer"
	// RoleOperator reads and changes everything in the administration API.
	RoleOperator Role = "operator"
)

// Principal is the owner of a token.
type Principal struct {
	// Name is the team of a caller or the name of an operator.
	Name string
	Role Role
}

// Credential is a principal with the hashes of its tokens.
type Credential struct {
	Principal
	// Hashes are SHA-256 hashes in hexadecimal.
	Hashes []string
}

// Set holds the token hashes of one version of the configuration.
type Set struct {
	tokens []token
	// equal returns 1 if two hashes are equal, and 0 otherwise. Tests replace it to
	// count comparisons.
	equal func(a, b []byte) int
}

type token struct {
	hash      [sha256.Size]byte
	principal Principal
}

// New returns the set of the credentials' tokens. If a hash is malformed, it returns
// an error of kind [KindHash], which has the principal's name but not the hash.
func New(credentials []Credential) (*Set, error) {
	s := &Set{equal: subtle.ConstantTimeCompare}
	for _, c := range credentials {
		for _, text := range c.Hashes {
			hash, err := hex.DecodeString(text)
			if err != nil || len(hash) != sha256.Size {
				return nil, &Error{Op: "new", Kind: KindHash, Name: c.Name}
			}
			s.tokens = append(s.tokens, token{hash: [sha256.Size]byte(hash), principal: c.Principal})
		}
	}
	return s, nil
}

// Empty reports whether no token belongs to a principal with one of the roles.
func (s *Set) Empty(roles ...Role) bool {
	for i := range s.tokens {
		if slices.Contains(roles, s.tokens[i].principal.Role) {
			return false
		}
	}
	return true
}

// Authenticate returns the principal that the presented token belongs to and that has
// one of the roles. It returns an error of kind [KindUnknown] if there is none.
func (s *Set) Authenticate(presented string, roles ...Role) (Principal, error) {
	hash := sha256.Sum256([]byte(presented))
	var found *token
	for i := range s.tokens {
		t := &s.tokens[i]
		match := s.equal(hash[:], t.hash[:])
		if match == 1 && slices.Contains(roles, t.principal.Role) {
			found = t
		}
	}
	if found == nil {
		return Principal{}, &Error{Op: "authenticate", Kind: KindUnknown}
	}
	return found.principal, nil
}

// Bearer returns the bearer token of a request. It returns an error of kind
// [KindMissing] if the request has none.
func Bearer(r *http.Request) (string, error) {
	scheme, presented, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || presented == "" {
		return "", &Error{Op: "authenticate", Kind: KindMissing}
	}
	return presented, nil
}

// Hash returns the hash of a token in the form that the configuration uses.
func Hash(presented string) string {
	hash := sha256.Sum256([]byte(presented))
	return hex.EncodeToString(hash[:])
}
