package main

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"time"
)

// runRecord is what an executor saw of one run.
type runRecord struct {
	executor, task string
	run            uint64
	spec           string
	began, ended   time.Duration // ended is 0 while the run goes on
	how            string
}

// record keeps what clients, executors and the platform see, and writes it line by line.
type record struct {
	mu    sync.Mutex
	began time.Time
	out   io.Writer
	runs  []*runRecord
}

// at returns the time since the record began.
func (r *record) at() time.Duration { return time.Since(r.began) }

// linef writes a line with the time.
func (r *record) linef(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writef(format, args...)
}

func (r *record) writef(format string, args ...any) {
	_, _ = fmt.Fprintf(r.out, "%9.3f s  %s\n", r.at().Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) started(executor, task string, id uint64, spec string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, &runRecord{executor: executor, task: task, run: id, spec: spec, began: r.at()})
	r.writef("executor %s: start of %s, run %d", executor, task, id)
}

func (r *record) ended(executor, task string, id uint64, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.runs {
		if t.executor == executor && t.task == task && t.run == id && t.how == "" {
			t.ended, t.how = r.at(), how
		}
	}
	r.writef("executor %s: end of %s, run %d: %s", executor, task, id, how)
}

// runsOf returns copies of the runs of a job in the order of their starts.
func (r *record) runsOf(job string) (runs []runRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.runs {
		if strings.HasPrefix(t.task, job+".") {
			runs = append(runs, *t)
		}
	}
	return runs
}
