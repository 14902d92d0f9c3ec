// Package cmd has the subcommands of sardinelock, one file each.
//
// Every flag can be set by an environment variable as well: SARDINELOCK_ and the
// flag's name in capitals with underscores. A flag goes before its variable.
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
	var exit *codedError
	if errors.As(err, &exit) {
		return exit.code
	}
	fmt.Fprintln(root.ErrOrStderr(), "sardinelock:", err)
	var usage *usageError
	if errors.As(err, &usage) || !commandRan(root) {
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
			c.Root().Annotations = map[string]string{ranAnnotation: "true"}
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

// refuseUnknown makes an unknown subcommand of a group an error; without it the
// group would print its help and succeed.
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

// ranAnnotation marks a root whose arguments were parsed without error.
const ranAnnotation = "arguments-parsed"

func commandRan(root *cobra.Command) bool { return root.Annotations[ranAnnotation] != "" }

// usageError is an error in flags or arguments.
type usageError struct{ err error }

func (e *usageError) Error() string { return e.err.Error() }
func (e *usageError) Unwrap() error { return e.err }

// codedError makes the command exit with a code. What it means has been printed
// before.
type codedError struct {
	code int
	err  error
}

func (e *codedError) Error() string { return e.err.Error() }
func (e *codedError) Unwrap() error { return e.err }

// outcomeError makes the command exit with the code of an outcome. The answer has
// been printed before.
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
