package cmd

import (
	"context"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"sardinelock.dev/sardinelock/internal/authenticator"
	"sardinelock.dev/sardinelock/internal/certifier"
	"sardinelock.dev/sardinelock/internal/issuer"
	"sardinelock.dev/sardinelock/internal/launcher"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// TestAdminScripts runs the commands of operators and callers against a system
// that the script command "system" starts in the test process.
func TestAdminScripts(t *testing.T) {
	files := issuer.New(t).Issue(t.TempDir(), time.Now().Add(time.Hour))
	testscript.Run(t, testscript.Params{
		Dir: "testdata/admin",
		Setup: func(env *testscript.Env) error {
			env.Setenv("CERTIFICATE", files.Certificate)
			env.Setenv("KEY", files.Key)
			env.Setenv("CA", files.Authorities)
			return nil
		},
		UpdateScripts: os.Getenv("SARDINELOCK_UPDATE") != "",
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"system":    startSystemScript,
			"tokenhash": replaceTokenHashes,
			"waitfor":   waitFor,
			"newid":     newID,
		},
	})
}

// startSystemScript implements the script command
//
//	system entries=N agents=N [base=FILE] [tls]
//
// It starts a system and sets ENTRY0, ADMIN0 and so on to the addresses of the entries,
// SARDINELOCK_ENTRY and SARDINELOCK_ADMIN to the addresses of the first entry, and
// SARDINELOCK_PLATFORM to the address of the platform.
func startSystemScript(ts *testscript.TestScript, _ bool, args []string) {
	o := launcher.Options{
		Entries:     1,
		Agents:      1,
		Limits:      entryLimits(),
		AgentLimits: agentLimits(),
		Logger:      newLogger("error"),
	}
	for _, arg := range args {
		name, value, _ := strings.Cut(arg, "=")
		switch name {
		case "entries":
			o.Entries = number(ts, value)
		case "agents":
			o.Agents = number(ts, value)
		case "base":
			o.BaseFile = ts.MkAbs(value)
		case "tls":
			var err error
			o.TLS, err = certifier.New(certifier.Files{
				Certificate: ts.Getenv("CERTIFICATE"),
				Key:         ts.Getenv("KEY"),
				Authorities: ts.Getenv("CA"),
			})
			ts.Check(err)
		default:
			ts.Fatalf("unknown argument %s", arg)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	system, err := launcher.Start(ctx, o)
	ts.Check(err)
	ts.Defer(func() {
		cancel()
		system.Wait()
	})
	ts.Check(system.AwaitReady(ctx))
	for i, e := range system.Entries {
		ts.Setenv("ENTRY"+strconv.Itoa(i), e.CallerAddr().String())
		ts.Setenv("ADMIN"+strconv.Itoa(i), e.AdminAddr().String())
	}
	ts.Setenv("SARDINELOCK_PLATFORM", system.PlatformAddr.String())
	ts.Setenv("SARDINELOCK_ENTRY", system.Entries[0].CallerAddr().String())
	ts.Setenv("SARDINELOCK_ADMIN", system.Entries[0].AdminAddr().String())
}

// replaceTokenHashes implements the script command "tokenhash FILE". It replaces each
// hash(TOKEN) in the file by the hash of the token.
func replaceTokenHashes(ts *testscript.TestScript, _ bool, args []string) {
	name := ts.MkAbs(args[0])
	text, err := os.ReadFile(name)
	ts.Check(err)
	parts := strings.Split(string(text), "hash(")
	for i := 1; i < len(parts); i++ {
		token, rest, _ := strings.Cut(parts[i], ")")
		parts[i] = authenticator.Hash(token) + rest
	}
	ts.Check(os.WriteFile(name, []byte(strings.Join(parts, "")), 0o600))
}

// newID implements the script command "newid". It sets ID to a new submission id.
func newID(ts *testscript.TestScript, _ bool, _ []string) {
	ts.Setenv("ID", submitter.NewSubmissionID(""))
}

// waitFor implements the script command "waitfor PATTERN COMMAND...". It runs the
// command repeatedly until its output matches.
func waitFor(ts *testscript.TestScript, _ bool, args []string) {
	pattern, err := regexp.Compile(args[0])
	ts.Check(err)
	for deadline := time.Now().Add(time.Minute); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if ts.Exec(args[1], args[2:]...) == nil && pattern.MatchString(ts.ReadFile("stdout")) {
			return
		}
	}
	ts.Fatalf("no output matched %s; the last was:\n%s%s", args[0], ts.ReadFile("stdout"), ts.ReadFile("stderr"))
}

func number(ts *testscript.TestScript, text string) int {
	n, err := strconv.Atoi(text)
	ts.Check(err)
	return n
}
