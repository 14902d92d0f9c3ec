package cmd

import (
	"bytes"
	"encoding/json"
	"io"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"sardinelock.dev/sardinelock/pkg/submitter"
)

func newSubmitCommand() *cobra.Command {
	var (
		caller            callerFlags
		service, file, id string
		deadline          time.Duration
	)
	c := &cobra.Command{
		Use:   "submit",
		Short: "Submit a job and print its answer",
		Long: `Submit a job and print its answer as JSON.

The exit code is 0 for complete, 3 for failed, 4 for not-run and 5 for unknown.`,
		Example: `  sardinelock submit --entry 127.0.0.1:7400 --service quote --file examples/quote.json`,
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			problems := caller.validate()
			if service == "" {
				problems = append(problems, "--service must be set")
			}
			if file == "" {
				problems = append(problems, "--file must be set")
			}
			if err := usageErrors(problems); err != nil {
				return err
			}
			job, err := readJobFile(file)
			if err != nil {
				return err
			}
			if deadline > 0 {
				job.Deadline = submitter.Duration(deadline)
			}
			client, err := caller.client()
			if err != nil {
				return err
			}
			answer, err := client.Submit(c.Context(), service, id, *job)
			if err != nil {
				return err
			}
			return printAnswer(c.OutOrStdout(), answer)
		},
	}
	f := c.Flags()
	caller.register(f)
	f.StringVar(&service, "service", "", "name of the service")
	f.StringVar(&file, "file", "", "file with the job, as JSON")
	f.StringVar(&id, "submission-id", "", "submission id to use (default: a new one)")
	f.DurationVar(&deadline, "deadline", 0, "deadline of the job (default: from the job file, or else of the service)")
	return c
}

// readJobFile reads a job. A syntax error names the file and the byte offset.
func readJobFile(name string) (*submitter.Job, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, errors.Trace(err)
	}
	job := new(submitter.Job)
	dec := json.NewDecoder(bytes.NewReader(text))
	dec.DisallowUnknownFields()
	if err := dec.Decode(job); err != nil {
		return nil, errors.Errorf("%s: at byte %d: %v", name, dec.InputOffset(), err)
	}
	return job, nil
}

// printAnswer prints an answer and returns an error that carries its exit code.
func printAnswer(w io.Writer, a submitter.Answer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	if err := enc.Encode(a); err != nil {
		return errors.Trace(err)
	}
	if a.Outcome != submitter.OutcomeComplete {
		return &outcomeError{a.Outcome}
	}
	return nil
}
