// Package cmd implements the subcommands of sardinelock, one file each.
//
// Every flag can also be set by an environment variable, whose name is SARDINELOCK_
// followed by the flag's name in capitals with underscores. A flag on the command
// line takes precedence over its variable.
package cmd

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"sardinelock.dev/sardinelock/pkg/submitter"
)

// The exit codes of the command.
const (
	exitOK      = 0
	exitError   = 1
	exitUsage   = 2
	exitFailed  = 3
	exitNotRun  = 4
	exitUnknown = 5
)

// Main runs the command with the process's arguments and returns its exit code.
func Main() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return execute(ctx, newRoot())
}

func execute(ctx context.Context, root *cobra.Command) int {
	err := root.ExecuteContext(ctx)
	if err == nil {
		return exitOK
	}
	var outcome *outcomeError
	if errors.As(err, &outcome) {
		return outcome.exitCode()
	}
	var exit *exitCodeError
	if errors.As(err, &exit) {
		return exit.code
	}
	fmt.Fprintln(root.ErrOrStderr(), "sardinelock:", err)
	var usage *usageError
	if errors.As(err, &usage) || !argumentsParsed(root) {
		return exitUsage
	}
	return exitError
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "sardinelock",
		Short:         "A dispatcher for sub-second tasks",
		SilenceErrors: true,
		SilenceUsage:  true,
		Args:          cobra.NoArgs,
		PersistentPreRunE: func(c *cobra.Command, _ []string) error {
			c.Root().Annotations = map[string]string{argumentsParsedAnnotation: "true"}
			return applyEnvironment(c)
		},
	}
	root.AddCommand(
		newEntryCommand(),
		newAgentCommand(),
		newDevCommand(),
		newSubmitCommand(),
		newLoadCommand(),
		newSurveyCommand(),
		newConfigCommand(),
		newJobCommand(),
		newUpstreamCommand(),
		newEntriesCommand(),
		newDataCentreCommand(),
		newTeamCommand(),
		newServiceCommand(),
		newPartitionCommand(),
		newRosterCommand(),
		newReportCommand(),
		newPlatformCommand(),
		newExplainCommand(),
	)
	refuseUnknown(root)
	return root
}

// refuseUnknown makes unknown subcommands of command groups an error. By default a
// group prints its help and succeeds.
func refuseUnknown(c *cobra.Command) {
	for _, sub := range c.Commands() {
		refuseUnknown(sub)
	}
	if c.Runnable() {
		return
	}
	c.Args = cobra.ArbitraryArgs
	c.RunE = func(c *cobra.Command, args []string) error {
		if len(args) > 0 {
			return &usageError{errors.Errorf("unknown command %q for %q", args[0], c.CommandPath())}
		}
		return c.Help()
	}
}

// argumentsParsedAnnotation marks a root command whose arguments were parsed without
// error.
const argumentsParsedAnnotation = "arguments-parsed"

func argumentsParsed(root *cobra.Command) bool {
	return root.Annotations[argumentsParsedAnnotation] != ""
}

// usageError is an error in flags or arguments.
type usageError struct{ err error }

func (e *usageError) Error() string { return e.err.Error() }
func (e *usageError) Unwrap() error { return e.err }

// exitCodeError makes the command exit with a code without printing the error: the
// command has already printed the reason.
type exitCodeError struct {
	code int
	err  error
}

func (e *exitCodeError) Error() string { return e.err.Error() }
func (e *exitCodeError) Unwrap() error { return e.err }

// outcomeError makes the command exit with the code of a job's outcome without
// printing the error: the command has already printed the answer.
type outcomeError struct{ outcome submitter.Outcome }

func (e *outcomeError) Error() string { return "the job is " + string(e.outcome) }

func (e *outcomeError) exitCode() int {
	switch e.outcome {
	case submitter.OutcomeComplete:
		return exitOK
	case submitter.OutcomeFailed:
		return exitFailed
	case submitter.OutcomeNotRun:
		return exitNotRun
	}
	return exitUnknown
}
