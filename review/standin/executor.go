package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// The bounds of the deployment, as in the settings of the processes.
const (
	holdMax     = 1000 * time.Millisecond
	stopTime    = 20 * time.Millisecond // below StopTimeoutMs, which is 50
	beatEvery   = 1500 * time.Millisecond
	resendDelay = 1300 * time.Millisecond
)

// run is one run of a task at an executor.
type run struct {
	executor   string
	task       string
	number     uint64
	began      time.Duration // since the start of the script
	ended      time.Duration // 0 while it runs
	how        string
	cpu        int64
	length     time.Duration
	terminated bool
}

// executor is a stand-in for an executor with ControlMode "rpc". It follows PROTOCOL.md:
// fencing tokens, leases on its own clock, run numbers, ends that are listed until they are
// acknowledged. The Spec of a task is its run time in milliseconds and its CPU demand in
// thousandths of a core: "900 1000".
type executor struct {
	w       *world
	id      string
	service string
	address string
	control string
	cpu     int64
	began   time.Time
	delay   time.Duration // time that a start takes to be answered

	// unanswered reports whether an order gets no answer and is carried out lateBy later.
	unanswered func(path string) bool
	lateBy     time.Duration
	// onStart is called, without the lock, when a start arrives.
	onStart func(task string)

	mu      sync.Mutex
	fence   uint64
	lease   time.Duration // end of the lease on the executor's clock
	runs    map[string]*run
	highest map[string]uint64
	ends    [][]any
	lastEnd int64
	changed chan struct{}
	seq     int64
}

type order struct {
	Task         string
	RunID        uint64 `json:"RunId"`
	Spec         string
	DeadlineMs   int64
	FencingToken uint64
	AckCursor    int64
	WaitMs       int64
}

func newExecutor(w *world, id string, cpu int64) *executor {
	return &executor{
		w: w, id: id, service: "svc", cpu: cpu, began: time.Now(), runs: map[string]*run{}, highest: map[string]uint64{},
		changed: make(chan struct{}), unanswered: func(string) bool { return false }, onStart: func(string) {},
	}
}

func (e *executor) clock() time.Duration { return time.Since(e.began) + time.Second }

// ServeHTTP implements the calls of an agent.
func (e *executor) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if want := r.Header.Get("X-Expected-Instance"); want != "" && want != e.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/api/run-start" {
		e.onStart(o.Task)
	}
	if e.unanswered(r.URL.Path) {
		e.w.log("%s leaves %s %s run %d unanswered", e.id, r.URL.Path, o.Task, o.RunID)
		time.AfterFunc(e.lateBy, func() {
			status, reason := e.apply(r.URL.Path, o)
			e.w.log("%s carries out %s %s run %d late: %d %s", e.id, r.URL.Path, o.Task, o.RunID, status, reason)
		})
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if r.URL.Path == "/api/run-start" {
		time.Sleep(e.delay)
	}
	status, reason := e.apply(r.URL.Path, o)
	if r.URL.Path == "/api/hold" && status == http.StatusOK {
		e.waitForEnd(time.Duration(o.WaitMs) * time.Millisecond)
	}
	e.reply(rw, r.URL.Path, status, reason)
}

// apply carries out an order.
func (e *executor) apply(path string, o order) (status int, reason string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.FencingToken < e.fence {
		return http.StatusConflict, "fence"
	}
	e.fence = o.FencingToken
	now := e.clock()
	deadline := time.Duration(o.DeadlineMs) * time.Millisecond
	if o.DeadlineMs > 0 {
		e.lease = max(e.lease, min(deadline, now+holdMax))
		time.AfterFunc(e.lease-now, e.lapse)
	}
	switch path {
	case "/api/run-start":
		return e.applyStart(o, now)
	case "/api/run-stop":
		e.applyStop(o)
	case "/api/hold":
		e.forgetEnds(o.AckCursor)
	default:
		return http.StatusNotFound, ""
	}
	return http.StatusOK, ""
}

func (e *executor) applyStart(o order, now time.Duration) (status int, reason string) {
	r := e.runs[o.Task]
	switch {
	case r != nil && r.number == o.RunID:
		return http.StatusOK, ""
	case r != nil || o.RunID <= e.highest[o.Task]:
		return http.StatusConflict, "old"
	case o.DeadlineMs > 0 && time.Duration(o.DeadlineMs)*time.Millisecond <= now:
		return http.StatusConflict, "late"
	}
	e.begin(o)
	return http.StatusOK, ""
}

