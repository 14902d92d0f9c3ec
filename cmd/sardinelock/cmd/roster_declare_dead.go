package cmd

import (
	"net/url"
	"strconv"

	"github.com/spf13/cobra"
)

func newRosterDeclareDeadCommand() *cobra.Command {
	var (
		change changeFlags
		expect uint64
	)
	c := &cobra.Command{
		Use:   "declare-dead AGENT...",
		Short: "Declare that agents have terminated for good",
		Long: `Declare that agents have terminated and will not return, so that partitions whose
owner died together with a majority of the witnesses get a new owner. This is needed
only if "roster list" shows partitions in FENCING.

First make sure that the processes have terminated: check their machines, or cut
their power. The partitions become active one lease duration after the declaration.
Jobs of which only these agents had records are answered "unknown" until the
deduplication window has passed.

WARNING. Suppose that you declare a majority of the witnesses dead although they and
the former owner are still running, connected to each other and to nobody else. Then
jobs that callers submit to both the former and the new owner run at both owners:
a task may start twice. In every other case a wrong declaration starts no task twice:
an agent that reaches any entry learns of the declaration, stops starting tasks, and
must be restarted.

--expect-version is the VERSION that "roster list" has shown you. If the roster has
changed since then, the command is refused. It is also refused for an agent that is
connected to some entry.`,
		Example: `  sardinelock roster declare-dead agent-1 agent-4 --expect-version 17 --admin 127.0.0.1:7402`,
		Args:    cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, agents []string) error {
			if !c.Flags().Changed("expect-version") {
				return usageErrors([]string{"--expect-version must be set"})
			}
			return declareDead(c, &change, agents, expect)
		},
	}
	change.register(c.Flags())
	c.Flags().Uint64Var(&expect, "expect-version", 0, "version of the roster that you expect to be current")
	return c
}

func declareDead(c *cobra.Command, change *changeFlags, agents []string, expect uint64) error {
	query := url.Values{"agent": agents, "expect-version": {strconv.FormatUint(expect, 10)}}
	return change.make(c, "/v1/admin/roster/declare-dead?"+query.Encode())
}
