package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	program      = "target/sardinelock"
	service      = "orderdesk"
	zone         = "ub-a"
	graceS       = 6
	restartDelay = 300 * time.Millisecond
	memoryCheck  = 5 * time.Millisecond
	resubmit     = 1300 * time.Millisecond // RetryDelayMs
)

// memoryMB returns the memory that a process of a role may use, MemoryMb.
func memoryMB(role string) int {
	if role == "agent" {
		return 152
	}
	return 284
}

// errCannotRun is the error if a case could not run.
var errCannotRun = errors.New("the case could not run")

// ports are those of all machines.
type ports struct{ peer, front, ready, control, app int }

// machine is a machine of the small deployment. Each has a loopback address of its own.
type machine struct {
	name, ip, role string
	settings       string

	mu         sync.Mutex
	process    *os.Process
	ended      chan struct{} // closed when the process has ended
	ownEnds    int           // ends without a signal of the test, memory over the limit included
	terminated bool          // a SIGTERM of the test was sent to the process
	stopping   bool          // the deployment ends
	inRotation bool
	misses     int
}

// rig is a small deployment with its platform.
type rig struct {
	record     *record
	dir        string
	ports      ports
	store      *store
	storeAddr  string
	entries    []*machine
	agents     []*machine
	executors  []*executor
	servers    []*http.Server // the store's is the first
	oldStore   *http.Server   // that of the store at its old address; nil if it was not moved
	end        chan struct{}
	supervisor sync.WaitGroup
}

func newRig(rec *record, entries, agents int, routes []map[string]any) (*rig, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	net1, net2 := 10+rand.IntN(200), 1+rand.IntN(250)
	ip := func(n int) string { return fmt.Sprintf("127.%d.%d.%d", net1, net2, n) }
	base := 20000 + 10*rand.IntN(1000)
	g := &rig{
		record: rec, dir: dir, store: newStore(), end: make(chan struct{}),
		ports: ports{peer: base, front: base + 1, ready: base + 2, control: base + 3, app: base + 4},
	}
	g.storeAddr = ip(250) + ":" + strconv.Itoa(base+5)
	if err := g.serve(g.storeAddr, g.store); err != nil {
		return nil, err
	}
	g.putConfig(1, routes)
	for i := range entries {
		g.entries = append(g.entries, &machine{name: fmt.Sprintf("edge-%s-%d", zone, i+1), ip: ip(1 + i), role: "entry"})
	}
	for i := range agents {
		g.agents = append(g.agents, &machine{name: fmt.Sprintf("side-%s-%d", zone, i+1), ip: ip(101 + i), role: "agent"})
	}
	for i, m := range g.agents {
		addr := m.ip + ":" + strconv.Itoa(g.ports.app)
		e := newExecutor(fmt.Sprintf("i-%08x", rand.Uint32()), service, m.ip+":"+strconv.Itoa(g.ports.control), addr, zone, rec)
		if err := g.serve(addr, e); err != nil {
			return nil, err
		}
		g.executors = append(g.executors, e)
		_ = i
	}
	for _, m := range append(append([]*machine{}, g.entries...), g.agents...) {
		if err := g.writeSettings(m); err != nil {
			return nil, err
		}
	}
	return g, nil
}

func (g *rig) serve(addr string, h http.Handler) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h}
	g.servers = append(g.servers, s)
	go func() { _ = s.Serve(l) }()
	return nil
}

