package cmd

import "github.com/spf13/cobra"

func newPartitionCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "partition",
		Short: "Show partitions",
		Args:  cobra.NoArgs,
	}
	c.AddCommand(newPartitionListCommand())
	return c
}
