package cmd

import (
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"sardinelock.dev/sardinelock/internal/surveyor"
)

func newSurveyCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "survey",
		Short: "Measure the resource usage of the system by its size",
		Long: `Measure the resource usage of the system by its size, on this machine.

Each subcommand prints the measured slopes as JSON, one object per slope. "survey
report" converts them to the tables of docs/CAPACITY.md. The script .ci/survey runs
all subcommands and starts the processes that they need.`,
		Args: cobra.NoArgs,
	}
	c.AddCommand(newSurveyStateCommand(), newSurveyAgentsCommand(), newSurveyEntriesCommand(),
		newSurveyTasksCommand(), newSurveyReportCommand())
	return c
}

func newSurveyStateCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "state",
		Short:   "Measure records, kept jobs, messages, rows and configuration",
		Example: `  sardinelock survey state`,
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			slopes, err := surveyor.MeasureState()
			if err != nil {
				return err
			}
			return writeSlopes(c.OutOrStdout(), slopes)
		},
	}
}

// surveyFlags are the flags of the measurements over connections.
type surveyFlags struct {
	options surveyor.Options
	entry   netip.AddrPort
	caller  netip.AddrPort
	admin   netip.AddrPort
}

func (s *surveyFlags) register(c *cobra.Command, sizes []int, what string) {
	f := c.Flags()
	f.IntVar(&s.options.PID, "pid", 0, "id of the measured process, which must run on this machine")
	f.DurationVar(&s.options.MeasurementDuration, "hold", 5*time.Second, "how long each size is measured")
	f.IntSliceVar(&s.options.Sizes, "sizes", sizes, what)
}

// check completes and validates the options. The addresses must be on loopback
// because a survey puts load on the processes that it measures.
func (s *surveyFlags) check(addrs ...netip.AddrPort) error {
	var problems []string
	for _, a := range addrs {
		if !a.Addr().IsLoopback() {
			problems = append(problems, "addresses must be set and on loopback")
		}
	}
	if s.options.PID <= 0 {
		problems = append(problems, "--pid must be set")
	}
	if s.options.MeasurementDuration < time.Second {
		problems = append(problems, "--hold must be at least 1s")
	}
	if len(s.options.Sizes) < 4 {
		problems = append(problems, "--sizes needs at least four sizes")
	}
	s.options.Limits = entryLimits()
	s.options.AgentLimits = agentLimits()
	s.options.Logger = newLogger("error")
	return usageErrors(problems)
}

func newSurveyAgentsCommand() *cobra.Command {
	var s surveyFlags
	c := &cobra.Command{
		Use:     "agents",
		Short:   "Measure an entry by the number of idle agents",
		Example: `  sardinelock survey agents --entry 127.0.0.1:7401 --admin 127.0.0.1:7402 --pid 4711`,
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := s.check(s.entry, s.admin); err != nil {
				return err
			}
			slopes, err := surveyor.MeasureAgents(c.Context(), s.entry, s.admin, s.options)
			if err != nil {
				return err
			}
			return writeSlopes(c.OutOrStdout(), slopes)
		},
	}
	s.register(c, []int{11, 110, 300, 900}, "numbers of agents")
	c.Flags().Var(addrFlag{&s.entry}, "entry", "peer address of the entry")
	c.Flags().Var(addrFlag{&s.admin}, "admin", "administration address of the entry")
	return c
}

func newSurveyEntriesCommand() *cobra.Command {
	var s surveyFlags
	c := &cobra.Command{
		Use:     "entries",
		Short:   "Measure an agent and the table by the number of entries",
		Example: `  sardinelock survey entries --peer-listen 127.0.0.1:7401 --pid 4712`,
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := s.check(s.entry); err != nil {
				return err
			}
			slopes, err := surveyor.MeasureEntries(c.Context(), s.entry, s.options)
			if err != nil {
				return err
			}
			return writeSlopes(c.OutOrStdout(), slopes)
		},
	}
	s.register(c, []int{1, 3, 10, 20}, "numbers of entries")
	c.Flags().Var(addrFlag{&s.entry}, "peer-listen", "listen address of the first entry for the agent")
	return c
}

func newSurveyTasksCommand() *cobra.Command {
	var s surveyFlags
	c := &cobra.Command{
		Use:     "tasks",
		Short:   "Measure an entry under load by the number of tasks of a job",
		Example: `  sardinelock survey tasks --entry 127.0.0.1:7401 --caller 127.0.0.1:7400 --pid 4711`,
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := s.check(s.entry, s.caller); err != nil {
				return err
			}
			slopes, err := surveyor.MeasureTasks(c.Context(), s.entry, s.caller, s.options)
			if err != nil {
				return err
			}
			return writeSlopes(c.OutOrStdout(), slopes)
		},
	}
	s.register(c, []int{1, 11, 58, 290, 580}, "numbers of tasks of a job")
	c.Flags().Var(addrFlag{&s.entry}, "entry", "peer address of the entry")
	c.Flags().Var(addrFlag{&s.caller}, "caller", "caller address of the entry")
	return c
}

func newSurveyReportCommand() *cobra.Command {
	size := surveyor.PlannedSize
	var file string
	c := &cobra.Command{
		Use:     "report",
		Short:   "Convert slopes to the capacity tables, as Markdown",
		Example: `  sardinelock survey report --slopes slopes.json --entries 20`,
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if file == "" {
				return usageErrors([]string{"--slopes must be set"})
			}
			f, err := os.Open(file)
			if err != nil {
				return errors.Trace(err)
			}
			defer f.Close()
			slopes, err := surveyor.ReadSlopes(f)
			if err != nil {
				return err
			}
			text, err := surveyor.Report(slopes, size)
			if err != nil {
				return err
			}
			fmt.Fprint(c.OutOrStdout(), text)
			return nil
		},
	}
	f := c.Flags()
	f.StringVar(&file, "slopes", "", "file with slopes as printed by the other subcommands")
	f.IntVar(&size.Entries, "entries", size.Entries, "number of entries")
	f.IntVar(&size.Agents, "agents", size.Agents, "number of agents")
	f.Float64Var(&size.StartsPerSecond, "starts-per-second", size.StartsPerSecond, "task starts per second")
	f.Float64Var(&size.TasksPerJob, "tasks-per-job", size.TasksPerJob, "mean number of tasks of a job")
	return c
}

func writeSlopes(w io.Writer, slopes []surveyor.Slope) error {
	enc := json.NewEncoder(w)
	for _, s := range slopes {
		if err := enc.Encode(s); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}
