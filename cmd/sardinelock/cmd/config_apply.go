package cmd

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"sardinelock.dev/sardinelock/internal/configurer"
	"sardinelock.dev/sardinelock/internal/versioner"
)

// versionTimeout is how long a command tries to learn what became of a change.
const versionTimeout = 20 * time.Second

func newConfigApplyCommand() *cobra.Command {
	var (
		change versionFlags
		output outputFlag
	)
	c := &cobra.Command{
		Use:   "apply BASE [OVERLAY...]",
		Short: "Make a base and its overlays the next version",
		Long: `Make a base and its overlays the next version.

The files are the whole configuration: a site whose overlay is not given has
none afterwards. --expect-version is the version that the files were made from,
0 for the first. If another version is current by now, nothing is changed and
what has changed since then is printed.

` + sourceHelp + `

` + verdictHelp,
		Example: `  sardinelock config apply --admin 127.0.0.1:7402 --token-file token --expect-version 7 \
      --comment 'more slots for the order desk' base.yaml ub-1.yaml
  sardinelock config apply --platform 127.0.0.1:7500 --expect-version 0 base.yaml`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if err := usageFaults(change.faults(c)); err != nil {
				return err
			}
			base, overlays, err := readFiles(args)
			if err != nil {
				return err
			}
			content, err := configurer.NewVersion(base, overlays)
			if err != nil {
				return err
			}
			v, err := change.source.versions()
			if err != nil {
				return err
			}
			return change.apply(c, v, output, *content, 0)
		},
	}
	change.register(c.Flags())
	output.register(c.Flags())
	return c
}

// sourceHelp explains the two sources of versions.
const sourceHelp = `With --admin an entry makes the change in the operator's name, if the role allows
it, and leaves an audit record. With --platform the command works without any
entry, as for the first version; whoever reaches the platform's services can then
change the configuration, and the version names the operator by --operator. If the
environment sets both, the administration API is used.`

// verdictHelp explains the outcomes of a change.
const verdictHelp = `The command says truly what became of the change. Exit code 0: accepted. Exit
code 4: refused, it is no version and will not become one. Exit code 5: unknown,
the platform did not say; run the command again with the printed change id, which
finds out and makes the change at most once.`

// versionFlags are the flags of commands that make a version.
type versionFlags struct {
	source   versionSource
	expect   uint64
	id       string
	operator string
	comment  string
	timeout  time.Duration
}

func (f *versionFlags) register(set *pflag.FlagSet) {
	f.source.register(set)
	set.Uint64Var(&f.expect, "expect-version", 0, "current version as you have seen it")
	set.StringVar(&f.id, "change-id", "", "id of the change, to ask for it again (default: a new one)")
	set.StringVar(&f.operator, "operator", os.Getenv("USER"), "who makes the change; with --admin the token says so")
	set.StringVar(&f.comment, "comment", "", "why")
	set.DurationVar(&f.timeout, "timeout", versionTimeout, "how long to try to learn what became of the change")
}

// faults reports what is wrong with the flags. The expected version has no
// default: a change that was made from an unknown version could undo another.
func (f *versionFlags) faults(c *cobra.Command) []string {
	faults := f.source.choose(c)
	if !c.Flags().Changed("expect-version") {
		faults = append(faults, "--expect-version must be set")
	}
	if f.timeout <= 0 {
		faults = append(faults, "--timeout must be positive")
	}
	return faults
}

// apply makes the change, prints what became of it and returns its exit code.
func (f *versionFlags) apply(c *cobra.Command, v *versions, output outputFlag, content configurer.Version, rollbackTo uint64) error {
	change := versioner.Change{
		ID:            cmp.Or(f.id, versioner.NewChangeID()),
		ExpectVersion: f.expect,
		Operator:      f.operator,
		Comment:       f.comment,
		RollbackTo:    rollbackTo,
		Content:       content,
		Repeated:      f.id != "",
	}
	ctx, cancel := context.WithTimeout(c.Context(), f.timeout)
	defer cancel()
	made, err := v.apply(ctx, change)
	if err != nil {
		return err
	}
	report := versionReport{made}
	if err := report.print(c, output); err != nil {
		return err
	}
	return report.exit()
}

// versionReport is what a command prints about a change.
type versionReport struct{ versioner.Report }

func (p *versionReport) print(c *cobra.Command, output outputFlag) error {
	w := c.OutOrStdout()
	if output.format == outputJSON {
		return printJSON(w, p)
	}
	switch p.Verdict {
	case versioner.VerdictAccepted:
		fmt.Fprintf(w, "accepted: version %d, change %s\n", p.Version, p.ChangeID)
		return nil
	case versioner.VerdictUnknown:
		fmt.Fprintf(w, "unknown: %s\nask again with: --expect-version %d --change-id %s\n", p.Detail, p.Expected, p.ChangeID)
		return nil
	}
	fmt.Fprintf(w, "refused: %s\n", p.Detail)
	if p.Reason != versioner.ReasonConflict {
		return nil
	}
	if p.Fault != "" {
		fmt.Fprintf(w, "what has changed is not known: %s\n", p.Fault)
		return nil
	}
	fmt.Fprintf(w, "changed from version %d to %d:\n", p.Expected, p.Current)
	return printDifferences(w, output, p.Differences)
}

// exit returns the error that carries the exit code of the verdict.
func (p *versionReport) exit() error {
	switch p.Verdict {
	case versioner.VerdictAccepted:
		return nil
	case versioner.VerdictRefused:
		return &codedError{exitNotRun, errors.New("the change is refused")}
	}
	return &codedError{exitUnknown, errors.New("the outcome of the change is unknown")}
}
