package cmd

import (
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"
)

// commands returns a command and all of its subcommands, recursively.
func commands(c *cobra.Command) []*cobra.Command {
	out := []*cobra.Command{c}
	for _, sub := range c.Commands() {
		out = append(out, commands(sub)...)
	}
	return out
}

// listingName matches the names of commands that print a listing or a report.
var listingName = regexp.MustCompile(`^(list|history|status|diff|show|burn)$`)

// TestCommandTree checks all commands. Each must have a short help and explain all of
// its flags. Each command that is not a group must have an example that uses only
// existing flags. Listings must support the output formats table and JSON.
func TestCommandTree(t *testing.T) {
	for _, c := range commands(newRoot()) {
		path := c.CommandPath()
		if c.Short == "" || strings.HasSuffix(c.Short, ".") {
			t.Errorf("%s: the short help is %q", path, c.Short)
		}
		c.Flags().VisitAll(func(f *pflag.Flag) {
			if f.Usage == "" {
				t.Errorf("%s: --%s is not explained", path, f.Name)
			}
		})
		if c.HasSubCommands() && !strings.Contains(c.UseLine(), "[flags]") {
			continue
		}
		checkExamples(t, c)
		if output := c.Flags().Lookup("output"); listingName.MatchString(c.Name()) {
			if output == nil || output.DefValue != string(outputTable) || !strings.Contains(output.Usage, "json") {
				t.Errorf("%s: --output is %+v", path, output)
			}
		}
	}
}

var exampleFlagPattern = regexp.MustCompile(`--([a-z][a-z-]*)`)

func checkExamples(t *testing.T, c *cobra.Command) {
	t.Helper()
	if !strings.Contains(c.Example, c.CommandPath()) {
		t.Errorf("%s: no example", c.CommandPath())
	}
	for line := range strings.Lines(strings.ReplaceAll(c.Example, "\\\n", "")) {
		if !strings.Contains(line, c.CommandPath()) {
			continue
		}
		for _, name := range exampleFlagPattern.FindAllStringSubmatch(line, -1) {
			if c.Flags().Lookup(name[1]) == nil && c.InheritedFlags().Lookup(name[1]) == nil {
				t.Errorf("%s: the example uses --%s, which does not exist", c.CommandPath(), name[1])
			}
		}
	}
}

// TestEveryFlagHasAVariable sets the environment variable of every flag of every
// command, one at a time, to a text that is not a value. Flags of text must accept it,
// and all other flags must reject it.
func TestEveryFlagHasAVariable(t *testing.T) {
	var paths []string
	for _, c := range commands(newRoot()) {
		paths = append(paths, strings.TrimPrefix(c.CommandPath(), "sardinelock"))
	}
	for _, path := range paths {
		var names []string
		findCommand(t, path).Flags().VisitAll(func(f *pflag.Flag) { names = append(names, f.Name) })
		for _, name := range names {
			if name == "help" {
				continue
			}
			t.Run(strings.TrimSpace(path)+" "+name, func(t *testing.T) { checkVariable(t, path, name) })
		}
	}
}

// findCommand returns the command at a path in a new command tree.
func findCommand(t *testing.T, path string) *cobra.Command {
	t.Helper()
	c, _, err := newRoot().Find(strings.Fields(path))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func checkVariable(t *testing.T, path, name string) {
	const refused = "not a value"
	textual := []string{"string", "stringSlice", "stringArray"}
	t.Setenv(environmentName(name), refused)
	c := findCommand(t, path)
	err := applyEnvironment(c)
	f := c.Flags().Lookup(name)
	if slices.Contains(textual, f.Value.Type()) {
		if err != nil || !strings.Contains(f.Value.String(), "not a value") {
			t.Errorf("%s has no effect: %q, error %v", environmentName(name), f.Value, err)
		}
		return
	}
	if err == nil || !strings.Contains(err.Error(), environmentName(name)+": ") {
		t.Errorf("%s has no effect: %q, error %v", environmentName(name), f.Value, err)
	}
}
