package cmd

import (
	"io"
	"net/http/httptest"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"sardinelock.dev/sardinelock/internal/emulator"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"sardinelock": func() { os.Exit(Main()) },
		"mask":        mask,
	})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:           "testdata/script",
		UpdateScripts: os.Getenv("SARDINELOCK_UPDATE") != "",
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"platform": startPlatform,
		},
	})
}

// masks match the parts of an output that differ between runs.
var masks = []struct {
	pattern *regexp.Regexp
	text    string
}{
	{regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\dZ`), "TIME"},
	{regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`), "UUID"},
	{regexp.MustCompile(`127\.0\.0\.1:\d+`), "ADDRESS"},
	{regexp.MustCompile(`(\d+m)?\d+(\.\d+)?m?s +`), "TIME "},
}

// mask copies standard input to standard output and replaces the parts that differ
// between runs, so that the output can be compared with a golden file.
func mask() {
	text, err := io.ReadAll(os.Stdin)
	if err != nil {
		panic(err)
	}
	for _, m := range masks {
		text = m.pattern.ReplaceAll(text, []byte(m.text))
	}
	_, _ = os.Stdout.Write(text)
}

// startPlatform implements the script command "platform [down] [LOSE-ANSWER-RATIO]". It
// starts a stand-in for the platform that runs until the end of the script, and sets
// SARDINELOCK_PLATFORM to its address.
func startPlatform(ts *testscript.TestScript, _ bool, args []string) {
	var faults emulator.Faults
	for _, arg := range args {
		if arg == "down" {
			faults.Down = true
			continue
		}
		ratio, err := strconv.ParseFloat(arg, 64)
		ts.Check(err)
		faults.LoseAnswerRatio = ratio
	}
	server := httptest.NewServer(emulator.NewPlatform(1, faults).Handler())
	ts.Defer(server.Close)
	ts.Setenv("SARDINELOCK_PLATFORM", strings.TrimPrefix(server.URL, "http://"))
}
