package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"
)

// The figures of the settings are those of the users' smallest deployment.
const (
	service    = "huvo11a"
	host       = "nony24.example"
	prefix     = "/lohu930/"
	contactMs  = 3000
	ackMs      = 4000
	cancelMs   = 3000
	zones      = 3
	frontOff   = 20
	readyOff   = 21
	controlOff = 22
	appOff     = 23
	storeOff   = 24
)

// entryMemoryMb is the memory of an entry's machine.
const entryMemoryMb = 284

// machine is a machine of the deployment with its process.
type machine struct {
	name, role, ip, announce, zone string
	settings                       string
	cmd                            *exec.Cmd
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	program string
	dir     string
	port    int // port is the first of PortRange; the others follow from it.
	net     string
	store   *store
	entries []*machine
	agents  []*machine
	proxies []*proxy // proxies stand before the peer ports of the entries.
	servers []*executor
	record  *record
	stop    context.CancelFunc
}

func (f *fleet) at(ip string, off int) string { return fmt.Sprintf("%s:%d", ip, f.port+off) }

func zone(i int) string { return "ub-" + string(rune('a'+i%zones)) }

// startTime is the longest time until an entry is ready.
const startTime = 15 * time.Second

// newFleet returns the deployment of a case: three entries and four agents.
func (s *setting) newFleet() (*fleet, error) { return newFleet(s.program, s.dir, 3, 4, s.record) }

// newFleet chooses addresses and starts the platform: the store, the executors and the proxies.
func newFleet(program, dir string, entries, agents int, rec *record) (*fleet, error) {
	f := &fleet{program: program, dir: dir, record: rec, store: newStore()}
	// The ports lie below those that the kernel gives to outgoing connections.
	f.port = 12000 + rand.IntN(18000)
	f.net = fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), rand.IntN(250))
	for i := range entries {
		f.entries = append(f.entries, &machine{
			name: fmt.Sprintf("edge-%s-%d", zone(i), 1+i/zones), role: "entry", zone: zone(i),
			ip: fmt.Sprintf("%s.%d", f.net, 1+i), announce: fmt.Sprintf("%s.%d", f.net, 101+i),
		})
	}
	for i := range agents {
		f.agents = append(f.agents, &machine{
			name: fmt.Sprintf("side-%s-%d", zone(i), 1+i/zones), role: "agent", zone: zone(i), ip: fmt.Sprintf("%s.%d", f.net, 31+i),
		})
	}
	config, _ := json.Marshal(map[string]any{
		"Version": 7,
		"Routes": []any{map[string]any{
			"Name": "r-3hwrr6x", "Host": host, "PathPrefix": prefix, "Type": "non_idempotent", "TimeoutMs": 1500,
			"TargetDurationMs": 60, "Priority": 0, "Service": service, "MaxAttempts": 4, "Stretch": 1.6,
		}},
		"Services": []any{map[string]any{"Name": service, "HealthPath": "/healthz", "MaxConns": 64, "Protocol": "h1", "Tls": false, "RejectsOverload": false}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	f.store.put("op", "config", config)
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	if err := serve(f.at(f.net+".200", storeOff), f.store); err != nil {
		return nil, err
	}
	for i, m := range f.entries {
		p, err := newProxy(f.at(m.announce, 0), f.at(m.ip, 0), m.name)
		if err != nil {
			return nil, err
		}
		f.proxies = append(f.proxies, p)
		m.settings = filepath.Join(dir, fmt.Sprintf("entry-%d.toml", i))
	}
	for i, m := range f.agents {
		e := newExecutor(fmt.Sprintf("i-%08x", rand.Uint32()), service, m.zone, fmt.Sprintf("r1-%d", i/3), f.at(m.ip, appOff), f.at(m.ip, controlOff), rec)
		if err := serve(e.address, e); err != nil {
			return nil, err
		}
		f.servers = append(f.servers, e)
		m.settings = filepath.Join(dir, fmt.Sprintf("agent-%d.toml", i))
		go e.beat(ctx)
	}
	for _, m := range f.machines() {
		if err := os.WriteFile(m.settings, []byte(f.settings(m)), 0o600); err != nil {
			return nil, err
		}
	}
	return f, nil
}

func serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(l, h) }()
	return nil
}

