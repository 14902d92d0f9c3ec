// Package journaler writes a process's decisions as JSON lines.
//
// One goroutine writes the lines from a bounded queue, so that a standard output
// that is slow or blocked delays nothing else. Each event has a budget a second;
// lines beyond it, and lines for which the queue has no place, are left out and
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
	// queueLines bounds the lines that wait to be written.
	queueLines = 4096
	// budgetLines is how many lines of one event are written a second: the size of a
	// log that an on-call engineer can still search, at some 10 events.
	budgetLines = 200
)

// Journaler writes the lines of one process.
type Journaler struct {
	logger log.Logger
	lines  chan []byte
	omit   atomic.Uint64
	stop   chan struct{}
	done   chan struct{}

	mu      sync.Mutex
	second  int64 // second is the one that the budgets are for.
	written map[string]int
}

// New returns a journaler that writes to w until Close.
func New(level string, w io.Writer) *Journaler {
	j := &Journaler{
		lines:   make(chan []byte, queueLines),
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

// queueWriter puts whole lines on the queue.
type queueWriter struct{ j *Journaler }

func (q queueWriter) Write(line []byte) (int, error) {
	select {
	case q.j.lines <- append([]byte(nil), line...):
	default:
		q.j.omit.Add(1)
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
		// There is no other place to report it.
		j.omit.Add(1)
	}
}

// Line begins the line of an event, or returns nil, which takes no fields, if the
// budget of the event is used up.
func (j *Journaler) Line(event string) *log.Entry {
	if !j.spend(event) {
		j.omit.Add(1)
		return nil
	}
	return j.logger.Info().Str("event", event)
}

// Logger returns the logger for lines without a budget.
func (j *Journaler) Logger() *log.Logger { return &j.logger }

func (j *Journaler) spend(event string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if second := time.Now().Unix(); second != j.second {
		j.second = second
		clear(j.written)
	}
	j.written[event]++
	return j.written[event] <= budgetLines
}

// Omitted returns how many lines were left out.
func (j *Journaler) Omitted() uint64 { return j.omit.Load() }

// closeTimeout is how long Close waits for an output that takes nothing.
const closeTimeout = 200 * time.Millisecond

// Close writes what is queued. Later lines may be lost.
func (j *Journaler) Close() {
	close(j.stop)
	select {
	case <-j.done:
	case <-time.After(closeTimeout):
	}
}
