package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const clientDeadline = 1500 * time.Millisecond

// agentRestart kills agents while their executors work on tasks of 0.9 s, and starts them
// again 0.3 s later. The first order of the new process gets no answer and is carried out
// late.
func agentRestart(w *world, trouble bool) {
	w.addEntry()
	w.addEntry()
	for range 3 {
		w.addAgent(16000)
	}
	w.launchAll()
	for round := range 5 {
		agent, executor := w.agents[round%len(w.agents)], w.executors[round%len(w.agents)]
		var wg sync.WaitGroup
		for i := range 3 {
			id := fmt.Sprintf("a%07d%08d", round, i)
			wg.Go(func() {
				w.submit(id, job("900 1600", step{Count: 4, Cpu: 1600, MemMb: 64, EstRuntimeMs: 900}), clientDeadline, w.entries...)
			})
		}
		time.Sleep(150 * time.Millisecond)
		if trouble {
			w.log("%d tasks work at %s", w.activeOn(executor), executor.id)
			agent.kill()
			w.log("%s is killed", agent.name)
			var orders atomic.Int64
			executor.lateBy = 2 * time.Second
			executor.unanswered = func(string) bool { return orders.Add(1) == 1 }
			time.Sleep(300 * time.Millisecond)
			agent.launch()
		}
		wg.Wait()
		time.Sleep(5 * time.Second) // the late order, and a heartbeat
	}
}

// agentPause stops one agent while it sends the starts of a job, and lets it go on 3 s later.
func agentPause(w *world, trouble bool) {
	w.addEntry()
	w.addEntry()
	w.addAgent(16000)
	w.addAgent(16000)
	w.launchAll()
	for round := range 5 {
		agent, executor := w.agents[0], w.executors[0]
		id := fmt.Sprintf("b%07d%08d", round, 0)
		var once sync.Once
		var wg sync.WaitGroup
		executor.delay = time.Millisecond
		if trouble {
			executor.onStart = func(task string) {
				once.Do(func() {
					agent.signal(syscall.SIGSTOP)
					wg.Go(func() {
						time.Sleep(3 * time.Second)
						agent.signal(syscall.SIGCONT)
					})
				})
			}
		}
		w.submit(id, job("900 100", step{Count: 150, Cpu: 100, MemMb: 16, EstRuntimeMs: 900}), clientDeadline, w.entries...)
		wg.Wait()
		executor.onStart = func(string) {}
		time.Sleep(3 * time.Second)
	}
}

// cancelElsewhere cancels a job of twelve steps while it runs. The connection of the first
// request to cancel is reset before the request arrives, and the client sends it again to
// another node.
func cancelElsewhere(w *world, trouble bool) {
	w.addEntry()
	w.addEntry()
	w.addAgent(16000)
	w.addAgent(16000)
	w.launchAll()
	const cancelBound = 3 * time.Second
	for round := range 3 {
		id := fmt.Sprintf("c%07d%08d", round, 0)
		var steps []step
		for i := range 16 {
			s := step{Count: 2, Cpu: 1000, MemMb: 64, EstRuntimeMs: 400}
			if i > 0 {
				s.After = []int{i - 1}
			}
			steps = append(steps, s)
		}
		var wg sync.WaitGroup
		wg.Go(func() {
			w.call(w.entries[0].front, http.MethodPost, id, job("400 1000", steps...), 10*time.Second)
		})
		time.Sleep(600 * time.Millisecond)
		to := w.entries[0]
		if trouble {
			w.log("the connection for the first DELETE %s is reset before the request arrives; the next attempt goes to another node", id)
			to = w.entries[1]
		}
		status, _ := w.call(to.front, http.MethodDelete, id, nil, clientDeadline)
		acknowledged := w.now()
		wg.Wait()
		if status/100 != 2 && status != http.StatusGone {
			fail("the cancelling got %d", status)
		}
		w.mu.Lock()
		for _, r := range w.runs {
			if r.task[:16] == id && r.began > acknowledged+cancelBound {
				w.brokenLocked("UNASKED", "%s run %d begins %.3f s after the cancelling was acknowledged with %d", r.task, r.number, (r.began - acknowledged).Seconds(), status)
			}
		}
		w.mu.Unlock()
		time.Sleep(2 * time.Second)
	}
}
