package cmd

import "github.com/spf13/cobra"

func newServiceCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "service",
		Short: "Look at services",
		Args:  cobra.NoArgs,
	}
	c.AddCommand(newServiceListCommand())
	return c
}
