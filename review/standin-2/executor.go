package main

import (
	"bytes"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	maxLease          = time.Second // HoldMaxMs
	capacityMilliCPU  = 16000
)

// run is a task at work at an executor.
type run struct {
	task    string
	id      uint64
	began   time.Time
	lasts   time.Duration
	timer   *time.Timer
	cpu     int64
	stopped bool
}

// executor is a stand-in for an executor of the platform. A Spec has the form "ms=N ...": the
// task ends done after N milliseconds.
type executor struct {
	id, service, control, address, zone string
	record                              *record

	mu       sync.Mutex
	born     time.Time
	seq      int64
	fence    uint64
	lease    time.Duration // end of the lease on the executor's clock
	runs     map[string]*run
	ended    [][]any
	lastEnd  int
	highest  map[string]uint64 // highest run of each task that was stopped or has ended
	change   chan struct{}
	draining bool
	// down is set while the executor is crashed: it answers nothing and announces nothing.
	down bool
	// crashesAtStart is how often the executor crashes again as soon as it has announced itself.
	crashesAtStart int
	// lateUntil is until when half of the orders get no answer and are carried out late.
	lateUntil time.Time
}

func newExecutor(id, service, control, address, zone string, rec *record) *executor {
	return &executor{
		id: id, service: service, control: control, address: address, zone: zone, record: rec, born: time.Now(),
		runs: make(map[string]*run), highest: make(map[string]uint64), change: make(chan struct{}),
	}
}

// clock returns the executor's clock.
func (e *executor) clock() time.Duration { return time.Since(e.born) + time.Millisecond }

// beat announces the executor to its agent until the channel is closed.
func (e *executor) beat(end <-chan struct{}) {
	client := &http.Client{Timeout: time.Second}
	for {
		wait := heartbeatInterval
		if !e.announce(client) {
			wait = 200 * time.Millisecond
		}
		select {
		case <-end:
			return
		case <-time.After(wait):
		}
	}
}

func (e *executor) announce(client *http.Client) bool {
	e.mu.Lock()
	if e.down {
		e.mu.Unlock()
		return false
	}
	e.seq++
	state := "ready"
	if e.draining {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{
		"Service": e.service, "Address": e.address, "Zone": e.zone, "Version": "v1", "Slots": 8, "State": state, "ColdMs": 0,
		"Capacity": map[string]any{"Cpu": capacityMilliCPU, "MemMb": 32768, "Gpu": 0}, "Labels": []string{"a", "r1-1"},
		"ClockMs": e.clock().Milliseconds(), "Seq": e.seq, "born": e.born.UnixMilli(),
	})
	e.mu.Unlock()
	req, err := http.NewRequest(http.MethodPut, "http://"+e.control+"/api/instances/"+e.id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}

// order is a call to the executor.
type order struct {
	Task         string
	RunID        uint64 `json:"RunId"`
	Spec         string
	DeadlineMs   int64
	FencingToken uint64
	AckCursor    int
	WaitMs       int64
}

// ServeHTTP serves the agent's calls.
func (e *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		e.leaveUnanswered(r)
	}
	if time.Now().Before(e.lateUntil) && rand.IntN(2) == 0 {
		e.carryOutLate(r, o)
		e.leaveUnanswered(r)
	}
	if want := r.Header.Get("X-Expected-Instance"); want != "" && want != e.id {
		e.reply(w, http.StatusMisdirectedRequest, nil)
		return
	}
	e.lapse()
	if o.FencingToken < e.fence {
		e.reply(w, http.StatusConflict, map[string]any{"Reason": "fence"})
		return
	}
	e.fence = o.FencingToken
	switch r.URL.Path {
	case "/api/run-start":
		e.serveStart(w, o)
	case "/api/run-stop":
		e.serveStop(w, o)
	case "/api/hold":
		e.serveHold(w, o)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (e *executor) serveStart(w http.ResponseWriter, o order) {
	if o.DeadlineMs > 0 && time.Duration(o.DeadlineMs)*time.Millisecond <= e.clock() {
		e.reply(w, http.StatusConflict, map[string]any{"Reason": "late"})
		return
	}
	e.extend(o.DeadlineMs)
	if o.RunID <= e.highest[o.Task] {
		e.reply(w, http.StatusConflict, map[string]any{"Reason": "old"})
		return
	}
	if e.runs[o.Task] == nil {
		ms, _ := strconv.Atoi(strings.TrimPrefix(strings.Fields(o.Spec + " x")[0], "ms="))
		t := &run{task: o.Task, id: o.RunID, began: time.Now(), lasts: time.Duration(max(ms, 1)) * time.Millisecond}
		e.runs[o.Task] = t
		e.record.started(e.id, o.Task, o.RunID, o.Spec)
		t.timer = time.AfterFunc(t.lasts, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.lapse()
			e.end(t, "done")
		})
	}
	e.reply(w, http.StatusOK, map[string]any{})
}

func (e *executor) serveStop(w http.ResponseWriter, o order) {
	e.highest[o.Task] = max(e.highest[o.Task], o.RunID)
	if t := e.runs[o.Task]; t != nil && t.id <= o.RunID {
		e.end(t, "stopped")
	}
	e.reply(w, http.StatusOK, map[string]any{})
}

func (e *executor) serveHold(w http.ResponseWriter, o order) {
	e.extend(o.DeadlineMs)
	left := e.ended[:0]
	for _, row := range e.ended {
		if row[0].(int) > o.AckCursor {
			left = append(left, row)
		}
	}
	e.ended = left
	born := e.born
	if len(e.ended) == 0 && o.WaitMs > 0 {
		change := e.change
		e.mu.Unlock()
		select {
		case <-change:
		case <-time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond):
		}
		e.mu.Lock()
		if e.down || e.born != born {
			panic(http.ErrAbortHandler)
		}
	}
	running := [][]any{}
	for _, t := range e.runs {
		running = append(running, []any{t.task, t.id, "", int(100 * time.Since(t.began) / t.lasts), 1600})
	}
	e.reply(w, http.StatusOK, map[string]any{"born": e.born.UnixMilli(), "Running": running, "Ended": e.ended})
}

