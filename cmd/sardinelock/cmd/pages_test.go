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

// shown is a command on a page, with the line below it that heads its output.
type shown struct {
	page    string
	args    []string
	heading []string // heading is nil if the output is no table.
}

var (
	shownCommand = regexp.MustCompile(`^    \$ sardinelock (.*)$`)
	tableHeading = regexp.MustCompile(`^    ([A-Z][A-Z0-9-]*)( +[A-Z0-9][A-Z0-9-]*)+$`)
)

// shownCommands returns the commands of all pages.
func shownCommands(t *testing.T) []shown {
	t.Helper()
	pages, err := filepath.Glob("../../../docs/*.md")
	if err != nil {
		t.Fatal(err)
	}
	var out []shown
	for _, page := range append(pages, "../../../README.md") {
		lines := readLines(t, page)
		for i, line := range lines {
			m := shownCommand.FindStringSubmatch(line)
			if m == nil {
				continue
			}
			command, _, _ := strings.Cut(m[1], "|")
			s := shown{page: filepath.Base(page), args: strings.Fields(command)}
			for _, below := range lines[i+1:] {
				if !strings.HasPrefix(below, "    ") || strings.HasPrefix(below, "    $") {
					break
				}
				if tableHeading.MatchString(below) {
					s.heading = strings.Fields(below)
					break
				}
			}
			out = append(out, s)
		}
	}
	return out
}

var shownFlag = regexp.MustCompile(`^--([a-z][a-z-]*)`)

// TestPagesShowTheCommands looks at every command on the operators' pages: it must
// be one that there is, with flags that it has, and the heading of its output must
// be what it prints now.
func TestPagesShowTheCommands(t *testing.T) {
	system := newSystem(t, launcher.Options{Entries: 1, Agents: 1})
	admin := system.AdminAddrs()[0].String()
	headings := 0
	for _, s := range shownCommands(t) {
		c, rest, err := newRoot().Find(s.args)
		if err != nil || c.HasSubCommands() && !c.Runnable() {
			t.Errorf("%s: sardinelock %s: %v", s.page, strings.Join(s.args, " "), err)
			continue
		}
		for _, arg := range rest {
			if m := shownFlag.FindStringSubmatch(arg); m != nil && c.Flags().Lookup(m[1]) == nil {
				t.Errorf("%s: %s has no flag --%s", s.page, c.CommandPath(), m[1])
			}
		}
		if s.heading == nil || !listed.MatchString(c.Name()) || slices.Contains([]string{"show", "diff"}, c.Name()) {
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
		t.Errorf("%d headings were compared; the pages are not read well", headings)
	}
}

// headingOf returns the columns that a command prints.
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
