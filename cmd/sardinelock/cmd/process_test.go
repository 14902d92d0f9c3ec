package cmd

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	"sardinelock.dev/sardinelock/pkg/submitter"
)

// conditionTimeout is the limit for waiting for a condition. No test result depends on
// how much earlier the condition holds.
const conditionTimeout = 60 * time.Second

const testBase = `
services:
  - name: quote
    path: /quote
    timeout: 60s
    default-run-time: 100ms
    default-memory-bytes: 1048576
    objective: {latency: 2s, latency-ratio: 0.99, success-ratio: 0.999}
teams: []
`

var buildProgram = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "sardinelock-test")
	if err != nil {
		return "", err
	}
	name := filepath.Join(dir, "sardinelock")
	out, err := exec.Command("go", "build", "-o", name, "sardinelock.dev/sardinelock/cmd/sardinelock").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("go build: %v: %s", err, out)
	}
	return name, nil
})

// process is a running process of the program. It is killed at the end of the test.
type process struct {
	t      *testing.T
	cmd    *exec.Cmd
	ready  chan map[string]string // receives the fields of the log line with the event "ready"
	exited chan struct{}
	stdout *lockedBuffer
	stderr *lockedBuffer
}

// startProcess starts the program and waits until it is ready.
func startProcess(t *testing.T, args ...string) (*process, map[string]string) {
	t.Helper()
	program, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	p := &process{
		t:      t,
		cmd:    exec.Command(program, args...),
		ready:  make(chan map[string]string, 1),
		exited: make(chan struct{}),
		stdout: new(lockedBuffer),
		stderr: new(lockedBuffer),
	}
	p.cmd.Stdout = p.stdout
	stderr, err := p.cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go p.watch(stderr)
	t.Cleanup(func() { p.kill() })
	select {
	case line := <-p.ready:
		return p, line
	case <-p.exited:
	case <-time.After(conditionTimeout):
	}
	t.Fatalf("%v is not ready: %s", args, p.stderr.String())
	return nil, nil
}

func (p *process) watch(stderr io.Reader) {
	defer close(p.exited)
	lines := bufio.NewScanner(stderr)
	for lines.Scan() {
		fmt.Fprintln(p.stderr, lines.Text())
		line := make(map[string]any)
		if json.Unmarshal(lines.Bytes(), &line) == nil && line["event"] == "ready" {
			text := make(map[string]string)
			for key, value := range line {
				text[key] = fmt.Sprint(value)
			}
			p.ready <- text
		}
	}
	_ = p.cmd.Wait()
}

