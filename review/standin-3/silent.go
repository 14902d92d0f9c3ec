package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
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
	// resubmitDelay is RetryDelayMs.
	resubmitDelay = 1300 * time.Millisecond
)

// silent lets the open connections between one entry and the others go silent. A client hands a job in there, its
// connection breaks, and it hands the job in again at another entry, as the pages say. It counts the tasks with two
// runs at the same time.
func silent(s *setting) int {
	f, err := newFleet(s.program, s.dir, 3, 4, s.record)
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
	for _, m := range f.entries {
		if !f.ready(m, 15*time.Second) {
			return s.verdict(cannotRun, "%s is not ready", m.name)
		}
	}
	time.Sleep(3 * time.Second)
	c := newClient(f)
	ctx := context.Background()
	steps := []step{{Count: 2, CPU: 1600, MemMb: 64, EstRuntimeMs: silentRunMs}}
	second := 0
	for round := range silentRounds {
		first, other := f.entries[round%3], f.entries[(round+1)%3]
		id := newID()
		body, _ := json.Marshal(map[string]any{"Spec": strconv.Itoa(silentRunMs), "BestEffort": true, "Steps": steps})
		if s.trouble {
			s.record.line("silent", "entry", first.name, "links", f.silence(first.name))
		}
		conn, err := breakableConn(f.at(first.ip, frontOff))
		if err != nil {
			return s.verdict(cannotRun, "%v", err)
		}
		s.record.line("send", "method", "POST", "to", first.name, "job", id)
		_, _ = fmt.Fprintf(conn, "POST %s%s HTTP/1.1\r\nHost: %s\r\nX-Deadline-Ms: 8500\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", prefix, id, host, len(body), body)
		time.Sleep(300 * time.Millisecond)
		s.record.line("broken", "to", first.name, "job", id)
		_ = conn.Close()
		time.Sleep(resubmitDelay)
		done := make(chan int, 1)
		go func() {
			status, _ := c.submit(ctx, other, id, silentRunMs, steps, 8500*time.Millisecond)
			done <- status
		}()
		if s.trouble {
			time.Sleep(silentTime - resubmitDelay - 300*time.Millisecond)
			f.endSilence()
		}
		if status := <-done; status == 200 {
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
