package cmd

import (
	"fmt"
	"strconv"

	"github.com/spf13/cobra"

	"sardinelock.dev/sardinelock/internal/administrator"
)

func newUpstreamListCommand() *cobra.Command {
	var admin adminFlags
	c := &cobra.Command{
		Use:   "list",
		Short: "List upstreams with their state",
		Long: `List upstreams with their state, summed over all entries.

HOLD is the order of an operator that is in force. EJECTED is the number of entries
at which the upstream is ejected, and the reason.`,
		Example: `  sardinelock upstream list --admin 127.0.0.1:7402
  sardinelock upstream list --admin 127.0.0.1:7402 --output json`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			header := []string{"UPSTREAM", "DATA-CENTRE", "RACK", "STATE", "HOLD", "EJECTED", "SLOTS", "OUTSTANDING", "FAILURES", "SEEN-BY"}
			return list(c, &admin, "/v1/admin/upstreams", header, upstreamRow)
		},
	}
	admin.register(c.Flags())
	return c
}

func upstreamRow(u administrator.Upstream) []string {
	ejected := ""
	if u.EjectedBy > 0 {
		ejected = fmt.Sprintf("%d of %d: %s", u.EjectedBy, u.SeenBy, u.Ejected)
	}
	return []string{
		string(u.Peer), u.DataCentre, u.Rack, string(u.State), string(u.Hold), ejected,
		strconv.Itoa(u.Slots), strconv.Itoa(u.Outstanding),
		fmt.Sprintf("%.0f%%", u.FailureRatio*100), strconv.Itoa(u.SeenBy),
	}
}
