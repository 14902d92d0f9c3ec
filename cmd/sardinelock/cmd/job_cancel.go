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

With --operator, an operator cancels any job through --admin. --all-of-service and
--all-of-team cancel all open jobs of a service or team, also through --admin.

Running tasks are stopped and waiting tasks are dropped. A job that already has its
answer is not changed.`,
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
	f.Var(addrsFlag{&change.addrs}, "admin", "administration addresses of entries, tried in order")
	change.output.register(f)
	f.StringVar(&change.changeID, "change-id", "", "UUID of the change, with --admin (default: a new one)")
	f.BoolVar(&operator, "operator", false, "cancel as an operator, through --admin")
	f.StringVar(&service, "all-of-service", "", "cancel all open jobs of a service")
	f.StringVar(&team, "all-of-team", "", "cancel all open jobs of a team")
	return c
}

// cancelPath returns the API path that cancels the given job, service or team.
// Exactly one of them must be given.
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
		return "", usageErrors([]string{"give exactly one of ID, --all-of-service and --all-of-team"})
	}
	return paths[0], nil
}

func cancelAsCaller(c *cobra.Command, caller *callerFlags, args []string) error {
	if err := usageErrors(caller.validate()); err != nil {
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
