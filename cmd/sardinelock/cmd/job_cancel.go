package cmd

import (
	"net/url"

	"github.com/spf13/cobra"

	"sardinelock.dev/sardinelock/internal/administrator"
)

func newJobCancelCommand() *cobra.Command {
	var (
		caller        callerFlags
		change        changeFlags
		service, team string
		operator      bool
	)
	c := &cobra.Command{
		Use:   "cancel [ID]",
		Short: "Cancel a job, or all jobs of a service or team",
		Long: `Cancel a job of the caller's team through --entry, and print its state as JSON.

With --operator an operator cancels any job through --admin, and with
--all-of-service or --all-of-team all open jobs of a service or team.

What runs is stopped, what waits is dropped. A job that is answered stays as it
is.`,
		Example: `  sardinelock job cancel 0193b1c0-7e4a-7b39-a540-3aaf28009530 --entry 127.0.0.1:7400
  sardinelock job cancel 0193b1c0-7e4a-7b39-a540-3aaf28009530 --operator --admin 127.0.0.1:7402
  sardinelock job cancel --all-of-service quote --admin 127.0.0.1:7402`,
		Args: cobra.MaximumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			path, err := cancelPath(args, service, team)
			if err != nil {
				return err
			}
			if !operator && service == "" && team == "" {
				return cancelAsCaller(c, &caller, args)
			}
			change.clientFlags = caller.clientFlags
			client, err := change.client()
			if err != nil {
				return err
			}
			made, err := client.Change(c.Context(), path, change.id())
			if err != nil {
				return err
			}
			return change.print(c, []administrator.Changed{made})
		},
	}
	f := c.Flags()
	caller.register(f)
	f.Var(addrsFlag{&change.addrs}, "admin", "administration addresses of entries; they are tried in order")
	change.output.register(f)
	f.StringVar(&change.changeID, "change-id", "", "UUID that names the change with --admin (default: a new one)")
	f.BoolVar(&operator, "operator", false, "cancel as an operator, through --admin")
	f.StringVar(&service, "all-of-service", "", "cancel all open jobs of a service")
	f.StringVar(&team, "all-of-team", "", "cancel all open jobs of a team")
	return c
}

// cancelPath returns the path of the one thing that is to be cancelled.
func cancelPath(args []string, service, team string) (string, error) {
	var paths []string
	if len(args) > 0 {
		paths = append(paths, "/v1/admin/jobs/"+url.PathEscape(args[0])+"/cancel")
	}
	if service != "" {
		paths = append(paths, "/v1/admin/services/"+url.PathEscape(service)+"/cancel")
	}
	if team != "" {
		paths = append(paths, "/v1/admin/teams/"+url.PathEscape(team)+"/cancel")
	}
	if len(paths) != 1 {
		return "", usageFaults([]string{"give exactly one of ID, --all-of-service and --all-of-team"})
	}
	return paths[0], nil
}

func cancelAsCaller(c *cobra.Command, caller *callerFlags, args []string) error {
	if err := usageFaults(caller.faults()); err != nil {
		return err
	}
	client, err := caller.client()
	if err != nil {
		return err
	}
	state, err := client.Cancel(c.Context(), args[0])
	if err != nil {
		return err
	}
	return printJSON(c.OutOrStdout(), state)
}