// putConfig writes a version of the configuration.
func (g *rig) putConfig(version int, routes []map[string]any) {
	config, _ := json.Marshal(map[string]any{
		"Version": version, "Routes": routes,
		"Services": []any{map[string]any{"Name": service, "HealthPath": "/healthz", "MaxConns": 64, "Protocol": "h1", "RejectsOverload": false}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	g.store.put("op", "config", config)
}

func (g *rig) writeSettings(m *machine) error {
	at := func(ip string, port int) string { return ip + ":" + strconv.Itoa(port) }
	var b strings.Builder
	class, serves := "edge", `["edge","control_plane"]`
	if m.role == "agent" {
		class, serves = "side", `["side"]`
	}
	var seeds []string
	for _, e := range g.entries[:min(3, len(g.entries))] {
		seeds = append(seeds, strconv.Quote(at(e.ip, g.ports.control)))
	}
	fmt.Fprintf(&b, "Node = %q\nRole = %q\nClass = %q\nServes = %s\nIp = %q\nZone = %q\nRegion = \"ulaanbaatar\"\n", m.name, m.role, class, serves, m.ip, zone)
	fmt.Fprintf(&b, "PortRange = [%d,%d]\nSeeds = [%s]\nBootstrap = true\nFaultCounted = false\nDiscovery = \"local\"\nEntry = \"vip\"\nHeartbeatMs = 1500\n", g.ports.peer, g.ports.peer, strings.Join(seeds, ","))
	fmt.Fprintf(&b, "Contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"platform\",\"advice\",\"upkeep\",\"sharing\"]\nControlMode = \"rpc\"\n")
	if m.role == "agent" {
		fmt.Fprintf(&b, "app = %q\nService = %q\n", at(m.ip, g.ports.app), service)
	}
	fmt.Fprintf(&b, "[Zones]\n%s = \"ulaanbaatar\"\n[Listen]\n", zone)
	if m.role == "entry" {
		fmt.Fprintf(&b, "Front = %q\nReady = %q\n", at(m.ip, g.ports.front), at(m.ip, g.ports.ready))
	}
	fmt.Fprintf(&b, "Control = %q\n", at(m.ip, g.ports.control))
	fmt.Fprintf(&b, "[Limits]\nCpuShare = 0.4\nCores = 1\nMemoryMb = %d\nMaxFds = 4100\nLinkMbps = 1000.0\nDiskMb = 0\n", memoryMB(m.role))
	fmt.Fprintf(&b, "[FaultTolerance]\nMachines = 2\nZones = 0\nRegions = 0\n")
	fmt.Fprintf(&b, "[Bounds]\nSeedLagS = 3\nAddrReuseS = 2\nContactMs = 3000\nAckMs = 4000\nCatchUpS = 4\nDrainMs = 2000\nGraceS = %d\nLossSlackMs = 200\nConfigApplyMs = 2000\nDowngradeSlackMs = 250\nMaxStretchMs = 5000\nRecoverS = 12\nHoldMaxMs = 1000\nStopTimeoutMs = 50\nGangTimeoutMs = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\nFarX = 1.5\nCheckpointS = 0.5\nRestoreMs = 100\nNoticeMs = 4500\nMoveS = 1.5\nUpkeepS = 2\nRequireFencing = false\nLeaseMs = 3000\nThawMs = 300\nPaceMs = 100\nHarmMs = 4000\nRetryDelayMs = 1300\n", graceS)
	fmt.Fprintf(&b, "[platform]\nAddress = %q\nform = \"table\"\nWritesPerS = 800\nReadsPerS = 2000\nTxMs = 8.0\nPartWritesS = 150\nRowBytes = 65536\nAcross = false\nHistoryS = 20\n", g.storeAddr)
	m.settings = filepath.Join(g.dir, m.name+".toml")
	return os.WriteFile(m.settings, []byte(b.String()), 0o600)
}

// start starts all machines and waits until every entry is ready and all executors are known.
func (g *rig) start() error {
	for i, e := range g.executors {
		_ = i
		go e.beat(g.end)
	}
	for _, m := range g.machines() {
		if err := g.launch(m); err != nil {
			return err
		}
	}
	go g.probe()
	return g.waitReady()
}

// waitReady waits until every entry is in rotation, and 2 s more.
func (g *rig) waitReady() error {
	time.Sleep(2 * time.Second)
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if len(g.rotation()) == len(g.entries) {
			time.Sleep(2 * time.Second)
			g.record.linef("platform: all %d entries are ready", len(g.entries))
			return nil
		}
	}
	return fmt.Errorf("%w: the entries were not ready after 20 s", errCannotRun)
}

func (g *rig) machines() []*machine {
	return append(append([]*machine{}, g.entries...), g.agents...)
}

// launch starts the process of a machine and keeps it running.
func (g *rig) launch(m *machine) error {
	cmd := exec.Command(program, "platform", m.role)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "SARDINELOCK_CONFIG=" + m.settings}
	if dir := os.Getenv("PROCESS_LOGS"); dir != "" {
		f, err := os.OpenFile(filepath.Join(dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		defer f.Close()
		cmd.Stdout, cmd.Stderr = f, f
	}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("%w: %v", errCannotRun, err)
	}
	m.mu.Lock()
	m.process, m.ended, m.terminated = cmd.Process, make(chan struct{}), false
	ended := m.ended
	m.mu.Unlock()
	g.record.linef("platform: %s started, process %d", m.name, cmd.Process.Pid)
	g.supervisor.Add(1)
	go g.watchMemory(m, cmd.Process, ended)
	go func() {
		defer g.supervisor.Done()
		err := cmd.Wait()
		close(ended)
		m.mu.Lock()
		stopping := m.stopping
		if !m.terminated && !stopping {
			m.ownEnds++
		}
		own := m.ownEnds
		m.mu.Unlock()
		if stopping {
			return
		}
		g.record.linef("platform: the process of %s ended (%v); ends by itself so far: %d", m.name, err, own)
		time.Sleep(restartDelay)
		m.mu.Lock()
		stopping = m.stopping
		m.mu.Unlock()
		if !stopping {
			_ = g.launch(m)
		}
	}()
	return nil
}

// watchMemory ends a process that exceeds its memory, as the platform does.
func (g *rig) watchMemory(m *machine, p *os.Process, ended <-chan struct{}) {
	for {
		select {
		case <-ended:
			return
		case <-time.After(memoryCheck):
		}
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.Pid))
		if err != nil {
			return
		}
		fields := strings.Fields(string(text))
		if len(fields) < 3 {
			continue
		}
		resident, _ := strconv.Atoi(fields[1])
		shared, _ := strconv.Atoi(fields[2]) // pages of files, such as the program's
		if mb := (resident - shared) * os.Getpagesize() >> 20; mb > memoryMB(m.role) {
			g.record.linef("platform: the process of %s uses %d MB of %d and is killed", m.name, mb, memoryMB(m.role))
			_ = p.Kill()
			return
		}
	}
}

