// Package scripter runs tests whose scripts and expected output are data files.
//
// A test case is a txtar archive with the files "script", which has one event on each
// line, and "want", which has the expected output. If the environment variable
// SARDINELOCK_UPDATE is set, for example to 1, the "want" files are updated with the
// actual output.
package scripter

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/tools/txtar"
)

const updateVariable = "SARDINELOCK_UPDATE"

// Line is one line of a script: a verb and its arguments.
type Line struct {
	Number int // Number is the line number in the script, from 1.
	Verb   string
	Args   []string
}

// Run runs a subtest for every archive that matches the pattern. The function f takes
// the lines of one script, without blank lines and comments, and returns its output.
func Run(t *testing.T, pattern string, f func(t *testing.T, lines []Line) string) {
	t.Helper()
	names, err := filepath.Glob(pattern)
	if err != nil || len(names) == 0 {
		t.Fatalf("no archive matches %s (error %v)", pattern, err)
	}
	for _, name := range names {
		t.Run(strings.TrimSuffix(filepath.Base(name), ".txtar"), func(t *testing.T) {
			runArchive(t, name, f)
		})
	}
}

// RunSeeds is like [Run] for tests that need random bits, for example for ids. It runs
// every script with the given number of seeds and requires the same output for each.
func RunSeeds(t *testing.T, pattern string, seeds uint16, f func(t *testing.T, lines []Line, random io.Reader) string) {
	t.Helper()
	Run(t, pattern, func(t *testing.T, lines []Line) string {
		want := f(t, lines, newRandom(0))
		for seed := uint16(1); seed < seeds; seed++ {
			if diff := cmp.Diff(want, f(t, lines, newRandom(seed))); diff != "" {
				t.Fatalf("seed %d (-seed 0 +got):\n%s", seed, diff)
			}
		}
		return want
	})
}

func newRandom(seed uint16) io.Reader {
	return rand.NewChaCha8([32]byte{byte(seed), byte(seed >> 8)})
}

func runArchive(t *testing.T, name string, f func(t *testing.T, lines []Line) string) {
	t.Helper()
	archive, err := txtar.ParseFile(name)
	if err != nil {
		t.Fatal(err)
	}
	script, want := findFile(archive, "script"), findFile(archive, "want")
	if script == nil || want == nil {
		t.Fatalf("%s needs the files script and want", name)
	}
	got := f(t, parse(string(script.Data)))
	if os.Getenv(updateVariable) != "" {
		want.Data = []byte(got)
		if err := os.WriteFile(name, txtar.Format(archive), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	if diff := cmp.Diff(string(want.Data), got); diff != "" {
		t.Errorf("%s (-want +got):\n%s", name, diff)
	}
}

func findFile(a *txtar.Archive, name string) *txtar.File {
	for i := range a.Files {
		if a.Files[i].Name == name {
			return &a.Files[i]
		}
	}
	return nil
}

func parse(script string) []Line {
	var out []Line
	for i, text := range strings.Split(script, "\n") {
		text, _, _ = strings.Cut(text, "#")
		fields := strings.Fields(text)
		if len(fields) > 0 {
			out = append(out, Line{Number: i + 1, Verb: fields[0], Args: fields[1:]})
		}
	}
	return out
}

// Arg returns the value of the argument "name=value", or "" if there is none.
func (l Line) Arg(name string) string {
	for _, arg := range l.Args {
		if key, value, ok := strings.Cut(arg, "="); ok && key == name {
			return value
		}
	}
	return ""
}

// String returns the line in the form used in error messages.
func (l Line) String() string {
	return fmt.Sprintf("line %d: %s %s", l.Number, l.Verb, strings.Join(l.Args, " "))
}
