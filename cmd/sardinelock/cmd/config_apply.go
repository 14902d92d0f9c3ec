package cmd

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"sardinelock.dev/sardinelock/internal/configurer"
	"sardinelock.dev/sardinelock/internal/storer"
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

` + verdictHelp,
		Example: `  sardinelock config apply --platform 127.0.0.1:7500 --expect-version 7 \
      --comment 'more slots for the order desk' base.yaml ub-1.yaml`,
		Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if err := usageFaults(change.faults(c)); err != nil {
				return err
			}
			base, overlays, err := readFiles(args)
			if err != nil {
				return err
			}
			v, err := configurer.NewVersion(base, overlays)
			if err != nil {
				return err
			}
			return change.apply(c, output, *v, 0)
		},
	}
	change.register(c.Flags())
	output.register(c.Flags())
	return c
}

// verdictHelp explains the outcomes of a change.
const verdictHelp = `The command says truly what became of the change. Exit code 0: accepted. Exit
code 4: refused, it is no version and will not become one. Exit code 5: unknown,
the platform did not say; run the command again with the printed change id, which
finds out and makes the change at most once.`

// platformFlag is the flag for the address of the platform.
type platformFlag struct{ addr netip.AddrPort }

func (p *platformFlag) register(f *pflag.FlagSet) {
	f.Var(addrFlag{&p.addr}, "platform", "address of the platform's services")
}

func (p *platformFlag) faults() []string {
	if !p.addr.IsValid() {
		return []string{"--platform must be set"}
	}
	return nil
}

func (p *platformFlag) versioner() *versioner.Versioner { return versioner.New(storer.New(p.addr)) }

// versionFlags are the flags of commands that make a version.
type versionFlags struct {
	platform platformFlag
	expect   uint64
	id       string
	operator string
	comment  string
	timeout  time.Duration
}

func (f *versionFlags) register(set *pflag.FlagSet) {
	f.platform.register(set)
	set.Uint64Var(&f.expect, "expect-version", 0, "current version as you have seen it")
	set.StringVar(&f.id, "change-id", "", "id of the change, to ask for it again (default: a new one)")
	set.StringVar(&f.operator, "operator", os.Getenv("USER"), "who makes the change")
	set.StringVar(&f.comment, "comment", "", "why")
	set.DurationVar(&f.timeout, "timeout", versionTimeout, "how long to try to learn what became of the change")
}

// faults reports what is wrong with the flags. The expected version has no
// default: a change that was made from an unknown version could undo another.
func (f *versionFlags) faults(c *cobra.Command) []string {
	faults := f.platform.faults()
	if !c.Flags().Changed("expect-version") {
		faults = append(faults, "--expect-version must be set")
	}
	if f.timeout <= 0 {
		faults = append(faults, "--timeout must be positive")
	}
	return faults
}

// apply makes the change, prints what became of it and returns its exit code.
func (f *versionFlags) apply(c *cobra.Command, output outputFlag, content configurer.Version, rollbackTo uint64) error {
	change := versioner.Change{
		ID:         f.id,
		Expect:     f.expect,
		Operator:   f.operator,
		Comment:    f.comment,
		RollbackTo: rollbackTo,
		Content:    content,
		Repeated:   f.id != "",
	}
	if change.ID == "" {
		change.ID = versioner.NewChangeID()
	}
	r := f.platform.versioner()
	ctx, cancel := context.WithTimeout(c.Context(), f.timeout)
	defer cancel()
	result, err := r.Apply(ctx, change)
	if err != nil {
		return err
	}
	report := versionReport{Result: result}
	if result.Reason == versioner.ReasonConflict {
		report.Differences, report.Fault = differencesSince(c.Context(), r, result)
	}
	if err := report.print(c, output); err != nil {
		return err
	}
	return report.exit()
}

// versionReport is what a command prints about a change.
type versionReport struct {
	versioner.Result
	// Differences are what has changed since the expected version.
	Differences []configurer.Difference `json:"differences,omitempty"`
	// Fault says why there are no differences.
	Fault string `json:"fault,omitempty"`
}

func differencesSince(ctx context.Context, r *versioner.Versioner, result versioner.Result) ([]configurer.Difference, string) {
	if result.Current < result.Expected {
		return nil, "the expected version does not exist"
	}
	differences, err := versionDifferences(ctx, r, result.Expected, result.Current)
	if err != nil {
		return nil, err.Error()
	}
	return differences, ""
}

// versionDifferences compares two accepted versions; 0 is before the first.
func versionDifferences(ctx context.Context, r *versioner.Versioner, from, to uint64) ([]configurer.Difference, error) {
	before, err := versionOrNone(ctx, r, from)
	if err != nil {
		return nil, err
	}
	after, err := versionOrNone(ctx, r, to)
	if err != nil {
		return nil, err
	}
	return configurer.Differences(before, after)
}

func versionOrNone(ctx context.Context, r *versioner.Versioner, number uint64) (*configurer.Version, error) {
	if number == 0 {
		return nil, nil
	}
	return r.Version(ctx, number)
}

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
