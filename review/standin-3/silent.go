package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// silentRounds is the number of rounds of the case, and silentRunMs how long its tasks take.
	silentRounds = 8
	silentRunMs  = 3000
	// silentTime is the time after which the dialling side of a silent connection notices it, by its
	// TCP_USER_TIMEOUT. The kernel that stands for the network acknowledges all bytes, so the script ends it then.
	silentTime = 2 * time.Second
	// breakDelay is the time from a request to the break of its client's connection.
	breakDelay = 300 * time.Millisecond
	// resubmitDelay is RetryDelayMs.
	resubmitDelay = 1300 * time.Millisecond
)

// silent lets the open connections between one entry and the others go silent. A client hands a job in there, its
// connection breaks, and it hands the job in again at another entry, as the pages say. It counts the tasks with two
// runs at the same time.
func silent(s *setting) int {
	f, err := s.newFleet()
	if err != nil {
		return s.verdict(cannotRun, "the platform does not start: %v", err)
	}
	defer f.endAll()
	var mu sync.Mutex
	running, twice := make(map[string]int), make(map[string]bool)
	for _, e := range f.servers {
		e.onRun = func(task string, change int) {
			mu.Lock()
			defer mu.Unlock()
			if running[task] += change; running[task] > 1 {
				twice[task] = true
				s.record.line("two-runs-at-once", "task", task)
			}
		}
	}
	if err := f.startAll(); err != nil {
		return s.verdict(cannotRun, "the programs do not start: %v", err)
	}
	second := 0
	for n := range silentRounds {
		status, err := f.silentRound(s, f.entries[n%3], f.entries[(n+1)%3])
		if err != nil {
			return s.verdict(cannotRun, "%v", err)
		}
		if status == http.StatusOK {
			second++
		}
		time.Sleep(contactMs * time.Millisecond)
	}
	mu.Lock()
	defer mu.Unlock()
	text := fmt.Sprintf("%d tasks had two runs at once in %d rounds; %d second submissions were answered 200", len(twice), silentRounds, second)
	if len(twice) > 0 {
		return s.verdict(broken, "%s", text)
	}
	return s.verdict(held, "%s", text)
}

// silentRound hands a job in at one entry and, after its connection has broken, at another one. It returns the status of
// the second submission.
func (f *fleet) silentRound(s *setting, first, other *machine) (status int, err error) {
	steps := []step{{Count: 2, CPU: 1600, MemMb: 64, EstRuntimeMs: silentRunMs}}
	id := newID()
	body, err := json.Marshal(map[string]any{"Spec": strconv.Itoa(silentRunMs), "BestEffort": true, "Steps": steps})
	if err != nil {
		return 0, err
	}
	if s.trouble {
		s.record.line("silent", "entry", first.name, "links", f.silence(first.name))
		time.AfterFunc(silentTime, f.endSilence)
	}
	conn, err := breakableConn(f.at(first.ip, frontOff))
	if err != nil {
		return 0, err
	}
	s.record.line("send", "method", "POST", "to", first.name, "job", id)
	_, err = fmt.Fprintf(conn, "POST %s%s HTTP/1.1\r\nHost: %s\r\nX-Deadline-Ms: 8500\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", prefix, id, host, len(body), body)
	if err != nil {
		return 0, err
	}
	time.Sleep(breakDelay)
	s.record.line("broken", "to", first.name, "job", id)
	_ = conn.Close()
	time.Sleep(resubmitDelay)
	status, _ = newClient(f).submit(context.Background(), other, id, silentRunMs, steps, 8500*time.Millisecond)
	return status, nil
}

// silence makes the open connections between an entry and the others carry nothing any more. It returns their number.
func (f *fleet) silence(entry string) (n int) {
	for _, p := range f.proxies {
		p.mu.Lock()
		for _, k := range p.links {
			for _, m := range f.entries {
				if k.isFrom(m.name) && (m.name == entry || p.self == entry) && k.lost.CompareAndSwap(false, true) {
					n++
				}
			}
		}
		p.mu.Unlock()
	}
	return n
}

// endSilence ends the silent connections at their dialling side, which dials again then.
func (f *fleet) endSilence() {
	for _, p := range f.proxies {
		p.mu.Lock()
		for _, k := range p.links {
			if k.lost.Load() {
				_ = k.client.Close()
			}
		}
		p.mu.Unlock()
	}
}

// breakableConn returns a connection to an address through a stand-in for the network. Closing it breaks the
// connection of the client; the end does not reach the other side.
func breakableConn(address string) (net.Conn, error) {
	server, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	client, network := net.Pipe()
	go func() { _, _ = io.Copy(server, network) }()
	go func() { _, _ = io.Copy(io.Discard, server); _ = server.Close() }()
	return client, nil
}
