package cmd

import (
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"sardinelock.dev/sardinelock/internal/administrator"
)

const configPath = "/v1/admin/config"

func newConfigStatusCommand() *cobra.Command {
	var (
		admin   adminFlags
		summary bool
	)
	c := &cobra.Command{
		Use:   "status",
		Short: "Show which version is in force at which process",
		Long: `Show which version is in force at which process.

IN-FORCE is how long the version has been in force at the process. AGE is the time
since the process last read the current version from the table; it is empty for
agents, which do not read the table. STATE is "current", "behind" if the process
knows of a later version, "unconfirmed" if it could not find out whether there is
a later version, or "none" if it has no version.`,
		Example: `  sardinelock config status --admin 127.0.0.1:7402
  sardinelock config status --admin 127.0.0.1:7402 --summary`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if summary {
				return summarizeStatus(c, &admin)
			}
			header := []string{"PROCESS", "ROLE", "DATA-CENTRE", "STATE", "VERSION", "HIGHEST-SEEN", "IN-FORCE", "AGE", "DETAIL"}
			return list(c, &admin, configPath, header, configStatusRow)
		},
	}
	admin.register(c.Flags())
	c.Flags().BoolVar(&summary, "summary", false, "count processes by role, data centre, version and state")
	return c
}

func configStatusRow(s administrator.ConfigStatus) []string {
	inForce, age := "", ""
	if s.InForceFor > 0 {
		inForce = time.Duration(s.InForceFor).Round(time.Second).String()
	}
	if s.Age != nil {
		age = time.Duration(*s.Age).Round(time.Second).String()
	}
	return []string{
		string(s.Process), string(s.Role), s.DataCentre, string(s.State),
		strconv.FormatUint(s.Version, 10), strconv.FormatUint(s.Highest, 10), inForce, age, s.Detail,
	}
}
