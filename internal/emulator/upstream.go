package emulator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"sardinelock.dev/sardinelock/internal/invoker"
)

// UpstreamOptions configure an emulated upstream.
type UpstreamOptions struct {
	// Slots is the actual capacity. The upstream starts tasks even beyond it.
	Slots int
	// FailRatio is the share of tasks that fail, from 0 to 1.
	FailRatio float64
	// AbortRatio is the share of tasks, from 0 to 1, whose connection is closed after they
	// have run: half of them before the answer and half in the middle of it.
	AbortRatio float64
	// DelayFactor multiplies each task's run time. Zero counts as 1.
	DelayFactor float64
	Seed        uint64
	// Log receives one JSON line for each start and end of a task. It may be nil.
	Log io.Writer
}

// Upstream emulates an upstream. The payload of a task is a JSON object whose "run-time"
// is the time that the task takes. Its result is the payload.
type Upstream struct {
	options UpstreamOptions

	mu      sync.Mutex
	random  *rand.Rand
	log     *json.Encoder
	running int
	starts  map[TaskRef]int // starts counts the starts of each task, including repeated ones.
}

// TaskRef identifies one task of a submission.
type TaskRef struct {
	Submission string
	Task       int
}

// logLine is one line of an upstream's log.
type logLine struct {
	Event        string    `json:"event"`
	Time         time.Time `json:"time"`
	SubmissionID string    `json:"submission-id"`
	Task         int       `json:"task"`
	Running      int       `json:"running"`
}

// payload is the form of payload that the emulator interprets.
type payload struct {
	RunTime string `json:"run-time"`
	Fail    bool   `json:"fail"`
}

// NewUpstream returns an upstream without running tasks.
func NewUpstream(o UpstreamOptions) *Upstream {
	if o.DelayFactor == 0 {
		o.DelayFactor = 1
	}
	log := o.Log
	if log == nil {
		log = io.Discard
	}
	return &Upstream{
		options: o,
		random:  rand.New(rand.NewPCG(o.Seed, 2)),
		log:     json.NewEncoder(log),
		starts:  make(map[TaskRef]int),
	}
}

// Starts returns the total number of starts, and how many of them repeated a task that
// had already started at this upstream.
func (u *Upstream) Starts() (total, repeated int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, n := range u.starts {
		total += n
		repeated += n - 1
	}
	return total, repeated
}

// AddStarts adds the number of starts of each task to counts.
func (u *Upstream) AddStarts(counts map[TaskRef]int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for ref, n := range u.starts {
		counts[ref] += n
	}
}

// SetFailRatio changes the share of tasks that fail.
func (u *Upstream) SetFailRatio(ratio float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.options.FailRatio = ratio
}

// ServeHTTP runs one task.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var task payload
	// Payloads of other forms are valid; such tasks end immediately.
	_ = json.Unmarshal(body, &task)
	index, _ := strconv.Atoi(r.Header.Get(invoker.HeaderTask))
	ref := TaskRef{Submission: r.Header.Get(invoker.HeaderSubmission), Task: index}

	disposition := u.start(ref)
	defer u.end(ref)
	u.run(r.Context(), task)
	if disposition.aborted {
		abort(w, disposition.partialAnswer)
		return
	}
	if disposition.fails || task.Fail {
		http.Error(w, "the task failed", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

// disposition is how a task ends.
type disposition struct {
	fails         bool
	aborted       bool
	partialAnswer bool // partialAnswer makes an aborted connection end in the middle of the answer.
}

// start records the start of a task and draws its disposition.
func (u *Upstream) start(ref TaskRef) disposition {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running++
	u.starts[ref]++
	u.logEvent("start", ref)
	d := disposition{fails: u.random.Float64() < u.options.FailRatio}
	if u.options.AbortRatio > 0 {
		d.aborted = u.random.Float64() < u.options.AbortRatio
		d.partialAnswer = u.random.IntN(2) == 0
	}
	return d
}

// abort closes the connection of a request, optionally in the middle of the answer.
func abort(w http.ResponseWriter, partialAnswer bool) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if partialAnswer {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nhalf")
	}
	_ = conn.Close()
}

func (u *Upstream) end(ref TaskRef) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running--
	u.logEvent("end", ref)
}

// logEvent logs the start or end of a task. The lock must be held.
func (u *Upstream) logEvent(event string, ref TaskRef) {
	if u.options.Log == nil {
		return
	}
	_ = u.log.Encode(logLine{
		Event: event, Time: time.Now(), SubmissionID: ref.Submission, Task: ref.Task, Running: u.running,
	})
}

// run waits until the task's run time has passed or the request is cancelled.
func (u *Upstream) run(ctx context.Context, task payload) {
	d, err := time.ParseDuration(task.RunTime)
	if err != nil || d <= 0 {
		return
	}
	d = time.Duration(float64(d) * u.options.DelayFactor)
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Announce announces an upstream to an agent and renews the announcement until the
// context ends. It then announces that the upstream is leaving.
func Announce(ctx context.Context, agent netip.AddrPort, a invoker.Announcement) error {
	renewalInterval := time.Duration(a.TimeToLive) / 3
	for {
		// A failed renewal is retried after the same interval, before the announcement expires.
		_ = postAnnouncement(ctx, agent, a)
		select {
		case <-ctx.Done():
			a.Leaving = true
			leave, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
			defer cancel()
			return postAnnouncement(leave, agent, a)
		case <-time.After(renewalInterval):
		}
	}
}

func postAnnouncement(ctx context.Context, agent netip.AddrPort, announcement invoker.Announcement) error {
	body, err := json.Marshal(announcement)
	if err != nil {
		return err
	}
	url := "http://" + agent.String() + invoker.AnnouncePath
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}