func (e *executor) applyStop(o order) {
	e.highest[o.Task] = max(e.highest[o.Task], o.RunID)
	if r := e.runs[o.Task]; r != nil && r.number <= o.RunID && !r.terminated {
		r.terminated = true
		time.AfterFunc(stopTime, func() { e.finish(r, "stopped") })
	}
}

// forgetEnds deletes the ends up to the cursor.
func (e *executor) forgetEnds(cursor int64) {
	kept := e.ends[:0:0]
	for _, row := range e.ends {
		if row[0].(int64) > cursor {
			kept = append(kept, row)
		}
	}
	e.ends = kept
}

// begin starts a run.
func (e *executor) begin(o order) {
	var ms, cpu int64
	_, _ = fmt.Sscanf(o.Spec, "%d %d", &ms, &cpu)
	r := &run{executor: e.id, task: o.Task, number: o.RunID, began: e.w.now(), cpu: cpu, length: time.Duration(ms) * time.Millisecond}
	e.runs[o.Task] = r
	used := int64(0)
	for _, other := range e.runs {
		used += other.cpu
	}
	if used > e.cpu {
		e.w.broken("LIMIT", "%s: %s run %d brings the CPU in use to %d of %d", e.id, o.Task, o.RunID, used, e.cpu)
	}
	e.w.started(r)
	time.AfterFunc(r.length, func() { e.finish(r, "done") })
}

func (e *executor) finish(r *run, how string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.finishLocked(r, how)
}

func (e *executor) finishLocked(r *run, how string) {
	if e.runs[r.task] != r {
		return
	}
	delete(e.runs, r.task)
	e.highest[r.task] = max(e.highest[r.task], r.number)
	e.lastEnd++
	e.ends = append(e.ends, []any{e.lastEnd, r.task, r.number, how, ""})
	close(e.changed)
	e.changed = make(chan struct{})
	e.w.ended(r, how)
}

// lapse kills everything once the lease has expired.
func (e *executor) lapse() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.clock() < e.lease {
		return
	}
	for _, r := range e.runs {
		e.finishLocked(r, "lapsed")
	}
}

func (e *executor) waitForEnd(d time.Duration) {
	e.mu.Lock()
	pending, changed := len(e.ends) > 0, e.changed
	e.mu.Unlock()
	if pending {
		return
	}
	select {
	case <-changed:
	case <-time.After(d):
	}
}

func (e *executor) reply(rw http.ResponseWriter, path string, status int, reason string) {
	e.mu.Lock()
	body := map[string]any{"ClockMs": e.clock().Milliseconds(), "born": e.began.UnixMilli()}
	if reason != "" {
		body["Reason"] = reason
	}
	if path == "/api/hold" {
		running := [][]any{}
		for _, r := range e.runs {
			percent := int(100 * (e.w.now() - r.began) / max(r.length, 1))
			running = append(running, []any{r.task, r.number, "", min(percent, 99), r.cpu})
		}
		sort.Slice(running, func(i, j int) bool { return running[i][0].(string) < running[j][0].(string) })
		ended := append([][]any{}, e.ends...)
		body["Running"], body["Ended"] = running, ended[:min(len(ended), 500)]
	}
	e.mu.Unlock()
	b, _ := json.Marshal(body)
	rw.Header().Set("Content-Type", "application/json")
	rw.Header().Set("Content-Length", strconv.Itoa(len(b)))
	rw.WriteHeader(status)
	_, _ = rw.Write(b)
}

// announce sends the heartbeats until the script ends.
func (e *executor) announce() {
	client := &http.Client{Timeout: time.Second}
	for {
		e.seq++
		body, _ := json.Marshal(map[string]any{
			"Service": e.service, "Address": e.address, "Zone": "z-a", "Version": "v1", "Slots": 8, "State": "ready", "ColdMs": 0,
			"Capacity": map[string]int64{"Cpu": e.cpu, "MemMb": 32768, "Gpu": 0}, "Labels": []string{"a", "r1-1"},
			"ClockMs": e.clock().Milliseconds(), "Seq": e.seq, "born": e.began.UnixMilli(),
		})
		wait := beatEvery
		req, err := http.NewRequest(http.MethodPut, "http://"+e.control+"/api/instances/"+e.id, bytes.NewReader(body))
		if err != nil {
			panic(err)
		}
		req.Header.Set("Content-Type", "application/json")
		if resp, err := client.Do(req); err != nil {
			wait = 200 * time.Millisecond
		} else {
			_ = resp.Body.Close()
		}
		time.Sleep(wait)
	}
}
