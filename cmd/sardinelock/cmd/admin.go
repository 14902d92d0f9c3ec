package cmd

import (
	"fmt"
	"io"
	"net/netip"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"sardinelock.dev/sardinelock/internal/administrator"
	"sardinelock.dev/sardinelock/internal/versioner"
)

// adminFlags are the settings of a command that calls the administration API.
type adminFlags struct {
	clientFlags
	addrs  []netip.AddrPort
	output outputFlag
}

func (a *adminFlags) register(f *pflag.FlagSet, formats ...outputFormat) {
	f.Var(addrsFlag{&a.addrs}, "admin", "administration addresses of entries, tried in order")
	a.output.register(f, formats...)
	a.clientFlags.register(f)
}

func (a *adminFlags) validate() []string {
	if len(a.addrs) == 0 {
		return []string{"--admin must be set"}
	}
	return nil
}

// client validates the settings and returns a client.
func (a *adminFlags) client() (*administrator.Client, error) {
	if err := usageErrors(a.validate()); err != nil {
		return nil, err
	}
	token, err := a.token()
	if err != nil {
		return nil, err
	}
	http, err := a.clientFlags.client()
	if err != nil {
		return nil, err
	}
	return administrator.NewClient(administrator.ClientOptions{
		Addrs: a.addrs,
		Token: token,
		TLS:   a.tls(),
		HTTP:  http,
	}), nil
}

// list fetches a listing and prints it. It names the entries that did not answer
// on standard error.
func list[T any](c *cobra.Command, a *adminFlags, path string, header []string, row func(T) []string) error {
	client, err := a.client()
	if err != nil {
		return err
	}
	var l administrator.Listing[T]
	if err := client.Get(c.Context(), path, &l); err != nil {
		return err
	}
	rows := make([][]string, len(l.Items))
	for i, item := range l.Items {
		rows[i] = row(item)
	}
	if a.output.format != outputJSON {
		printSilent(c.ErrOrStderr(), l.Silent)
	}
	return a.output.print(c.OutOrStdout(), l, header, rows)
}

func printSilent(w io.Writer, silent []administrator.Silent) {
	for _, s := range silent {
		fmt.Fprintf(w, "no answer from %s: %s\n", s.Entry, s.Detail)
	}
}

// changeFlags are the settings of a command that makes a change.
type changeFlags struct {
	adminFlags
	changeID string
}

func (f *changeFlags) register(flags *pflag.FlagSet) {
	f.adminFlags.register(flags)
	flags.StringVar(&f.changeID, "change-id", "", "UUID of the change, which makes a retry idempotent (default: a new one)")
}

// id returns the id of the change. It generates one if none was given.
func (f *changeFlags) id() string {
	if f.changeID == "" {
		f.changeID = versioner.NewChangeID()
	}
	return f.changeID
}

// make makes one change and prints its result.
func (f *changeFlags) make(c *cobra.Command, path string) error {
	client, err := f.client()
	if err != nil {
		return err
	}
	made, err := client.Change(c.Context(), path, f.id())
	if err != nil {
		return err
	}
	return f.print(c, []administrator.Changed{made})
}

// print prints the results of changes.
func (f *changeFlags) print(c *cobra.Command, changes []administrator.Changed) error {
	for i := range changes {
		printSilent(c.ErrOrStderr(), changes[i].Silent)
	}
	rows := make([][]string, len(changes))
	for i, ch := range changes {
		detail := ch.Detail
		if ch.Repeated {
			detail += " (made before, at " + ch.At.Format(time.RFC3339) + ")"
		}
		rows[i] = []string{ch.ChangeID, string(ch.Action), ch.Target, ch.By, detail}
	}
	return f.output.print(c.OutOrStdout(), changes, []string{"CHANGE", "ACTION", "TARGET", "BY", "RESULT"}, rows)
}
