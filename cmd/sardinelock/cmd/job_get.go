package cmd

import "github.com/spf13/cobra"

func newJobGetCommand() *cobra.Command {
	var caller callerFlags
	c := &cobra.Command{
		Use:   "get ID",
		Short: "Print the state of a job of the caller's team",
		Long: `Print the state of a job of the caller's team as JSON, without waiting for its
answer. A job of another team is reported as not found.`,
		Example: `  sardinelock job get 0193b1c0-7e4a-7b39-a540-3aaf28009530 --entry 127.0.0.1:7400 --token-file token`,
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			if err := usageErrors(caller.validate()); err != nil {
				return err
			}
			client, err := caller.client()
			if err != nil {
				return err
			}
			state, err := client.Job(c.Context(), args[0])
			if err != nil {
				return err
			}
			return printJSON(c.OutOrStdout(), state)
		},
	}
	caller.register(c.Flags())
	return c
}