// leaveUnanswered ends a call without an answer, once its caller has given it up.
func (e *executor) leaveUnanswered(r *http.Request) {
	e.mu.Unlock()
	<-r.Context().Done()
	e.mu.Lock()
	panic(http.ErrAbortHandler)
}

// carryOutLate carries out an order 2 to 12 s later, at whatever incarnation has the id then.
func (e *executor) carryOutLate(r *http.Request, o order) {
	path, wanted := r.URL.Path, r.Header.Get("X-Expected-Instance")
	time.AfterFunc(2*time.Second+rand.N(10*time.Second), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.down || wanted != "" && wanted != e.id {
			return
		}
		e.lapse()
		if o.FencingToken < e.fence {
			return
		}
		e.fence = o.FencingToken
		o.WaitMs = 0
		switch path {
		case "/api/run-start":
			e.record.linef("executor %s: the start of %s, run %d, arrives late", e.id, o.Task, o.RunID)
			e.serveStart(httptest.NewRecorder(), o)
		case "/api/run-stop":
			e.serveStop(httptest.NewRecorder(), o)
		case "/api/hold":
			e.serveHold(httptest.NewRecorder(), o)
		}
	})
}

// crash ends all runs. The executor is silent for the time and then starts again under its id.
func (e *executor) crash(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return
	}
	e.record.linef("executor %s: crashes", e.id)
	for _, t := range e.runs {
		t.timer.Stop()
		delete(e.runs, t.task)
		e.record.ended(e.id, t.task, t.id, "crashed")
	}
	e.down = true
	time.AfterFunc(d, func() {
		e.mu.Lock()
		e.born, e.seq, e.fence, e.lease, e.ended, e.lastEnd = time.Now(), 0, 0, 0, nil, 0
		e.highest = make(map[string]uint64)
		e.down = false
		e.record.linef("executor %s: has started again", e.id)
		e.mu.Unlock()
		e.announce(&http.Client{Timeout: time.Second})
		e.mu.Lock()
		again := e.crashesAtStart > 0
		e.crashesAtStart = max(0, e.crashesAtStart-1)
		e.mu.Unlock()
		if again {
			e.crash(d)
		}
	})
}

// extend extends the lease, for maxLease at most. It never shortens.
func (e *executor) extend(deadlineMs int64) {
	until := min(time.Duration(deadlineMs)*time.Millisecond, e.clock()+maxLease)
	if until <= e.lease {
		return
	}
	e.lease = until
	born := e.born
	time.AfterFunc(until-e.clock(), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.born == born {
			e.lapse()
		}
	})
}

// lapse ends all runs if the lease has expired.
func (e *executor) lapse() {
	if e.clock() < e.lease {
		return
	}
	for _, t := range e.runs {
		e.end(t, "lapsed")
	}
}

func (e *executor) end(t *run, how string) {
	if e.runs[t.task] != t {
		return
	}
	t.timer.Stop()
	delete(e.runs, t.task)
	e.highest[t.task] = max(e.highest[t.task], t.id)
	e.lastEnd++
	e.ended = append(e.ended, []any{e.lastEnd, t.task, t.id, how, ""})
	e.record.ended(e.id, t.task, t.id, how)
	close(e.change)
	e.change = make(chan struct{})
}

func (e *executor) reply(w http.ResponseWriter, status int, body map[string]any) {
	if body == nil {
		body = map[string]any{}
	}
	body["ClockMs"] = e.clock().Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
