// Package journaler writes a process's decisions as JSON lines.
//
// One goroutine writes the lines from a bounded queue, so that a slow or blocked
// standard output delays nothing else. Each event has a budget of lines per second.
// Lines over the budget, and lines that do not fit in the queue, are dropped and
// counted.
package journaler

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
)

const (
	// queueCapacity is the maximum number of lines waiting to be written.
	queueCapacity = 4096
	// linesPerSecond is the budget of each event. With some 10 events in use, the log
	// stays small enough for an on-call engineer to search.
	linesPerSecond = 200
)

// Journaler writes the lines of one process.
type Journaler struct {
	logger  log.Logger
	lines   chan []byte
	omitted atomic.Uint64
	stop    chan struct{}
	done    chan struct{}

	mu           sync.Mutex
	budgetSecond int64 // budgetSecond is the Unix time in seconds that written refers to.
	// written counts the lines of each event in budgetSecond, including dropped ones.
	written map[string]int
}

// New returns a journaler that writes to w until Close.
func New(level string, w io.Writer) *Journaler {
	j := &Journaler{
		lines:   make(chan []byte, queueCapacity),
		stop:    make(chan struct{}),
		done:    make(chan struct{}),
		written: make(map[string]int),
	}
	j.logger = log.Logger{
		Level:      log.ParseLevel(level),
		TimeFormat: time.RFC3339Nano,
		Writer:     &log.IOWriter{Writer: queueWriter{j}},
	}
	go j.write(w)
	return j
}

// queueWriter puts each line on the queue, or counts it as omitted if the queue is full.
type queueWriter struct{ j *Journaler }

func (q queueWriter) Write(line []byte) (int, error) {
	select {
	case q.j.lines <- append([]byte(nil), line...):
	default:
		q.j.omitted.Add(1)
	}
	return len(line), nil
}

func (j *Journaler) write(w io.Writer) {
	defer close(j.done)
	for {
		select {
		case line := <-j.lines:
			j.writeBatch(w, line)
		case <-j.stop:
			if len(j.lines) == 0 {
				return
			}
			j.writeBatch(w, <-j.lines)
		}
	}
}

func (j *Journaler) writeBatch(w io.Writer, batch []byte) {
	for range len(j.lines) {
		batch = append(batch, <-j.lines...)
	}
	if _, err := w.Write(batch); err != nil {
		// There is nowhere else to report the error.
		j.omitted.Add(1)
	}
}

// Line begins a line for an event. If the event's budget is used up, it returns nil, on
// which all methods do nothing.
func (j *Journaler) Line(event string) *log.Entry {
	if !j.takeBudget(event) {
		j.omitted.Add(1)
		return nil
	}
	return j.logger.Info().Str("event", event)
}

// Logger returns the logger for lines that are not subject to a budget.
func (j *Journaler) Logger() *log.Logger { return &j.logger }

// takeBudget reports whether the event's budget allows another line in this second,
// and counts the line.
func (j *Journaler) takeBudget(event string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if second := time.Now().Unix(); second != j.budgetSecond {
		j.budgetSecond = second
		clear(j.written)
	}
	j.written[event]++
	return j.written[event] <= linesPerSecond
}

// Omitted returns the number of lines that were dropped.
func (j *Journaler) Omitted() uint64 { return j.omitted.Load() }

// closeTimeout is how long Close waits for a blocked output.
const closeTimeout = 200 * time.Millisecond

// Close writes the queued lines. Lines logged afterwards may be lost.
func (j *Journaler) Close() {
	close(j.stop)
	select {
	case <-j.done:
	case <-time.After(closeTimeout):
	}
}
