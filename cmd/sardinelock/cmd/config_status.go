package cmd

import (
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"sardinelock.dev/sardinelock/internal/administrator"
)

func newConfigStatusCommand() *cobra.Command {
	var admin adminFlags
	c := &cobra.Command{
		Use:   "status",
		Short: "Say which version is in force at which process",
		Long: `Say which version is in force at which process.

IN-FORCE is how long the version has been in force there. AGE is the time since
the table last told the process which version is current; agents read no table.
The state is "current", "behind" if a later version is known, "unconfirmed" if a
later version could not be learned, and "none" without a version.`,
		Example: `  sardinelock config status --admin 127.0.0.1:7402`,
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			header := []string{"PROCESS", "ROLE", "DATA-CENTRE", "STATE", "VERSION", "HIGHEST-SEEN", "IN-FORCE", "AGE", "DETAIL"}
			return list(c, &admin, "/v1/admin/config", header, configStatusRow)
		},
	}
	admin.register(c.Flags())
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
