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

// versionTimeout is the default time that a command spends on learning the outcome
// of a change.
const versionTimeout = 20 * time.Second

func newConfigApplyCommand() *cobra.Command {
	var (
		change versionFlags
		output outputFlag
	)
	c := &cobra.Command{
		Use:   "apply BASE [OVERLAY...]",
		Short: "Apply a base and its overlays as the next version",
		Long: `Apply a base and its overlays as the next version.

The files replace the whole configuration: a site whose overlay is not given has
none afterwards. --expect-version is the version that the files are based on, 0
for the first. If another version has become current, the change is refused and
the differences between the two versions are printed.

` + sourceHelp + `

` + verdictHelp,
		Example: `  sardinelock config apply --admin 127.0.0.1:7402 --token-file token --expect-version 7 \
      --comment 'more slots for the order desk' base.yaml ub-1.yaml
  sardinelock config apply --platform 127.0.0.1:7500 --expect-version 0 base.yaml`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if err := usageErrors(change.validate(c)); err != nil {
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
const sourceHelp = `With --admin an entry makes the change on behalf of the operator, provided that
the operator's role allows it, and writes an audit record. With --platform the
command works without any entry, which the first version needs. Anyone who can
reach the platform's services can change the configuration in this way, and the
operator is recorded as given by --operator. If the environment sets both, the
administration API is used.`

// verdictHelp explains the outcomes of a change.
const verdictHelp = `Exit code 0: the change was accepted. Exit code 4: the change was refused and will
not take effect. Exit code 5: the outcome is unknown because the platform did not
confirm it. Run the command again with the printed change id to learn the outcome;
the change is made at most once.`

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
	set.Uint64Var(&f.expect, "expect-version", 0, "version that you expect to be current")
	set.StringVar(&f.id, "change-id", "", "id of the change; pass the printed id to retry (default: a new one)")
	set.StringVar(&f.operator, "operator", os.Getenv("USER"), "operator who makes the change; ignored with --admin, where the token identifies the operator")
	set.StringVar(&f.comment, "comment", "", "why")
	set.DurationVar(&f.timeout, "timeout", versionTimeout, "how long to try to learn the outcome of the change")
}

// validate returns the problems of the flags. The expected version has no default:
// a change that is based on an unknown version could undo another.
func (f *versionFlags) validate(c *cobra.Command) []string {
	problems := f.source.choose(c)
	if !c.Flags().Changed("expect-version") {
		problems = append(problems, "--expect-version must be set")
	}
	if f.timeout <= 0 {
		problems = append(problems, "--timeout must be positive")
	}
	return problems
}

// apply makes the change, prints its outcome and returns an error that carries the
// exit code, or nil if the change was accepted.
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
	return report.exitCode()
}

// versionReport prints the outcome of a change.
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

// exitCode returns an error that carries the exit code of the verdict, or nil if
// the change was accepted.
func (p *versionReport) exitCode() error {
	switch p.Verdict {
	case versioner.VerdictAccepted:
		return nil
	case versioner.VerdictRefused:
		return &exitCodeError{exitNotRun, errors.New("the change was refused")}
	}
	return &exitCodeError{exitUnknown, errors.New("the outcome of the change is unknown")}
}
