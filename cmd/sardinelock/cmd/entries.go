package cmd

import (
	"net/url"

	"github.com/spf13/cobra"

	"sardinelock.dev/sardinelock/internal/administrator"
)

// newEntriesCommand has the plural as its name because "entry" runs one.
func newEntriesCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "entries",
		Short: "Look at entries and drain them",
		Args:  cobra.NoArgs,
	}
	c.AddCommand(newEntriesListCommand(), newEntriesDrainCommand(), newEntriesUndrainCommand())
	return c
}

// entryChange is a command that changes one entry.
func entryChange(action string, c *cobra.Command) *cobra.Command {
	var change changeFlags
	c.Args = cobra.ExactArgs(1)
	c.RunE = func(c *cobra.Command, args []string) error {
		client, err := change.client()
		if err != nil {
			return err
		}
		made, err := client.Change(c.Context(), "/v1/admin/entries/"+url.PathEscape(args[0])+"/"+action, change.id())
		if err != nil {
			return err
		}
		return change.print(c, []administrator.Changed{made})
	}
	change.register(c.Flags())
	return c
}
