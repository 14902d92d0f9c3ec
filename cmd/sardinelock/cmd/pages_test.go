package cmd

import (
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"sardinelock.dev/sardinelock/internal/launcher"
)

// documentedCommand is a command on a documentation page, with the table heading of
// its output.
type documentedCommand struct {
	page    string
	args    []string
	heading []string // nil if the output is not a table
}

var (
	commandPattern = regexp.MustCompile(`^    \$ sardinelock (.*)$`)
	headingPattern = regexp.MustCompile(`^    ([A-Z][A-Z0-9-]*)( +[A-Z0-9][A-Z0-9-]*)+$`)
)

// documentedCommands returns the commands of all documentation pages.
func documentedCommands(t *testing.T) []documentedCommand {
	t.Helper()
	pages, err := filepath.Glob("../../../docs/*.md")
	if err != nil {
		t.Fatal(err)
	}
	var out []documentedCommand
	for _, page := range append(pages, "../../../README.md") {
		lines := readLines(t, page)
		for i, line := range lines {
			m := commandPattern.FindStringSubmatch(line)
			if m == nil {
				continue
			}
			command, _, _ := strings.Cut(m[1], "|")
			s := documentedCommand{page: filepath.Base(page), args: strings.Fields(command)}
			for _, below := range lines[i+1:] {
				if !strings.HasPrefix(below, "    ") || strings.HasPrefix(below, "    $") {
					break
				}
				if headingPattern.MatchString(below) {
					s.heading = strings.Fields(below)
					break
				}
			}
			out = append(out, s)
		}
	}
	return out
}

var flagPattern = regexp.MustCompile(`^--([a-z][a-z-]*)`)

// TestDocumentedCommands checks every command on the documentation pages: the command
// and its flags must exist, and the documented table heading must be the one that it
// prints.
func TestDocumentedCommands(t *testing.T) {
	system := newSystem(t, launcher.Options{Entries: 1, Agents: 1})
	admin := system.AdminAddrs()[0].String()
	headings := 0
	for _, s := range documentedCommands(t) {
		c, rest, err := newRoot().Find(s.args)
		if err != nil || c.HasSubCommands() && !c.Runnable() {
			t.Errorf("%s: sardinelock %s: %v", s.page, strings.Join(s.args, " "), err)
			continue
		}
		for _, arg := range rest {
			if m := flagPattern.FindStringSubmatch(arg); m != nil && c.Flags().Lookup(m[1]) == nil {
				t.Errorf("%s: %s has no flag --%s", s.page, c.CommandPath(), m[1])
			}
		}
		if s.heading == nil || !listingName.MatchString(c.Name()) || slices.Contains([]string{"show", "diff"}, c.Name()) {
			continue
		}
		headings++
		path := strings.Fields(strings.TrimPrefix(c.CommandPath(), "sardinelock"))
		if slices.Contains(rest, "--summary") {
			path = append(path, "--summary")
		}
		if diff := cmp.Diff(s.heading, headingOf(t, append(path, "--admin", admin))); diff != "" {
			t.Errorf("%s: %s (-page +printed):\n%s", s.page, c.CommandPath(), diff)
		}
	}
	if headings < 10 {
		t.Errorf("only %d headings were compared; the commands on the pages are not recognized", headings)
	}
}

// headingOf runs a command and returns the column headings that it prints.
func headingOf(t *testing.T, args []string) []string {
	t.Helper()
	var out bytes.Buffer
	root := newRoot()
	root.SetArgs(args)
	root.SetOut(&out)
	root.SetErr(os.Stderr)
	if code := execute(t.Context(), root); code != exitOK {
		t.Fatalf("sardinelock %s: exit code %d", strings.Join(args, " "), code)
	}
	heading, _, _ := strings.Cut(out.String(), "\n")
	return strings.Fields(heading)
}
