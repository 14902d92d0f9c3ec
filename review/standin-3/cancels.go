package main

import (
	"context"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// cancels hands in jobs, and cancels each right after its answer. In the middle one entry loses its power
// for good. From contactMs and ackMs after that on it counts the cancels that get no 2xx or 410 within ackMs,
// although clients try the entries that live in turn.
func cancels(s *setting) int {
	f, err := s.newFleet()
	if err != nil {
		return s.verdict(cannotRun, "the platform does not start: %v", err)
	}
	defer f.endAll()
	if err := f.startAll(); err != nil {
		return s.verdict(cannotRun, "the programs do not start: %v", err)
	}
	if s.trouble {
		lost := f.entries[0]
		for _, p := range f.proxies {
			s.record.line("power-off", "machine", lost.name, "at", p.self, "links", p.powerOff(lost.name))
		}
		lost.end(syscall.SIGKILL)
		s.record.line("power-off", "machine", lost.name)
	}
	time.Sleep((contactMs + ackMs) * time.Millisecond)
	c := newClient(f)
	living := f.entries[1:]
	var mu sync.Mutex
	var wg sync.WaitGroup
	accepted, without := 0, 0
	for n := range 40 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := newID()
			status, _ := c.submit(context.Background(), living[n%2], id, 60, []step{{Count: 2, CPU: 1600, MemMb: 64, EstRuntimeMs: 60}}, 5*time.Second)
			if status != http.StatusOK {
				return
			}
			time.Sleep(200 * time.Millisecond)
			acknowledged := c.cancel(living, n, id)
			mu.Lock()
			defer mu.Unlock()
			accepted++
			if !acknowledged {
				without++
				s.record.line("unacknowledged", "job", id)
			}
		}()
		time.Sleep(400 * time.Millisecond)
	}
	wg.Wait()
	if accepted < 20 {
		return s.verdict(cannotRun, "only %d of 40 jobs were accepted", accepted)
	}
	if without >= 3 && without*10 > accepted {
		return s.verdict(broken, "%d of %d cancels of accepted jobs had no 2xx or 410 within %d ms", without, accepted, ackMs)
	}
	return s.verdict(held, "%d of %d cancels of accepted jobs had no 2xx or 410 within %d ms", without, accepted, ackMs)
}

// cancel cancels a job at the entries in turn, until one acknowledges it or ackMs have passed. It reports
// whether one did.
func (c *client) cancel(entries []*machine, first int, id string) bool {
	end := time.Now().Add(ackMs * time.Millisecond)
	for n := first; time.Now().Before(end); n++ {
		status, _ := c.send(context.Background(), http.MethodDelete, entries[n%len(entries)], id, nil, time.Until(end))
		if status/100 == 2 || status == http.StatusGone {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}
