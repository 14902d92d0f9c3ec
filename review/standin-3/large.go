package main

import (
	"context"
	"time"
)

// largeSizes are the jobs at each entry, in the order in which they are handed in. The users' brief names 580
// tasks as the largest job.
var largeSizes = []struct{ jobs, tasks int }{{36, 580}, {40, 20}, {20, 1}}

// largeSteps returns the steps of a job whose first task takes long, and on which the others wait.
func largeSteps(tasks int) []step {
	steps := []step{{Count: 1, CPU: 100, MemMb: 64, EstRuntimeMs: crowdRunMs}}
	if tasks > 1 {
		steps = append(steps, step{Count: tasks - 1, CPU: 100, MemMb: 64, EstRuntimeMs: crowdRunMs, After: []int{0}})
	}
	return steps
}

// large lets a few clients hand in jobs of the largest size, whose first task takes long. The others of each job
// wait for it. Beside them sound clients hand in small jobs, for which nearly all of the capacity is free.
func large(s *setting) int {
	f, err := s.newFleet()
	if err != nil {
		return s.verdict(cannotRun, "the platform does not start: %v", err)
	}
	defer f.endAll()
	if err := f.startAll(); err != nil {
		return s.verdict(cannotRun, "the programs do not start: %v", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 80*time.Second)
	defer cancel()
	c := newClient(f)
	if s.trouble {
		for _, size := range largeSizes {
			for _, m := range f.entries {
				for range size.jobs {
					go c.submit(ctx, m, newID(), crowdRunMs, largeSteps(size.tasks), 900*time.Second)
				}
			}
			time.Sleep(2 * time.Second)
		}
	}
	served := handInAll(ctx, f)
	running := 0
	for _, e := range f.servers {
		e.mu.Lock()
		running += len(e.runs)
		e.mu.Unlock()
	}
	s.record.line("load", "running", running, "executors", len(f.servers), "slots-of-100-milli-CPU", len(f.servers)*executorCPU/100)
	return s.judgeServed(served)
}
