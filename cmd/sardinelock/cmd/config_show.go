package cmd

import (
	"strconv"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"sardinelock.dev/sardinelock/internal/configurer"
)

func newConfigShowCommand() *cobra.Command {
	var (
		site   string
		output outputFlag
	)
	c := &cobra.Command{
		Use:   "show BASE [OVERLAY...]",
		Short: "Show the effective values of a site and where each comes from",
		Long: `Show the effective values of a site and where each comes from.

Without --site, the values of a site without an overlay are shown. Token hashes
are truncated to their first digits.`,
		Example: `  sardinelock config show --site ub-1 examples/tuul/base.yaml examples/tuul/ub-1.yaml`,
		Args:    cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			base, overlays, err := readFiles(args)
			if err != nil {
				return err
			}
			effective, err := composeSite(base, overlays, site)
			if err != nil {
				return err
			}
			values := effective.Values()
			return output.print(c.OutOrStdout(), values, []string{"KEY", "VALUE", "FROM"}, valueRows(values))
		},
	}
	f := c.Flags()
	f.StringVar(&site, "site", "", "site whose values to show (default: one without an overlay)")
	output.register(f)
	return c
}

// composeSite validates all files and returns the effective configuration of one
// site.
func composeSite(base configurer.File, overlays []configurer.File, site string) (*configurer.Effective, error) {
	sites, err := configurer.CheckAll(base, overlays)
	if err != nil {
		return nil, err
	}
	if site == "" {
		return configurer.Compose(base, nil)
	}
	for i := range overlays {
		if sites[i] == site {
			return configurer.Compose(base, &overlays[i])
		}
	}
	return nil, &usageError{errors.Errorf("no overlay is for the site %q", site)}
}

func valueRows(values []configurer.Value) [][]string {
	rows := make([][]string, len(values))
	for i, v := range values {
		from := v.Origin.File
		if v.Origin.Line > 0 {
			from += ":" + strconv.Itoa(v.Origin.Line)
		}
		rows[i] = []string{v.Path, v.Text, from}
	}
	return rows
}
