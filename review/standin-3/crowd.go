package main

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// crowdConns is the number of connections that the crowd opens to each entry.
	crowdConns = 2050
	// crowdLeast is how many of them must stay open at each for the case to be played. An entry with MemoryMb
	// = 284 allows 1,999 connections.
	crowdLeast = 1000
	// crowdRunMs is how long a task of the crowd takes.
	crowdRunMs = 90000
	// crowdEstMs is how long its client says that it takes.
	crowdEstMs = 200000
)

// crowd lets clients that are not controlled hand in legal jobs, in one piece and one on each connection, and
// wait for the answers. The jobs are for executors of kind b, of which there is one, one after the other. Beside them
// sound clients hand in jobs for executors of kind a, which are idle, and try again as the pages say.
func crowd(s *setting) int {
	f, err := s.newFleet()
	if err != nil {
		return s.verdict(cannotRun, "the platform does not start: %v", err)
	}
	defer f.endAll()
	f.servers[3].setLabel("b")
	if err := f.startAll(); err != nil {
		return s.verdict(cannotRun, "the programs do not start: %v", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 80*time.Second)
	defer cancel()
	var open, answered atomic.Int64
	if s.trouble {
		s.record.line("crowd", "sends", crowdBody(), "X-Deadline-Ms", 900000, "connections-to-each-entry", crowdConns)
		for _, m := range f.entries {
			for range crowdConns {
				go f.wait(ctx, m, &open, &answered)
				time.Sleep(500 * time.Microsecond)
			}
		}
		time.Sleep(2 * time.Second)
		s.record.line("crowd", "open", open.Load(), "answered", answered.Load())
		if open.Load() < int64(len(f.entries))*crowdLeast {
			return s.verdict(cannotRun, "only %d connections of the crowd are open", open.Load())
		}
	}
	served := handInAll(ctx, f)
	s.record.line("crowd", "open", open.Load(), "answered", answered.Load())
	for _, m := range f.entries {
		s.record.line("readiness", "machine", m.name, "ready", f.ready(m, time.Second), "memory", m.peakMemory())
	}
	return s.judgeServed(served)
}

// crowdBody returns the job that each of the crowd hands in.
func crowdBody() string {
	return fmt.Sprintf(`{"Spec":"%d","BestEffort":true,"Steps":[{"Count":1,"Cpu":100,"MemMb":32768,"EstRuntimeMs":%d,"RequiredLabel":"b"}]}`, crowdRunMs, crowdEstMs)
}

// wait hands in one job of the crowd and waits for its answer.
func (f *fleet) wait(ctx context.Context, m *machine, open, answered *atomic.Int64) {
	conn, err := net.Dial("tcp", f.at(m.ip, frontOff))
	if err != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	body := crowdBody()
	_, err = fmt.Fprintf(conn, "POST %s%s HTTP/1.1\r\nHost: %s\r\nX-Deadline-Ms: 900000\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", prefix, newID(), host, len(body), body)
	if err != nil {
		return
	}
	open.Add(1)
	defer open.Add(-1)
	b := make([]byte, 1024)
	if n, err := conn.Read(b); err == nil && n > 0 {
		answered.Add(1)
		f.record.line("crowd-answer", "to", m.name, "status", strings.SplitN(string(b[:n]), "\r\n", 2)[0])
		return
	}
}
