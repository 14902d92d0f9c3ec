package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	clientDeadline = 1500 * time.Millisecond
	cancelBound    = 3 * time.Second // cancel_ms
)

// checkCancelled checks UNASKED: no task of the job starts later than cancel_ms after its
// cancelling was acknowledged.
func checkCancelled(w *world, id string, acknowledged time.Duration, status int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs {
		if r.task[:len(id)] == id && r.began > acknowledged+cancelBound {
			w.brokenLocked("UNASKED", "%s run %d begins %.3f s after the cancelling was acknowledged with %d", r.task, r.number, (r.began - acknowledged).Seconds(), status)
		}
	}
}

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
				w.submit(id, job("900 1600", step{Count: 4, CPU: 1600, MemMb: 64, EstRuntimeMs: 900}), clientDeadline, w.entries...)
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
			executor.onStart = func(string) {
				once.Do(func() {
					agent.signal(syscall.SIGSTOP)
					wg.Go(func() {
						time.Sleep(3 * time.Second)
						agent.signal(syscall.SIGCONT)
					})
				})
			}
		}
		w.submit(id, job("900 100", step{Count: 150, CPU: 100, MemMb: 16, EstRuntimeMs: 900}), clientDeadline, w.entries...)
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
	for round := range 3 {
		id := fmt.Sprintf("c%07d%08d", round, 0)
		var steps []step
		for i := range 16 {
			s := step{Count: 2, CPU: 1000, MemMb: 64, EstRuntimeMs: 400}
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
		checkCancelled(w, id, acknowledged, status)
		time.Sleep(2 * time.Second)
	}
}

// duplicateAfterCancel cancels a job while it runs. Seconds after the 2xx answers to the job
// and to its cancelling, the request that handed the job in arrives once more, at any node.
func duplicateAfterCancel(w *world, trouble bool) {
	w.addEntry()
	w.addEntry()
	w.addAgent(16000)
	w.addAgent(16000)
	w.launchAll()
	for round := range 4 {
		id := fmt.Sprintf("d%07d%08d", round, 0)
		body := job("900 1600", step{Count: 4, CPU: 1600, MemMb: 64, EstRuntimeMs: 900})
		var wg sync.WaitGroup
		wg.Go(func() { w.call(w.entries[0].front, http.MethodPost, id, body, clientDeadline) })
		time.Sleep(400 * time.Millisecond)
		status, _ := w.call(w.entries[0].front, http.MethodDelete, id, nil, clientDeadline)
		acknowledged := w.now()
		wg.Wait()
		if status != http.StatusOK {
			fail("the cancelling got %d", status)
		}
		time.Sleep(4 * time.Second)
		if trouble {
			w.log("the request for %s arrives once more", id)
			w.call(w.entries[round%2].front, http.MethodPost, id, body, clientDeadline)
		}
		checkCancelled(w, id, acknowledged, status)
		time.Sleep(time.Second)
	}
}

// refuse cuts one executor off for 2 s while it works: its address refuses connections and
// those that are open are reset. The executor runs on.
func refuse(w *world, trouble bool) {
	w.addEntry()
	w.addEntry()
	gates := make([]*gate, 3)
	for i := range gates {
		_, executor := w.addAgent(16000)
		gates[i] = newGate(executor.address)
		w.agents[i].changeSetting(executor.address, gates[i].address)
	}
	w.launchAll()
	for round := range 5 {
		executor := w.executors[round%len(gates)]
		var wg sync.WaitGroup
		for i := range 3 {
			id := fmt.Sprintf("e%07d%08d", round, i)
			wg.Go(func() {
				w.submit(id, job("900 1600", step{Count: 4, CPU: 1600, MemMb: 64, EstRuntimeMs: 900}), clientDeadline, w.entries...)
			})
		}
		time.Sleep(150 * time.Millisecond)
		if trouble {
			w.log("%s is cut off, with refused connections; %d tasks work there", executor.id, w.activeOn(executor))
			gates[round%len(gates)].close()
			time.Sleep(2 * time.Second)
			gates[round%len(gates)].open()
			w.log("%s is reached again", executor.id)
		}
		wg.Wait()
		time.Sleep(4 * time.Second)
	}
}
