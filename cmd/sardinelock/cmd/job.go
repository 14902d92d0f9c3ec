package cmd

import (
	"net/netip"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"sardinelock.dev/sardinelock/pkg/submitter"
)

func newJobCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "job",
		Short: "Show and cancel jobs",
		Args:  cobra.NoArgs,
	}
	c.AddCommand(newJobGetCommand(), newJobCancelCommand(), newJobListCommand())
	return c
}

// callerFlags are the settings of a command that calls entries in the role of a caller.
type callerFlags struct {
	clientFlags
	entries []netip.AddrPort
	team    string
}

func (f *callerFlags) register(flags *pflag.FlagSet) {
	flags.Var(addrsFlag{&f.entries}, "entry", "caller addresses of entries")
	flags.StringVar(&f.team, "team", "", "team of the caller, if the entries require no token")
	f.clientFlags.register(flags)
}

func (f *callerFlags) validate() []string {
	if len(f.entries) == 0 {
		return []string{"--entry must be set"}
	}
	return nil
}

func (f *callerFlags) client() (*submitter.Client, error) {
	token, err := f.token()
	if err != nil {
		return nil, err
	}
	http, err := f.clientFlags.client()
	if err != nil {
		return nil, err
	}
	return submitter.New(submitter.Options{
		Entries: f.entries,
		Team:    f.team,
		Token:   token,
		TLS:     f.tls(),
		HTTP:    http,
	}), nil
}
