package cmd

import (
	"cmp"
	"io"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"sardinelock.dev/sardinelock/internal/configurer"
)

func newConfigDiffCommand() *cobra.Command {
	var (
		source   versionSource
		from, to uint64
		output   outputFlag
	)
	c := &cobra.Command{
		Use:   "diff [BASE [OVERLAY...]]",
		Short: "Show which effective values differ between versions or files",
		Long: `Show which effective values differ between versions or files.

With files, an accepted version is compared with them; without files, two accepted
versions are compared. SITE names a site whose difference is not the same as that
of the other sites.`,
		Example: `  sardinelock config diff --admin 127.0.0.1:7402 --token-file token base.yaml ub-1.yaml
  sardinelock config diff --admin 127.0.0.1:7402 --token-file token --from 5 --to 7`,
		RunE: func(c *cobra.Command, args []string) error {
			problems := source.choose(c)
			if len(args) > 0 && to > 0 {
				problems = append(problems, "--to and files exclude each other")
			}
			if len(args) == 0 && from == 0 {
				problems = append(problems, "--from must be set where no files are given")
			}
			if err := usageErrors(problems); err != nil {
				return err
			}
			v, err := source.versions()
			if err != nil {
				return err
			}
			before, err := v.version(c.Context(), from)
			if err != nil {
				return err
			}
			after, err := filesOrVersion(c, v, args, to)
			if err != nil {
				return err
			}
			differences, err := configurer.Differences(before, after)
			if err != nil {
				return err
			}
			return printDifferences(c.OutOrStdout(), output, differences)
		},
	}
	f := c.Flags()
	source.register(f)
	f.Uint64Var(&from, "from", 0, "version to compare from (default with files: the current one)")
	f.Uint64Var(&to, "to", 0, "version to compare to (default without files: the current one)")
	output.register(f)
	return c
}

func filesOrVersion(c *cobra.Command, v *versions, files []string, number uint64) (*configurer.Version, error) {
	if len(files) == 0 {
		return v.version(c.Context(), number)
	}
	base, overlays, err := readFiles(files)
	if err != nil {
		return nil, err
	}
	return configurer.NewVersion(base, overlays)
}

// printDifferences prints differences; a difference without a site applies to all.
func printDifferences(w io.Writer, output outputFlag, list []configurer.Difference) error {
	if output.format == outputJSON {
		if list == nil {
			list = []configurer.Difference{}
		}
		return printJSON(w, list)
	}
	if len(list) == 0 {
		_, err := io.WriteString(w, "no value differs\n")
		return errors.Trace(err)
	}
	rows := make([][]string, len(list))
	for i, d := range list {
		rows[i] = []string{cmp.Or(d.Site, "all"), d.Path, d.Before, d.After}
	}
	return output.print(w, list, []string{"SITE", "KEY", "BEFORE", "AFTER"}, rows)
}
