package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// client sends requests of clients to the fronts of entries.
type client struct {
	fleet *fleet
	http  *http.Client
}

func newClient(f *fleet) *client {
	return &client{fleet: f, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}}
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// step is a step of a job.
type step struct {
	Count         int    `json:"Count"`
	CPU           int    `json:"Cpu"`
	MemMb         int    `json:"MemMb"`
	EstRuntimeMs  int    `json:"EstRuntimeMs"`
	After         []int  `json:"After,omitempty"`
	MaxPerServer  int    `json:"MaxPerServer,omitempty"`
	RequiredLabel string `json:"RequiredLabel,omitempty"`
}

// send sends a request and returns the status, or 0 without a whole answer.
func (c *client) send(ctx context.Context, method string, m *machine, id string, body []byte, wait time.Duration) (status int, answer string) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.fleet.at(m.ip, frontOff)+prefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, ""
	}
	req.Host = host
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	c.fleet.record.line("send", "method", method, "to", m.name, "job", id)
	began := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		c.fleet.record.line("broken", "method", method, "to", m.name, "job", id, "after", time.Since(began).Milliseconds())
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	c.fleet.record.line("answer", "method", method, "to", m.name, "job", id, "status", resp.StatusCode, "after", time.Since(began).Milliseconds(), "body", string(text))
	return resp.StatusCode, string(text)
}

// submit hands in a job that need not be kept and waits for its end.
func (c *client) submit(ctx context.Context, m *machine, id string, runMs int, steps []step, wait time.Duration) (status int, answer string) {
	body, _ := json.Marshal(map[string]any{"Spec": strconv.Itoa(runMs), "BestEffort": true, "Steps": steps})
	return c.send(ctx, http.MethodPost, m, id, body, wait)
}

// soundJobs is the number of jobs that sound clients hand in beside a disruption.
const soundJobs = 40

// handInAll hands in the jobs of sound clients, at the entries in turn, and returns how many were completed.
func handInAll(ctx context.Context, f *fleet) int {
	c := newClient(f)
	var served atomic.Int64
	var wg sync.WaitGroup
	for n := range soundJobs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			if c.handIn(ctx, newID(), n) {
				served.Add(1)
			}
		}()
		time.Sleep(500 * time.Millisecond)
	}
	wg.Wait()
	return int(served.Load())
}

// handIn hands a job in, up to five times, and reports whether it was completed.
func (c *client) handIn(ctx context.Context, id string, n int) bool {
	for try := range 5 {
		m := c.fleet.entries[(n+try)%len(c.fleet.entries)]
		status, answer := c.submit(ctx, m, id, 60, []step{{Count: 2, CPU: 1600, MemMb: 64, EstRuntimeMs: 60, RequiredLabel: "a"}}, 5*time.Second)
		if status == http.StatusOK && strings.Contains(answer, "completed") {
			return true
		}
		time.Sleep(1300 * time.Millisecond)
	}
	return false
}

// judgeServed returns the exit code for the number of jobs of sound clients that were completed. The rule counts as
// broken below a tenth.
func (s *setting) judgeServed(served int) int {
	code := held
	if served*10 < soundJobs {
		code = broken
	}
	return s.verdict(code, "%d of %d jobs of sound clients were taken and run", served, soundJobs)
}
