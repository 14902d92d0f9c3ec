package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	maxHold     = time.Second // HoldMaxMs
	stopTime    = 10 * time.Millisecond
	listedEnds  = 500
	beatEach    = 1500 * time.Millisecond
	executorCPU = 16000
	executorMB  = 32768
)

// run is one run of a task at an executor.
type run struct {
	task   string
	number uint64
	began  time.Time
	lasts  time.Duration
	over   bool
}

// end is a row of the ended runs.
type end struct {
	number int64
	task   string
	run    uint64
	how    string
}

// executor is a sound stand-in for an executor, as PROTOCOL.md describes it. The Spec of a task is
// its run time in milliseconds.
type executor struct {
	id, service, zone, rack string
	address                 string // address is where it accepts calls.
	control                 string // control is where it sends its heartbeats.
	record                  *record

	mu       sync.Mutex
	born     time.Time
	runs     map[string]*run
	highest  map[string]uint64 // highest is the highest run of a task that was stopped or has ended.
	ends     []end
	lastEnd  int64
	fence    uint64
	deadline time.Duration // deadline is the end of the lease, on the executor's clock.
	changed  chan struct{}
	label    string // label is its kind.
	// beats and beatsAcknowledged count the heartbeats.
	beats, beatsAcknowledged int
	// onRun is called with 1 at the start of a run and with -1 at its end.
	onRun func(task string, change int)
}

func newExecutor(id, service, zone, rack, address, control string, rec *record) *executor {
	return &executor{
		id: id, service: service, zone: zone, rack: rack, address: address, control: control, record: rec,
		born: time.Now(), runs: make(map[string]*run), highest: make(map[string]uint64), changed: make(chan struct{}), label: "a",
		onRun: func(string, int) {},
	}
}

func (e *executor) setLabel(label string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.label = label
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

func (e *executor) clock() time.Duration { return time.Since(e.born) + time.Millisecond }

// lapse ends all runs if the lease is over. The lock is held.
func (e *executor) lapse() {
	if e.deadline > 0 && e.clock() >= e.deadline {
		for _, r := range e.runs {
			e.finish(r, "lapsed")
		}
	}
}

// finish ends a run. The lock is held.
func (e *executor) finish(r *run, how string) {
	if r.over {
		return
	}
	r.over = true
	delete(e.runs, r.task)
	e.onRun(r.task, -1)
	e.highest[r.task] = max(e.highest[r.task], r.number)
	e.lastEnd++
	e.ends = append(e.ends, end{e.lastEnd, r.task, r.number, how})
	e.record.line("end", "executor", e.id, "task", r.task, "run", r.number, "how", how)
	close(e.changed)
	e.changed = make(chan struct{})
}

// extend prolongs the lease. The lock is held.
func (e *executor) extend(ms int64) {
	until := min(time.Duration(ms)*time.Millisecond, e.clock()+maxHold)
	if until <= e.deadline {
		return
	}
	e.deadline = until
	time.AfterFunc(until-e.clock(), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.lapse()
	})
}

func (e *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if want := r.Header.Get("X-Expected-Instance"); want != "" && want != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lapse()
	status, reason := e.apply(r.URL.Path, o)
	if r.URL.Path == "/api/hold" && status == http.StatusOK && len(e.ends) == 0 && o.WaitMs > 0 {
		changed := e.changed
		e.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond):
		}
		e.mu.Lock()
	}
	answer := map[string]any{"ClockMs": e.clock().Milliseconds()}
	if reason != "" {
		answer["Reason"] = reason
	}
	if r.URL.Path == "/api/hold" && status == http.StatusOK {
		running, ended := [][]any{}, [][]any{}
		for _, x := range e.runs {
			running = append(running, []any{x.task, x.number, "", int(100 * time.Since(x.began) / x.lasts), 1600})
		}
		for _, x := range e.ends[:min(len(e.ends), listedEnds)] {
			ended = append(ended, []any{x.number, x.task, x.run, x.how, ""})
		}
		answer["born"], answer["Running"], answer["Ended"] = e.born.UnixMilli(), running, ended
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer)
}

// apply carries out an order. The lock is held.
func (e *executor) apply(path string, o order) (status int, reason string) {
	if o.FencingToken < e.fence {
		return http.StatusConflict, "fence"
	}
	e.fence = o.FencingToken
	e.extend(o.DeadlineMs)
	switch path {
	case "/api/run-start":
		return e.start(o)
	case "/api/run-stop":
		e.stop(o)
	case "/api/hold":
		for len(e.ends) > 0 && e.ends[0].number <= o.AckCursor {
			e.ends = e.ends[1:]
		}
	default:
		return http.StatusNotFound, ""
	}
	return http.StatusOK, ""
}

// start carries out the start of a run. The lock is held.
func (e *executor) start(o order) (status int, reason string) {
	if x := e.runs[o.Task]; x != nil && x.number == o.RunID {
		return http.StatusOK, ""
	}
	if o.RunID <= e.highest[o.Task] {
		return http.StatusConflict, "old"
	}
	if o.DeadlineMs > 0 && time.Duration(o.DeadlineMs)*time.Millisecond <= e.clock() {
		return http.StatusConflict, "late"
	}
	ms, err := strconv.Atoi(o.Spec)
	if err != nil || ms < 1 {
		return http.StatusBadRequest, ""
	}
	x := &run{task: o.Task, number: o.RunID, began: time.Now(), lasts: time.Duration(ms) * time.Millisecond}
	e.runs[o.Task] = x
	e.onRun(x.task, 1)
	e.record.line("start", "executor", e.id, "task", o.Task, "run", o.RunID, "spec", o.Spec)
	time.AfterFunc(x.lasts, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.lapse()
		e.finish(x, "done")
	})
	return http.StatusOK, ""
}

// stop carries out the stop of a run, which takes some time. The lock is held.
func (e *executor) stop(o order) {
	e.highest[o.Task] = max(e.highest[o.Task], o.RunID)
	x := e.runs[o.Task]
	if x == nil || x.number > o.RunID {
		return
	}
	time.AfterFunc(stopTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.finish(x, "stopped")
	})
}

// announce sends one heartbeat and returns the status of its answer.
func (e *executor) announce(ctx context.Context, client *http.Client, service string, seq int) (status int, err error) {
	e.mu.Lock()
	label := e.label
	e.mu.Unlock()
	body, err := json.Marshal(map[string]any{
		"Service": service, "Address": e.address, "Zone": e.zone, "Version": "v1", "Slots": 8, "State": "ready", "ColdMs": 0,
		"Capacity": map[string]any{"Cpu": executorCPU, "MemMb": executorMB, "Gpu": 0}, "Labels": []string{label, e.rack},
		"ClockMs": e.clock().Milliseconds(), "Seq": seq, "born": e.born.UnixMilli(),
	})
	if err != nil {
		return 0, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, fmt.Sprintf("http://%s/api/instances/%s", e.control, e.id), bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// beat sends heartbeats until the context ends.
func (e *executor) beat(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for seq := 1; ctx.Err() == nil; seq++ {
		status, err := e.announce(ctx, client, e.service, seq)
		e.mu.Lock()
		e.beats++
		if status/100 == 2 {
			e.beatsAcknowledged++
		}
		e.mu.Unlock()
		wait := beatEach
		if err != nil {
			wait = 200 * time.Millisecond
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
	}
}
