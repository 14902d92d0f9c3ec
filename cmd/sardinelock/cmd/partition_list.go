package cmd

import (
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"sardinelock.dev/sardinelock/internal/administrator"
)

func newPartitionListCommand() *cobra.Command {
	var admin adminFlags
	c := &cobra.Command{
		Use:   "list",
		Short: "List partitions with their owners",
		Long: `List partitions with their owners.

LEASE-LEFT is how long the owner may still start tasks without a message from its
agents. UNCERTAIN-BEFORE is a time: after a takeover, the owner cannot tell whether
jobs whose submission ids were generated before it have run.`,
		Example: `  sardinelock partition list --admin 127.0.0.1:7402`,
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			header := []string{"PARTITION", "REGION", "OWNER", "EPOCH", "PHASE", "LEASE-LEFT", "UNCERTAIN-BEFORE", "AGENTS-MISSING"}
			return list(c, &admin, "/v1/admin/partitions", header, partitionRow)
		},
	}
	admin.register(c.Flags())
	return c
}

func partitionRow(p administrator.Partition) []string {
	left, uncertain, missing := "", "", ""
	if p.LeaseLeft != nil {
		left = time.Duration(*p.LeaseLeft).String()
	}
	if p.UncertainBefore != nil {
		uncertain = p.UncertainBefore.Format(time.RFC3339)
	}
	if len(p.Missing) > 0 {
		missing = strconv.Itoa(len(p.Missing))
	}
	return []string{
		strconv.Itoa(int(p.Partition)), p.Region, string(p.Owner),
		strconv.FormatUint(p.Epoch, 10), string(p.Phase), left, uncertain, missing,
	}
}
