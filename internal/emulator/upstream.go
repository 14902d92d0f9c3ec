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

// UpstreamOptions describe a stand-in upstream.
type UpstreamOptions struct {
	// Slots is the true capacity; the upstream starts what it is given even beyond it.
	Slots int
	// FailRatio is the share of tasks that fail, from 0 to 1.
	FailRatio float64
	// TearRatio is the share of tasks whose connection is closed when they have run,
	// half of them before the answer and half in the middle of it, from 0 to 1.
	AbortRatio float64
	// DelayFactor multiplies each task's run time; 1 runs tasks as they say.
	DelayFactor float64
	Seed        uint64
	// Log receives one JSON line for each start and end of a task; nil drops them.
	Log io.Writer
}

// Upstream is the stand-in for an upstream. A task's payload is a JSON object
// whose "run-time" says how long it truly takes; its result is the payload.
type Upstream struct {
	options UpstreamOptions

	mu      sync.Mutex
	random  *rand.Rand
	log     *json.Encoder
	running int
	starts  map[TaskRef]int // starts counts the starts of each task.
}

// TaskRef names one task of a submission.
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

// work is the payload that the stand-in understands.
type work struct {
	RunTime string `json:"run-time"`
	Fail    bool   `json:"fail"`
}

// NewUpstream returns an upstream with no task running.
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

// Starts returns the number of tasks that started and how many of them had
// started before at this upstream.
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
	var todo work
	// Payloads of other forms are legal: they take no time.
	_ = json.Unmarshal(body, &todo)
	index, _ := strconv.Atoi(r.Header.Get(invoker.HeaderTask))
	ref := TaskRef{Submission: r.Header.Get(invoker.HeaderSubmission), Task: index}

	fate := u.start(ref)
	defer u.end(ref)
	u.run(r.Context(), todo)
	if fate.torn {
		tear(w, fate.half)
		return
	}
	if fate.fails || todo.Fail {
		http.Error(w, "the task failed", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

// fate is what becomes of a task.
type fate struct {
	fails bool
	torn  bool
	half  bool // half means that the connection is torn in the middle of the answer.
}

// start records a start and draws what becomes of the task.
func (u *Upstream) start(ref TaskRef) fate {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running++
	u.starts[ref]++
	u.write("start", ref)
	out := fate{fails: u.random.Float64() < u.options.FailRatio}
	if u.options.AbortRatio > 0 {
		out.torn = u.random.Float64() < u.options.AbortRatio
		out.half = u.random.IntN(2) == 0
	}
	return out
}

// tear closes the connection of a request, perhaps after half an answer.
func tear(w http.ResponseWriter, half bool) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if half {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nhalf")
	}
	_ = conn.Close()
}

func (u *Upstream) end(ref TaskRef) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running--
	u.write("end", ref)
}

// write must be called with the lock held.
func (u *Upstream) write(event string, ref TaskRef) {
	if u.options.Log == nil {
		return
	}
	_ = u.log.Encode(logLine{
		Event: event, Time: time.Now(), SubmissionID: ref.Submission, Task: ref.Task, Running: u.running,
	})
}

// run waits as long as the task takes, or until the request is cancelled.
func (u *Upstream) run(ctx context.Context, todo work) {
	d, err := time.ParseDuration(todo.RunTime)
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

// Announce tells an agent about an upstream and renews the announcement until
// the context ends; then it announces that the upstream is leaving.
func Announce(ctx context.Context, agent netip.AddrPort, a invoker.Announcement) error {
	period := time.Duration(a.TimeToLive) / 3
	for {
		// A failed renewal is repeated at the next tick, within the time to live.
		_ = postAnnouncement(ctx, agent, a)
		select {
		case <-ctx.Done():
			a.Leaving = true
			leave, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
			defer cancel()
			return postAnnouncement(leave, agent, a)
		case <-time.After(period):
		}
	}
}

func postAnnouncement(ctx context.Context, agent netip.AddrPort, a invoker.Announcement) error {
	body, err := json.Marshal(a)
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
