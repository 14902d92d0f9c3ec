package cmd

import (
	"context"
	"net/netip"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"sardinelock.dev/sardinelock/internal/administrator"
	"sardinelock.dev/sardinelock/internal/configurer"
	"sardinelock.dev/sardinelock/internal/storer"
	"sardinelock.dev/sardinelock/internal/versioner"
)

// versions reads and creates versions of the configuration, through the
// administration API or directly through the platform's services.
type versions struct {
	// version returns a version; 0 stands for the current one.
	version func(ctx context.Context, number uint64) (*configurer.Version, error)
	history func(ctx context.Context, limit int) ([]configurer.Head, error)
	// apply makes a change and reports its outcome.
	apply func(ctx context.Context, c versioner.Change) (versioner.Report, error)
}

// versionSource are the settings of the source of versions: the administration
// addresses of entries, which check the operator's role, or the platform itself.
type versionSource struct {
	clientFlags
	admin    []netip.AddrPort
	platform netip.AddrPort
}

func (s *versionSource) register(f *pflag.FlagSet) {
	f.Var(addrsFlag{&s.admin}, "admin", "administration addresses of entries, tried in order")
	f.Var(addrFlag{&s.platform}, "platform", "address of the platform's services, to work without entries")
	s.clientFlags.register(f)
}

// choose selects one of the two sources. A flag on the command line takes precedence
// over the environment, and the administration API over the platform.
func (s *versionSource) choose(c *cobra.Command) []string {
	admin, platform := setOnCommandLine(c, "admin"), setOnCommandLine(c, "platform")
	switch {
	case admin && platform:
		return []string{"--admin and --platform exclude each other"}
	case platform:
		s.admin = nil
	}
	if len(s.admin) == 0 && !s.platform.IsValid() {
		return []string{"--admin must be set, or --platform to work without entries"}
	}
	return nil
}

// setOnCommandLine reports whether a flag was set on the command line.
func setOnCommandLine(c *cobra.Command, name string) bool {
	f := c.Flags().Lookup(name)
	return f.Changed && f.Annotations[environmentAnnotation] == nil
}

func (s *versionSource) versions() (*versions, error) {
	if len(s.admin) == 0 {
		return platformVersions(versioner.New(storer.New(s.platform))), nil
	}
	token, err := s.token()
	if err != nil {
		return nil, err
	}
	http, err := s.clientFlags.client()
	if err != nil {
		return nil, err
	}
	client := administrator.NewClient(administrator.ClientOptions{Addrs: s.admin, Token: token, TLS: s.tls(), HTTP: http})
	return &versions{
		version: client.ConfigVersion,
		history: client.ConfigHistory,
		apply: func(ctx context.Context, c versioner.Change) (versioner.Report, error) {
			return client.ApplyConfig(ctx, c.ID, adminChange(&c))
		},
	}, nil
}

// adminChange converts a change for the administration API. It omits the operator,
// whom the entry identifies by the token.
func adminChange(c *versioner.Change) administrator.ConfigChange {
	out := administrator.ConfigChange{Expect: &c.ExpectVersion, Comment: c.Comment, RollbackTo: c.RollbackTo, Repeated: c.Repeated}
	if c.RollbackTo > 0 {
		return out
	}
	out.Base = c.Content.Base
	for _, o := range c.Content.Overlays {
		out.Overlays = append(out.Overlays, o.Text)
	}
	return out
}

func platformVersions(r *versioner.Versioner) *versions {
	return &versions{
		version: func(ctx context.Context, number uint64) (*configurer.Version, error) {
			if number > 0 {
				return r.Version(ctx, number)
			}
			head, err := r.Current(ctx)
			if err != nil {
				return nil, err
			}
			return r.Version(ctx, head.Number)
		},
		history: r.History,
		apply: func(ctx context.Context, c versioner.Change) (versioner.Report, error) {
			result, err := r.Apply(ctx, c)
			if err != nil {
				return versioner.Report{}, err
			}
			return r.Report(context.WithoutCancel(ctx), result), nil
		},
	}
}