// moveStore serves the store at another address, beside the old one, and writes that into all settings
// files.
func (g *rig) moveStore() error {
	port, _ := strconv.Atoi(g.storeAddr[strings.LastIndex(g.storeAddr, ":")+1:])
	addr := strings.TrimSuffix(g.storeAddr, strconv.Itoa(port)) + strconv.Itoa(port+1)
	if err := g.serve(addr, g.store); err != nil {
		return err
	}
	g.oldStore, g.storeAddr = g.servers[0], addr
	g.record.linef("platform: the store is now at port %d also, and the settings files name that", port+1)
	for _, m := range g.machines() {
		if err := g.writeSettings(m); err != nil {
			return err
		}
	}
	return nil
}

// closeOldStore ends the service of the store at its old address, if it was moved.
func (g *rig) closeOldStore() {
	if g.oldStore != nil {
		g.record.linef("platform: the store's old address is closed")
		_ = g.oldStore.Close()
	}
}

// signal sends a signal to the process of a machine.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s == syscall.SIGTERM {
		m.terminated = true
	}
	_ = m.process.Signal(s)
}

// kill ends the process of a machine as a disruption.
func (m *machine) kill() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.terminated = true
	_ = m.process.Kill()
}

// terminate sends SIGTERM and, after GraceS, SIGKILL. It returns when the process has ended.
func (g *rig) terminate(m *machine) {
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	g.record.linef("platform: SIGTERM to %s", m.name)
	m.signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(graceS * time.Second):
		m.signal(syscall.SIGKILL)
		<-ended
	}
}

// probe asks each entry once per second whether it is ready.
func (g *rig) probe() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		for _, m := range g.entries {
			go func() {
				resp, err := client.Get("http://" + m.ip + ":" + strconv.Itoa(g.ports.ready) + "/api/ready")
				ok := err == nil && resp.StatusCode == http.StatusOK
				if err == nil {
					_ = resp.Body.Close()
				}
				m.mu.Lock()
				defer m.mu.Unlock()
				if ok {
					m.inRotation, m.misses = true, 0
					return
				}
				if m.misses++; m.misses >= 2 {
					m.inRotation = false
				}
			}()
		}
		select {
		case <-g.end:
			return
		case <-time.After(time.Second):
		}
	}
}

// rotation returns the entries to which new connections go: those in rotation, or all if these are
// fewer than half.
func (g *rig) rotation() (in []*machine) {
	for _, m := range g.entries {
		m.mu.Lock()
		if m.inRotation {
			in = append(in, m)
		}
		m.mu.Unlock()
	}
	return in
}

func (g *rig) balance() []*machine {
	in := g.rotation()
	if 2*len(in) < len(g.entries) {
		return g.entries
	}
	return in
}

// stop ends all processes that the rig has started.
func (g *rig) stop() {
	close(g.end)
	for _, m := range g.machines() {
		m.mu.Lock()
		m.stopping = true
		if m.process != nil {
			_ = m.process.Kill()
		}
		m.mu.Unlock()
	}
	time.Sleep(2 * restartDelay)
	for _, m := range g.machines() {
		m.mu.Lock()
		if m.process != nil {
			_ = m.process.Kill()
		}
		m.mu.Unlock()
	}
	g.supervisor.Wait()
	for _, s := range g.servers {
		_ = s.Close()
	}
	_ = os.RemoveAll(g.dir)
}
