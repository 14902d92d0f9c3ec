package cmd

import (
	"github.com/spf13/cobra"

	"sardinelock.dev/sardinelock/internal/configurer"
)

func newConfigRollbackCommand() *cobra.Command {
	var (
		change versionFlags
		to     uint64
		output outputFlag
	)
	c := &cobra.Command{
		Use:   "rollback",
		Short: "Make a new version with the content of an old one",
		Long: `Make a new version with the content of an old one.

Version numbers only increase: a rollback is a change like any other and can itself
be rolled back. The old content is validated like the files of "config apply".

` + sourceHelp + `

` + verdictHelp,
		Example: `  sardinelock config rollback --admin 127.0.0.1:7402 --token-file token --expect-version 8 --to 6`,
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			problems := change.validate(c)
			if to == 0 {
				problems = append(problems, "--to must be set")
			}
			if err := usageErrors(problems); err != nil {
				return err
			}
			v, err := change.source.versions()
			if err != nil {
				return err
			}
			old, err := v.version(c.Context(), to)
			if err != nil {
				return err
			}
			content, err := configurer.NewVersion(old.Files())
			if err != nil {
				return err
			}
			return change.apply(c, v, output, *content, to)
		},
	}
	change.register(c.Flags())
	c.Flags().Uint64Var(&to, "to", 0, "version whose content to restore")
	output.register(c.Flags())
	return c
}