// settings returns the settings file of a machine.
func (f *fleet) settings(m *machine) string {
	seeds := ""
	for i, e := range f.entries {
		if i > 0 {
			seeds += ","
		}
		seeds += fmt.Sprintf("%q", f.at(e.announce, controlOff))
	}
	listen := fmt.Sprintf("Control = %q\n", f.at(m.ip, controlOff))
	class, app, share, memory := "side", fmt.Sprintf("app = %q\nService = %q\n", f.at(m.ip, appOff), service), 0.24, 152
	if m.role == "entry" {
		listen = fmt.Sprintf("Front = %q\nReady = %q\n", f.at(m.ip, frontOff), f.at(m.ip, readyOff)) + listen
		class, app, share, memory = "edge", "", 0.4, entryMemoryMb
	}
	return fmt.Sprintf(`Node = %q
Role = %q
Class = %q
Ip = %q
Zone = %q
Region = "ulaanbaatar"
PortRange = [%d,%d]
Seeds = [%s]
Bootstrap = true
HeartbeatMs = 1500
ControlMode = "rpc"
%s
[Zones]
ub-a = "ulaanbaatar"
ub-b = "ulaanbaatar"
ub-c = "ulaanbaatar"

[Listen]
%s
[Limits]
CpuShare = %g
Cores = 1
MemoryMb = %d
MaxFds = 4096

[Bounds]
ContactMs = %d
AckMs = %d
GraceS = 6
ConfigApplyMs = 2000
HoldMaxMs = 1000
StopTimeoutMs = 50
cancel_ms = %d
RetryDelayMs = 1300

[platform]
Address = %q
form = "table"
`, m.name, m.role, class, m.ip, m.zone, f.port, f.port+15, seeds, app, listen, share, memory, contactMs, ackMs, cancelMs, f.at(f.net+".200", storeOff))
}

// start starts the process of a machine by the command of the deploy file.
func (f *fleet) start(m *machine) error {
	args := []string{"platform", m.role}
	if m.announce != "" {
		args = append(args, "--announce-address", f.at(m.announce, 0))
	}
	m.cmd = exec.Command(f.program, args...)
	m.cmd.Env = append(os.Environ(), "SARDINELOCK_CONFIG="+m.settings)
	out, err := os.OpenFile(filepath.Join(f.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.cmd.Stdout, m.cmd.Stderr = out, out
	// The process ends with this one in any case.
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.cmd.Start(); err != nil {
		return err
	}
	f.record.line("started", "machine", m.name)
	return out.Close()
}

// startAll starts all programs, and waits until they serve and some time more.
func (f *fleet) startAll() error {
	for _, m := range f.machines() {
		if err := f.start(m); err != nil {
			return err
		}
	}
	for _, m := range f.entries {
		if !f.ready(m, startTime) {
			return fmt.Errorf("%s is not ready", m.name)
		}
	}
	time.Sleep(contactMs * time.Millisecond)
	return nil
}

// machines returns the machines of the system.
func (f *fleet) machines() []*machine { return slices.Concat(f.entries, f.agents) }

// end ends the process of a machine that has one.
func (m *machine) end(s os.Signal) {
	if m.cmd == nil {
		return
	}
	_ = m.cmd.Process.Signal(s)
	_ = m.cmd.Wait()
	m.cmd = nil
}

// peakMemory returns the line of the kernel with the largest memory that the process had.
func (m *machine) peakMemory() string {
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.cmd.Process.Pid))
	for line := range strings.Lines(string(status)) {
		if size, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			return strings.Join(strings.Fields(size), "")
		}
	}
	return "unknown"
}

func (f *fleet) endAll() {
	f.stop()
	for _, m := range f.machines() {
		m.end(syscall.SIGKILL)
	}
}

// ready waits until an entry says that it is ready.
func (f *fleet) ready(m *machine, within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + f.at(m.ip, readyOff) + "/api/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}
