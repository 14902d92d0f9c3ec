package cmd

import "github.com/spf13/cobra"

func newServiceCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "service",
		Short: "Show services",
		Args:  cobra.NoArgs,
	}
	c.AddCommand(newServiceListCommand())
	return c
}
