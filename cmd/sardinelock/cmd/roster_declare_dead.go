package cmd

import (
	"net/url"
	"strconv"

	"github.com/spf13/cobra"

	"sardinelock.dev/sardinelock/internal/administrator"
)

func newRosterDeclareDeadCommand() *cobra.Command {
	var (
		change changeFlags
		expect uint64
	)
	c := &cobra.Command{
		Use:   "declare-dead AGENT...",
		Short: "Declare that agents have ended and will not come back",
		Long: `Declare that agents have ended and will not come back, so that partitions whose
owner died together with a majority of the witnesses get a new owner. Needed only
if "roster list" shows partitions in FENCING.

Make sure first that the processes have ended: look at their machines, or cut
their power. The partitions become active a lease after the declaration. What only
these agents knew is answered "unknown" until the deduplication window has passed.

WARNING. If you declare a majority of the witnesses dead, and they and the former
owner run on, connected to each other and to nobody else, then both owners run the
jobs that callers bring to both: a task may start twice. In every other case a wrong
declaration starts nothing twice: an agent that reaches any entry learns of it,
starts nothing any more, and must be restarted.

--expect-version is the VERSION of "roster list" that you have seen; if the roster
has changed since, nothing is done. An agent that some entry is connected to is
not declared dead.`,
		Example: `  sardinelock roster declare-dead agent-1 agent-4 --expect-version 17 --admin 127.0.0.1:7402`,
		Args:    cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, agents []string) error {
			if !c.Flags().Changed("expect-version") {
				return usageFaults([]string{"--expect-version must be set"})
			}
			return declareDead(c, &change, agents, expect)
		},
	}
	change.register(c.Flags())
	c.Flags().Uint64Var(&expect, "expect-version", 0, "version of the roster as you have seen it")
	return c
}

func declareDead(c *cobra.Command, change *changeFlags, agents []string, expect uint64) error {
	client, err := change.client()
	if err != nil {
		return err
	}
	query := url.Values{"agent": agents, "expect-version": {strconv.FormatUint(expect, 10)}}
	made, err := client.Change(c.Context(), "/v1/admin/roster/declare-dead?"+query.Encode(), change.id())
	if err != nil {
		return err
	}
	return change.print(c, []administrator.Changed{made})
}
