package cmd

import (
	"net/url"

	"github.com/spf13/cobra"
)

func newDataCentreCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "data-centre",
		Short: "List, evacuate and return data centres",
		Args:  cobra.NoArgs,
	}
	c.AddCommand(newDataCentreListCommand(), newDataCentreEvacuateCommand(), newDataCentreReturnCommand())
	return c
}

// dataCentreChange completes a command that applies an action to one data centre.
func dataCentreChange(action string, c *cobra.Command) *cobra.Command {
	var (
		change       changeFlags
		allowUnknown bool
	)
	c.Args = cobra.ExactArgs(1)
	c.RunE = func(c *cobra.Command, args []string) error {
		path := "/v1/admin/data-centres/" + url.PathEscape(args[0]) + "/" + action
		if allowUnknown {
			path += "?allow-unknown=true"
		}
		return change.make(c, path)
	}
	change.register(c.Flags())
	c.Flags().BoolVar(&allowUnknown, "allow-unknown", false, "permit a data centre that no connected process names, such as one that is down")
	return c
}
