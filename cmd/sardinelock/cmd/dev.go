package cmd

import (
	"context"
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"sardinelock.dev/sardinelock/internal/launcher"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

func newDevCommand() *cobra.Command {
	var (
		jobFile, service string
		o                launcher.Options
	)
	o.Limits = entryLimits()
	o.AgentLimits = agentLimits()
	c := &cobra.Command{
		Use:   "dev",
		Short: "Run a whole system in one process on loopback",
		Long: `Run a whole system in one process on loopback: a stand-in for the platform,
entries, and agents with stand-ins for their upstreams.

With --job it submits one job, prints the answer and exits. Without, it serves
until it is interrupted.`,
		Example: `  sardinelock dev --job examples/quote.json
  sardinelock dev --entries 3 --agents 11`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var problems []string
			if o.Entries < 1 {
				problems = append(problems, "--entries must be at least 1")
			}
			if o.Agents < 1 {
				problems = append(problems, "--agents must be at least 1")
			}
			if err := usageErrors(problems); err != nil {
				return err
			}
			o.Logger = newLogger("warn")
			return runDev(c, o, service, jobFile)
		},
	}
	f := c.Flags()
	f.IntVar(&o.Entries, "entries", 3, "number of entries")
	f.IntVar(&o.Agents, "agents", 11, "number of agents, each with an upstream")
	f.StringVar(&o.BaseFile, "base", "", "base configuration (default: the shipped one)")
	f.StringSliceVar(&o.OverlayFiles, "overlay", nil, "overlays of the sites dc-0, dc-1 and dc-2")
	f.StringVar(&jobFile, "job", "", "file with a job to submit, as JSON")
	f.StringVar(&service, "service", "quote", "service of the job")
	c.AddCommand(newDevPlatformCommand(), newDevUpstreamCommand())
	return c
}

func runDev(c *cobra.Command, o launcher.Options, service, jobFile string) error {
	var job *submitter.Job
	if jobFile != "" {
		var err error
		if job, err = readJobFile(jobFile); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithCancel(c.Context())
	defer cancel()
	system, err := launcher.Start(ctx, o)
	if err != nil {
		return err
	}
	defer system.Wait()
	defer cancel()
	if job == nil {
		fmt.Fprintln(c.OutOrStdout(), "platform:", system.PlatformAddr)
		for _, addr := range system.CallerAddrs() {
			fmt.Fprintln(c.OutOrStdout(), "entry for callers:", addr)
		}
		for _, addr := range system.AdminAddrs() {
			fmt.Fprintln(c.OutOrStdout(), "entry for administration:", addr)
		}
		<-ctx.Done()
		return nil
	}
	if err := system.AwaitReady(ctx); err != nil {
		return err
	}
	client := submitter.New(submitter.Options{Entries: system.CallerAddrs()})
	start := time.Now()
	answer, err := client.Submit(ctx, service, "", *job)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.OutOrStdout(), "%s: %d tasks in %s\n", answer.Outcome, len(job.Tasks), time.Since(start).Round(time.Millisecond))
	if answer.Outcome != submitter.OutcomeComplete {
		fmt.Fprintf(c.OutOrStdout(), "%s: %s\n", answer.Reason, answer.Detail)
		return &outcomeError{answer.Outcome}
	}
	return nil
}
