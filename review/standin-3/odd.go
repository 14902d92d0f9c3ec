package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// oddSeq is the Seq of the odd heartbeats. Those of the executors have reached some 10 by then.
const oddSeq = 1000

// odd sends one heartbeat of another writer to each agent: that of the executor there, but of a service that is
// named nowhere. The executors go on sending theirs. Sound clients hand in jobs.
func odd(s *setting) int {
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
	if s.trouble {
		for _, e := range f.servers {
			status, err := e.announce(ctx, http.DefaultClient, "zz9x", oddSeq)
			s.record.line("odd-heartbeat", "executor", e.id, "status", status, "error", err)
		}
		time.Sleep(contactMs * time.Millisecond)
	}
	served := handInAll(ctx, f)
	for _, e := range f.servers {
		e.mu.Lock()
		s.record.line("heartbeats", "executor", e.id, "acknowledged", fmt.Sprintf("%d of %d", e.beatsAcknowledged, e.beats))
		e.mu.Unlock()
	}
	return s.judgeServed(served)
}
