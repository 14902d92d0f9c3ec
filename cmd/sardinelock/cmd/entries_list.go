package cmd

import (
	"net/netip"
	"strconv"

	"github.com/spf13/cobra"

	"sardinelock.dev/sardinelock/internal/administrator"
)

func newEntriesListCommand() *cobra.Command {
	var admin adminFlags
	c := &cobra.Command{
		Use:     "list",
		Short:   "List entries with their state",
		Example: `  sardinelock entries list --admin 127.0.0.1:7402`,
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			header := []string{"ENTRY", "DATA-CENTRE", "STATE", "PARTITIONS", "UPSTREAMS", "OPEN-JOBS", "QUEUED-TASKS", "CALLERS", "ADMIN"}
			return list(c, &admin, "/v1/admin/entries", header, entryRow)
		},
	}
	admin.register(c.Flags())
	return c
}

func entryRow(e administrator.Entry) []string {
	if e.State == administrator.EntrySilent {
		return []string{string(e.Peer), "", string(e.State), "", "", "", "", "", ""}
	}
	return []string{
		string(e.Peer), e.DataCentre, string(e.State),
		strconv.Itoa(e.Partitions), strconv.Itoa(e.Upstreams),
		strconv.Itoa(e.OpenJobs), strconv.Itoa(e.QueuedTasks),
		addrText(e.CallerAddr), addrText(e.AdminAddr),
	}
}

func addrText(a netip.AddrPort) string {
	if !a.IsValid() {
		return ""
	}
	return a.String()
}
