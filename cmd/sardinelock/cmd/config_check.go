package cmd

import (
	"fmt"

	"github.com/spf13/cobra"

	"sardinelock.dev/sardinelock/internal/configurer"
)

func newConfigCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check BASE [OVERLAY...]",
		Short: "Check a base and overlays without a running system",
		Long: `Check a base and overlays without a running system.

All errors in all files are printed with file, line and column. The exit code is
1 if there are any.`,
		Example: `  sardinelock config check examples/tuul/base.yaml examples/tuul/ub-1.yaml`,
		Args:    cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			base, overlays, err := readFiles(args)
			if err != nil {
				return err
			}
			if _, err := configurer.CheckAll(base, overlays); err != nil {
				return err
			}
			config, err := configurer.Parse(base.Name, base.Text)
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "valid: %d services, %d teams, %d operators, %d overlays\n",
				len(config.Services), len(config.Teams), len(config.Operators), len(overlays))
			return nil
		},
	}
}
