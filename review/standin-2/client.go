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
	"strconv"
	"strings"
	"time"
)

const (
	host   = "nony24.example"
	prefix = "/lohu930/"
)

// step is a step of a job.
type step struct {
	Count        int
	CPU          int64   `json:"Cpu"`
	MemMb        int64   `json:",omitempty"`
	EstRuntimeMs float64 `json:",omitempty"`
	After        []int   `json:",omitempty"`
}

// route returns the queue of the deployment. Its figures are those of the site file, but for a longer
// time-out where a case has longer tasks.
func route(timeoutMs int) map[string]any {
	return map[string]any{
		"Name": "r-3hwrr6x", "Host": host, "PathPrefix": prefix, "Type": "non_idempotent", "TimeoutMs": timeoutMs,
		"TargetDurationMs": 60, "Priority": 0, "Service": service, "MaxAttempts": 4, "Stretch": 1.6,
	}
}

func newJobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// jobBody returns the body of a job that need not be kept. Its tasks last for ms.
func jobBody(ms int, steps ...step) []byte {
	b, _ := json.Marshal(map[string]any{"Spec": "ms=" + strconv.Itoa(ms), "Steps": steps, "BestEffort": true})
	return b
}

// client is a client with connections of its own.
type client struct {
	rig    *rig
	name   string
	http   *http.Client
	prefix string
	choose func() *machine // choose returns the entry of a new connection.
}

func (g *rig) newClient(name string, connections int, choose func() *machine) *client {
	c := &client{rig: g, name: name, prefix: prefix, choose: choose}
	c.http = &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: connections, MaxConnsPerHost: connections,
		DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			m := c.choose()
			var d net.Dialer
			return d.DialContext(ctx, "tcp", m.ip+":"+strconv.Itoa(g.ports.front))
		},
	}}
	return c
}

// result is the answer to a request as its client sees it.
type result struct {
	status int // 0 without a complete answer
	body   string
	err    error
	sent   time.Duration
	got    time.Duration
}

func (r result) String() string {
	if r.status == 0 {
		return "no complete answer: " + strings.ReplaceAll(fmt.Sprint(r.err), "\n", " ")
	}
	return strconv.Itoa(r.status) + " " + r.body
}

// call sends a request and waits for its answer until the deadline.
func (c *client) call(method, id string, body []byte, deadline time.Duration) (r result) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(body)
	}
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+host+c.prefix+id, reader)
	req.GetBody = nil // the transport sends no request a second time
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
		req.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	}
	r.sent = c.rig.record.at()
	c.rig.record.linef("client %s: %s %s%s sent", c.name, method, c.prefix, id)
	resp, err := c.http.Do(req)
	if err == nil {
		var b []byte
		b, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			r.status, r.body = resp.StatusCode, string(b)
		}
	}
	r.err, r.got = err, c.rig.record.at()
	c.rig.record.linef("client %s: %s %s%s answered: %v", c.name, method, c.prefix, id, r)
	return r
}