func (p *process) signal(s os.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// lockedBuffer is a buffer that a process writes to while a test reads it.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// fleet is a system of separate processes.
type fleet struct {
	t          *testing.T
	platform   netip.AddrPort
	entries    []*process
	callers    []netip.AddrPort
	admins     []netip.AddrPort
	agents     []*process
	agentAddrs []string // addresses at which the agents accept announcements
	upstreams  []*process
}

// newFleet starts a fleet that consists only of the platform, with a configuration.
func newFleet(t *testing.T) *fleet {
	t.Helper()
	f := &fleet{t: t}
	_, line := startProcess(t, "dev", "platform", "--listen", "127.0.0.1:0")
	f.platform = netip.MustParseAddrPort(line["address"])
	f.applyConfig()
	return f
}

func startFleet(t *testing.T, entries, agents int) *fleet {
	t.Helper()
	f := newFleet(t)
	var peers string
	for range entries {
		peers = f.startEntry()
	}
	for range agents {
		f.startAgent(peers)
	}
	for i := range f.callers {
		f.awaitService(i)
	}
	return f
}

// startEntry starts another entry and returns its peer address.
func (f *fleet) startEntry(flags ...string) string {
	f.t.Helper()
	p, line := startProcess(f.t, append([]string{"entry", "--platform", f.platform.String(),
		"--caller-listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0", "--admin-listen", "127.0.0.1:0"}, flags...)...)
	f.entries = append(f.entries, p)
	f.callers = append(f.callers, netip.MustParseAddrPort(line["caller-address"]))
	f.admins = append(f.admins, netip.MustParseAddrPort(line["admin-address"]))
	return line["peer-address"]
}

// startAgent starts another agent with its upstream.
func (f *fleet) startAgent(peers string, flags ...string) {
	f.t.Helper()
	a, line := startProcess(f.t, append([]string{"agent", "--entry", peers, "--listen", "127.0.0.1:0"}, flags...)...)
	f.agents = append(f.agents, a)
	f.agentAddrs = append(f.agentAddrs, line["address"])
	f.startUpstream(line["address"])
}

func (f *fleet) startUpstream(agent string, flags ...string) {
	f.t.Helper()
	u, _ := startProcess(f.t, append([]string{"dev", "upstream", "--agent", agent, "--slots", "8"}, flags...)...)
	f.upstreams = append(f.upstreams, u)
}

// applyConfig applies testBase as the first version of the configuration.
func (f *fleet) applyConfig() {
	f.t.Helper()
	program, err := buildProgram()
	if err != nil {
		f.t.Fatal(err)
	}
	base := filepath.Join(f.t.TempDir(), "base.yaml")
	if err := os.WriteFile(base, []byte(testBase), 0o600); err != nil {
		f.t.Fatal(err)
	}
	out, err := exec.Command(program, "config", "apply", "--platform", f.platform.String(), "--expect-version", "0", base).CombinedOutput()
	if err != nil {
		f.t.Fatalf("config apply: %v: %s", err, out)
	}
}

// awaitService waits until the entry has completed many jobs in a row, so that their
// random ids very likely fall into partitions of every owner.
func (f *fleet) awaitService(entry int) {
	f.t.Helper()
	const streak = 24
	deadline := time.Now().Add(conditionTimeout)
	for served := 0; served < streak; served++ {
		if time.Now().After(deadline) {
			f.t.Fatalf("entry %d does not serve: %s", entry, f.entries[entry].stderr.String())
		}
		answer, err := f.client(entry).Submit(context.Background(), "quote", "", job(1, time.Millisecond, 2*time.Second))
		if err != nil || answer.Outcome != submitter.OutcomeComplete {
			served = -1
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// client returns a client of one entry. Without keep-alives it makes no automatic
// retries.
func (f *fleet) client(entry int) *submitter.Client {
	return submitter.New(submitter.Options{
		Entries: []netip.AddrPort{f.callers[entry]},
		HTTP:    &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	})
}

// job returns a job whose tasks all have the same run time.
func job(tasks int, runTime, deadline time.Duration) submitter.Job {
	j := submitter.Job{Deadline: submitter.Duration(deadline)}
	for range tasks {
		j.Tasks = append(j.Tasks, submitter.Task{
			Payload: json.RawMessage(`{"run-time":"` + runTime.String() + `"}`),
			RunTime: submitter.Duration(runTime),
		})
	}
	return j
}

// starts returns the number of starts of each task of a submission over all upstreams.
func (f *fleet) starts(submission string) map[string]int {
	out := make(map[string]int)
	for _, u := range f.upstreams {
		u.countStarts(submission, out)
	}
	return out
}

// busiest returns the index of the agent whose upstream started the most tasks of a
// submission.
func (f *fleet) busiest(submission string) int {
	best, most := 0, 0
	for i, u := range f.upstreams {
		started := make(map[string]int)
		if u.countStarts(submission, started); len(started) > most {
			best, most = i, len(started)
		}
	}
	return best
}

// countStarts adds the logged starts of a submission to out, by task.
func (p *process) countStarts(submission string, out map[string]int) {
	p.eachStart(func(id string, task int) {
		if id == submission {
			out[strconv.Itoa(task)]++
		}
	})
}

// eachStart calls f for every start that an upstream has logged.
func (p *process) eachStart(f func(submission string, task int)) {
	lines := bufio.NewScanner(bytes.NewReader([]byte(p.stdout.String())))
	for lines.Scan() {
		var line struct {
			Event        string `json:"event"`
			SubmissionID string `json:"submission-id"`
			Task         int    `json:"task"`
		}
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.Event == "start" {
			f(line.SubmissionID, line.Task)
		}
	}
}

// awaitStarts waits until at least n tasks of a submission have started.
func (f *fleet) awaitStarts(submission string, n int) {
	f.t.Helper()
	deadline := time.Now().Add(conditionTimeout)
	for len(f.starts(submission)) < n {
		if time.Now().After(deadline) {
			f.t.Fatalf("%d tasks of %s have started, want at least %d", len(f.starts(submission)), submission, n)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// stopUpstreams terminates the upstreams and waits until their whole output has been
// read: a logged start can arrive later than the answer of its task.
func (f *fleet) stopUpstreams() {
	f.t.Helper()
	for _, u := range f.upstreams {
		u.signal(syscall.SIGTERM)
	}
	for _, u := range f.upstreams {
		select {
		case <-u.exited:
		case <-time.After(conditionTimeout):
			f.t.Fatalf("an upstream does not exit: %s", u.stderr.String())
		}
	}
}

// checkOnce fails the test if a task of a submission started twice. The upstreams
// must be stopped.
func (f *fleet) checkOnce(submission string) {
	f.t.Helper()
	for task, n := range f.starts(submission) {
		if n != 1 {
			f.t.Errorf("task %s of %s started %d times, want once", task, submission, n)
		}
	}
}

// checkAllOnce fails the test if any task of any submission started twice. It reads
// each log only once. The upstreams must be stopped.
func (f *fleet) checkAllOnce() {
	f.t.Helper()
	counts := make(map[string]int)
	for _, u := range f.upstreams {
		u.eachStart(func(submission string, task int) { counts[submission+" "+strconv.Itoa(task)]++ })
	}
	for task, n := range counts {
		if n != 1 {
			f.t.Errorf("task %s started %d times, want once", task, n)
		}
	}
}

// submitAsync submits a job through one entry and returns a channel that receives the
// answer. An error is turned into the outcome "unknown".
func (f *fleet) submitAsync(entry int, id string, j submitter.Job) <-chan submitter.Answer {
	out := make(chan submitter.Answer, 1)
	go func() {
		answer, err := f.client(entry).Submit(context.Background(), "quote", id, j)
		if err != nil {
			answer = submitter.Answer{Outcome: submitter.OutcomeUnknown, Detail: err.Error()}
		}
		if answer.Outcome != submitter.OutcomeComplete {
			f.t.Logf("%s through entry %d: %s %s: %s", id, entry, answer.Outcome, answer.Reason, answer.Detail)
		}
		out <- answer
	}()
	return out
}
