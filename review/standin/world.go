package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world is the deployment of one script: the processes of the system, the stand-ins around
// them, and what was seen.
type world struct {
	program string // the program that the deploy file builds
	dir     string // temporary folder for settings
	record  *os.File
	start   time.Time

	store     *store
	storeAddr string
	port      int // the first port of PortRange
	entries   []*process
	agents    []*process
	executors []*executor

	mu         sync.Mutex
	active     map[string][]*run // the current runs of each task
	runs       []*run
	violations []string
}

// process is a process of the system. Its settings are written once.
type process struct {
	w        *world
	role     string
	name     string
	settings string
	front    string // address for clients
	ready    string
	mu       sync.Mutex
	cmd      *exec.Cmd
	done     chan struct{}
}

const host = "shop.example"

func newWorld(program, recordPath string) (*world, error) {
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{program: program, dir: dir, record: record, start: time.Now(), store: newStore(), active: map[string][]*run{}}
	w.storeAddr = w.serve(w.store)
	w.port = freePort()
	w.store.put("op", "config", `{"Version":3,"Routes":[{"Name":"quick","Host":"`+host+`","PathPrefix":"/q/","Service":"svc","Priority":0,"MaxAttempts":4,"Stretch":3,"TargetDurationMs":1000}],"Services":[{"Name":"svc","RejectsOverload":false}],"Limits":{"MaxBodyBytes":262144}}`)
	return w, nil
}

// now returns the time since the start of the script.
func (w *world) now() time.Duration { return time.Since(w.start) }

func (w *world) log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.logLocked(format, args...)
}

func (w *world) logLocked(format string, args ...any) {
	fmt.Fprintf(w.record, "%9.4f %s\n", w.now().Seconds(), fmt.Sprintf(format, args...))
}

// broken records that a rule was broken.
func (w *world) broken(rule, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.brokenLocked(rule, format, args...)
}

func (w *world) brokenLocked(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	w.violations = append(w.violations, text)
	w.logLocked("BROKEN %s", text)
}

// started checks TWICE at the start of a run: no other run of the task may be going on.
func (w *world) started(r *run) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.logLocked("%s begins %s run %d", r.executor, r.task, r.number)
	for _, o := range w.active[r.task] {
		w.brokenLocked("TWICE", "%s run %d begins on %s while run %d works on %s since %.4f", r.task, r.number, r.executor, o.number, o.executor, o.began.Seconds())
	}
	w.active[r.task] = append(w.active[r.task], r)
	w.runs = append(w.runs, r)
}

func (w *world) ended(r *run, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r.ended, r.how = w.now(), how
	w.logLocked("%s ends %s run %d: %s", r.executor, r.task, r.number, how)
	left := w.active[r.task][:0:0]
	for _, o := range w.active[r.task] {
		if o != r {
			left = append(left, o)
		}
	}
	w.active[r.task] = left
}

// activeOn returns the number of current runs at an executor.
func (w *world) activeOn(e *executor) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.runs)
}

// serve serves a handler on a loopback address of its own and returns the address.
func (w *world) serve(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("listen: %v", err)
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return l.Addr().String()
}

// freePort returns a port below those that the kernel gives to outgoing connections, so that
// it stays free until its process listens. It is free at the addresses of all entries.
func freePort() int {
	for range 1000 {
		port := 12000 + rand.IntN(20000)
		free := true
		for _, ip := range []string{"127.0.0.1", "127.0.1.1", "127.0.1.2"} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return port
		}
	}
	fail("no port is free")
	return 0
}

func freeAddress() string { return fmt.Sprintf("127.0.0.1:%d", freePort()) }

// addEntry adds a machine of class edge.
func (w *world) addEntry() *process {
	n := len(w.entries) + 1
	p := &process{w: w, role: "entry", name: fmt.Sprintf("edge-%d", n), front: freeAddress(), ready: freeAddress()}
	p.write(fmt.Sprintf("127.0.1.%d", n), "edge", "", fmt.Sprintf("Front = %q\nReady = %q\nControl = %q", p.front, p.ready, freeAddress()))
	w.entries = append(w.entries, p)
	return p
}

// addAgent adds a machine of class side with an executor of the given size.
func (w *world) addAgent(cpu int64) (*process, *executor) {
	n := len(w.agents) + 1
	e := newExecutor(w, fmt.Sprintf("x-%d", n), cpu)
	e.address, e.control = w.serve(e), freeAddress()
	p := &process{w: w, role: "agent", name: fmt.Sprintf("side-%d", n)}
	p.write(fmt.Sprintf("127.0.2.%d", n), "side", fmt.Sprintf("app = %q\nService = \"svc\"\n", e.address), fmt.Sprintf("Control = %q", e.control))
	w.agents, w.executors = append(w.agents, p), append(w.executors, e)
	return p, e
}

