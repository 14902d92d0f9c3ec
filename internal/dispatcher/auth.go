package dispatcher

import (
	"net/http"
	"net/netip"

	"sardinelock.dev/sardinelock/internal/authenticator"
	"sardinelock.dev/sardinelock/internal/configurer"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// credentials are the valid tokens of one version of the configuration.
type credentials struct {
	config *configurer.Config
	tokens *authenticator.Set
}

// tokens returns the valid tokens of the configuration in force, or nil if no
// configuration is known. A malformed hash never makes a token valid: the error is
// logged and the tokens of the previous version, if there is one, remain valid.
func (e *Entry) tokens() *authenticator.Set {
	config := e.config.Read()
	cached := e.auth.Read()
	if cached != nil && cached.config == config {
		return cached.tokens
	}
	if config == nil {
		return nil
	}
	set, err := authenticator.New(configCredentials(config))
	if err != nil {
		e.settings.Logger.Error().Err(err).Msg("cannot decode the token hashes of a configuration version; the previous tokens, if any, stay valid")
		if cached == nil {
			return nil
		}
		set = cached.tokens
	}
	e.auth.Publish(&credentials{config: config, tokens: set})
	return set
}

func configCredentials(c *configurer.Config) []authenticator.Credential {
	var out []authenticator.Credential
	for _, t := range c.Teams {
		out = append(out, authenticator.Credential{
			Principal: authenticator.Principal{Name: t.Name, Role: authenticator.RoleCaller},
			Hashes:    t.TokenHashes,
		})
	}
	for _, o := range c.Operators {
		role := authenticator.RoleViewer
		if o.Role == configurer.RoleOperator {
			role = authenticator.RoleOperator
		}
		out = append(out, authenticator.Credential{
			Principal: authenticator.Principal{Name: o.Name, Role: role},
			Hashes:    o.TokenHashes,
		})
	}
	return out
}

// team returns the team that a caller's request belongs to. While no team has a
// token, the team is taken from a header of the request without a check.
func (e *Entry) team(r *http.Request) (string, *submitter.Problem) {
	tokens := e.tokens()
	if tokens == nil {
		return "", noConfiguration()
	}
	if tokens.Empty(authenticator.RoleCaller) {
		return r.Header.Get(submitter.HeaderTeam), nil
	}
	p, problem := authenticate(tokens, r, authenticator.RoleCaller)
	return p.Name, problem
}

// administrator returns the operator who sent an administration request and who must
// have one of the given roles. While no operator has a token, every request from the
// same machine is allowed and no other.
func (e *Entry) administrator(r *http.Request, roles ...authenticator.Role) (authenticator.Principal, *submitter.Problem) {
	tokens := e.tokens()
	if tokens == nil || tokens.Empty(authenticator.RoleViewer, authenticator.RoleOperator) {
		remote, err := netip.ParseAddrPort(r.RemoteAddr)
		if err == nil && remote.Addr().Unmap().IsLoopback() {
			return authenticator.Principal{Name: "local", Role: authenticator.RoleOperator}, nil
		}
		return authenticator.Principal{}, &submitter.Problem{
			Status: http.StatusForbidden,
			Title:  "no operator has a token",
			Detail: "until the configuration in force has tokens of operators, administration is allowed from the same machine only",
		}
	}
	p, problem := authenticate(tokens, r, authenticator.RoleViewer, authenticator.RoleOperator)
	if problem != nil {
		return p, problem
	}
	for _, role := range roles {
		if p.Role == role {
			return p, nil
		}
	}
	return p, &submitter.Problem{
		Status: http.StatusForbidden,
		Title:  "the role does not allow this",
		Detail: p.Name + " has the role " + string(p.Role),
	}
}

// authenticate checks the bearer token of a request. The problem is the same for a
// missing token and a wrong one.
func authenticate(tokens *authenticator.Set, r *http.Request, roles ...authenticator.Role) (authenticator.Principal, *submitter.Problem) {
	refused := &submitter.Problem{
		Status: http.StatusUnauthorized,
		Title:  "no valid token",
		Detail: "the request needs the header Authorization: Bearer with a valid token",
	}
	presented, err := authenticator.Bearer(r)
	if err != nil {
		return authenticator.Principal{}, refused
	}
	p, err := tokens.Authenticate(presented, roles...)
	if err != nil {
		return authenticator.Principal{}, refused
	}
	return p, nil
}

func noConfiguration() *submitter.Problem {
	return &submitter.Problem{
		Status: http.StatusServiceUnavailable,
		Title:  "no configuration is in force yet",
		Detail: "the entry has not learned the operators' configuration",
	}
}
