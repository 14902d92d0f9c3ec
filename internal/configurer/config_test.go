package configurer

import (
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/juju/errors"
)

// TestBounds checks that files that would take long to parse are rejected.
func TestBounds(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"bytes", "#" + strings.Repeat("x", MaxFileBytes), "f:1:1: the file is larger than 262144 bytes"},
		{"lines", strings.Repeat("#\n", MaxFileLines+1), "f:10001:1: the file has too many lines"},
		{"brackets", "services: " + strings.Repeat("[", 100_000), "f:1:43: the nesting is too deep"},
		{"sequences", strings.Repeat("- ", 100_000), "f:1:65: the nesting is too deep"},
		{"indentation", "a:\n" + strings.Repeat(" ", 65) + "b: 1", "f:2:65: the nesting is too deep"},
	}
	for _, c := range cases {
		_, err := Parse("f", []byte(c.text))
		if err == nil {
			t.Errorf("%s: no error", c.name)
			continue
		}
		if diff := cmp.Diff("the configuration is not valid:\n"+c.want, err.Error()); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
	}
}

// TestCaps checks that values above the limits of the system are rejected.
func TestCaps(t *testing.T) {
	_, err := Parse("f", []byte("services: [{name: a, path: /a, timeout: 1h, objective: {latency: 1s, latency-ratio: 1, success-ratio: 1}}]\nlimits:\n  max-body-bytes: 33554433\n  max-deadline: 11m\n"))
	want := "the configuration is not valid:\nf:1:41: must be at most 10m\nf:3:19: must be at most 33554432\nf:4:17: must be at most 10m"
	if err == nil || err.Error() != want {
		t.Errorf("got %v, want %s", err, want)
	}
}

// TestTokenOfTwo checks that a token hash that belongs to both a team and an operator is
// rejected.
func TestTokenOfTwo(t *testing.T) {
	hash := strings.Repeat("ab", 32)
	base := "services: []\nteams:\n  - name: a\n    token-hashes: [" + hash + "]\n" +
		"operators:\n  - {name: o, role: viewer, token-hashes: [" + strings.ToUpper(hash) + "]}\n"
	_, err := Parse("f", []byte(base))
	want := "the configuration is not valid:\nf:6:44: the token belongs to teams.a already"
	if err == nil || err.Error() != want {
		t.Errorf("got %v, want %s", err, want)
	}
}

// TestExamples checks that the examples are valid with the overlays of all sites.
func TestExamples(t *testing.T) {
	users := []struct {
		name  string
		sites []string
	}{
		{"tuul", []string{"ub-1", "ub-2", "ub-3"}},
		{"kwaebibirem", []string{"accra-1", "accra-2", "accra-3", "accra-4"}},
	}
	for _, user := range users {
		dir := "../../examples/" + user.name + "/"
		base := readFile(t, dir+"base.yaml")
		var overlays []File
		for _, site := range user.sites {
			overlays = append(overlays, readFile(t, dir+site+".yaml"))
		}
		sites, err := CheckAll(base, overlays)
		if err != nil {
			t.Error(err)
		}
		if diff := cmp.Diff(user.sites, sites); diff != "" {
			t.Errorf("%s (-want +got):\n%s", user.name, diff)
		}
	}
}

func readFile(t *testing.T, name string) File {
	t.Helper()
	text, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	return File{Name: name, Text: text}
}

// TestKeysAreDocumented checks that the operators' documentation lists every key with its
// values, its default and whether an overlay may set it.
func TestKeysAreDocumented(t *testing.T) {
	page := string(readFile(t, "../../docs/CONFIGURATION.md").Text)
	for _, k := range Keys() {
		if row := keyRow(k); !strings.Contains(page, row+"\n") {
			t.Errorf("docs/CONFIGURATION.md lacks the row\n%s", row)
		}
	}
}

func keyRow(k Key) string {
	values, overlay := k.Default, "no"
	if k.Required {
		values = "required"
	}
	if k.Overlay {
		overlay = "yes"
	}
	return "| `" + k.Path + "` | " + k.Kind + " | " + values + " | " + overlay + " | " + k.Help + " |"
}

// TestFaultsAreOfOneType checks that the error of Parse is an *Error that lists all
// faults.
func TestFaultsAreOfOneType(t *testing.T) {
	_, err := Parse("f", []byte("services: 3\nteams: 4\n"))
	var e *Error
	if !errors.As(err, &e) {
		t.Fatalf("got %T", err)
	}
	var lines []string
	for _, f := range e.Faults {
		lines = append(lines, strconv.Itoa(f.Line))
	}
	if diff := cmp.Diff([]string{"1", "2"}, lines); diff != "" {
		t.Errorf("lines (-want +got):\n%s", diff)
	}
}