// write writes the settings file, with the bounds of sites/tuul-mats.toml.
func (p *process) write(ip, class, rest, listen string) {
	text := fmt.Sprintf(`Node = %q
Role = %q
Class = %q
Ip = %q
Zone = "z-a"
Region = "r-a"
PortRange = [%d,%d]
Seeds = ["127.0.1.1:1","127.0.1.2:1"]
Bootstrap = true
HeartbeatMs = 1500
ControlMode = "rpc"
%s
[Listen]
%s
[Limits]
CpuShare = 0.4
Cores = 1
MemoryMb = 284
[Bounds]
ContactMs = 3000
AckMs = 4000
DrainMs = 2000
GraceS = 6
ConfigApplyMs = 2000
HoldMaxMs = 1000
StopTimeoutMs = 50
cancel_ms = 3000
RetryDelayMs = 1300
[platform]
Address = %q
form = "table"
`, p.name, p.role, class, ip, p.w.port, p.w.port+1, rest, listen, p.w.storeAddr)
	p.settings = filepath.Join(p.w.dir, p.name+".toml")
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		fail("settings: %v", err)
	}
}

// changeSetting replaces a value in the settings file.
func (p *process) changeSetting(from, to string) {
	text, err := os.ReadFile(p.settings)
	if err != nil {
		fail("settings: %v", err)
	}
	if err := os.WriteFile(p.settings, []byte(strings.ReplaceAll(string(text), from, to)), 0o600); err != nil {
		fail("settings: %v", err)
	}
}

// launch starts the process with the command of the deploy file.
func (p *process) launch() {
	cmd := exec.Command(p.w.program, "platform", p.role)
	cmd.Env = append(os.Environ(), "SARDINELOCK_CONFIG="+p.settings, "SARDINELOCK_METRICS_PORT=0")
	log, err := os.OpenFile(filepath.Join(p.w.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("log: %v", err)
	}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		fail("start %s: %v", p.name, err)
	}
	done := make(chan struct{})
	go func() { _ = cmd.Wait(); _ = log.Close(); close(done) }()
	p.mu.Lock()
	p.cmd, p.done = cmd, done
	p.mu.Unlock()
	p.w.log("%s starts", p.name)
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	cmd := p.cmd
	p.mu.Unlock()
	p.w.log("%s gets %v", p.name, s)
	_ = cmd.Process.Signal(s)
}

// kill ends the process and waits until it is gone.
func (p *process) kill() {
	p.mu.Lock()
	cmd, done := p.cmd, p.done
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGKILL)
	<-done
}

// launchAll starts all processes and waits until each entry is ready and has every executor.
func (w *world) launchAll() {
	for _, p := range w.entries {
		p.launch()
	}
	for _, p := range w.agents {
		p.launch()
	}
	for _, e := range w.executors {
		go e.announce()
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, p := range w.entries {
		for !ready(p.ready) {
			if time.Now().After(deadline) {
				fail("%s is not ready", p.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second) // all executors have announced themselves
}

func ready(addr string) bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := client.Get("http://" + addr + "/api/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// close ends all processes.
func (w *world) close() {
	for _, p := range append(w.entries, w.agents...) {
		p.kill()
	}
	if keep := os.Getenv("REVIEW_LOGS"); keep != "" {
		for _, p := range append(w.entries, w.agents...) {
			if b, err := os.ReadFile(filepath.Join(w.dir, p.name+".log")); err == nil {
				_ = os.WriteFile(filepath.Join(keep, p.name+".log"), b, 0o600)
			}
		}
	}
	_ = os.RemoveAll(w.dir)
}

// step is a step of a job.
type step struct {
	Count        int
	CPU          int64 `json:"Cpu"`
	MemMb        int64
	EstRuntimeMs int64
	After        []int `json:",omitempty"`
}

// job is a job that need not be kept.
func job(spec string, steps ...step) []byte {
	b, _ := json.Marshal(map[string]any{"Spec": spec, "Steps": steps, "BestEffort": true})
	return b
}

// call sends a request of a client to an entry and returns the status and the body of the
// answer; the status is 0 if there is none within the client's time.
func (w *world) call(to, method, id string, body []byte, deadline time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+to+"/q/"+id, bytes.NewReader(body))
	if err != nil {
		fail("request: %v", err)
	}
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	w.log("client sends %s %s to %s", method, id, to)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		w.log("client gets no answer to %s %s: %v", method, id, err)
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		w.log("client gets a broken answer to %s %s: %v", method, id, err)
		return 0, ""
	}
	w.log("client gets %d to %s %s: %s", resp.StatusCode, method, id, strings.TrimSpace(string(text)))
	return resp.StatusCode, string(text)
}

// submit sends a job until it has an answer, as PROTOCOL.md says of a job with BestEffort:
// after no response, a broken connection, 502 or 504 it is sent again to any node.
func (w *world) submit(id string, body []byte, deadline time.Duration, to ...*process) int {
	for i := range 3 {
		status, _ := w.call(to[i%len(to)].front, http.MethodPost, id, body, deadline)
		if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
			return status
		}
		time.Sleep(resendDelay)
	}
	return 0
}

func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	panic(cannotRun{})
}

// cannotRun is the panic of a script that couldn't run.
type cannotRun struct{}
