package journaler

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// blockedWriter blocks every write until open is closed.
type blockedWriter struct {
	open chan struct{}
	mu   sync.Mutex
	buf  bytes.Buffer
}

func (g *blockedWriter) Write(b []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.buf.Write(b)
}

// TestBlockedOutput checks that a blocked output does not delay callers, and that lines
// that do not fit in the queue are counted.
func TestBlockedOutput(t *testing.T) {
	g := &blockedWriter{open: make(chan struct{})}
	j := New("info", g)
	const lines = 3 * queueCapacity
	start := time.Now()
	for range lines {
		j.Logger().Info().Str("event", "busy").Msg("")
	}
	if took := time.Since(start); took > 5*time.Second {
		t.Errorf("%d lines took %v", lines, took)
	}
	// At most the queue, one batch and the line that began the batch are held.
	if j.Omitted() < lines-(2*queueCapacity+1) {
		t.Errorf("%d lines were dropped", j.Omitted())
	}
	close(g.open)
	j.Close()
	g.mu.Lock()
	defer g.mu.Unlock()
	written := uint64(strings.Count(g.buf.String(), "\n"))
	if diff := cmp.Diff(uint64(lines), written+j.Omitted()); diff != "" {
		t.Errorf("lines written or dropped (-want +got):\n%s", diff)
	}
}

// TestBudget checks that a frequent event does not use up the budget of another.
func TestBudget(t *testing.T) {
	var out bytes.Buffer
	j := New("info", &out)
	for range 10 * linesPerSecond {
		j.Line("often").Msg("")
	}
	j.Line("seldom").Str("job", "a").Msg("")
	j.Close()
	if frequent := strings.Count(out.String(), `"often"`); frequent > 2*linesPerSecond || frequent < linesPerSecond {
		t.Errorf("%d lines of one event, the budget is %d a second", frequent, linesPerSecond)
	}
	if !strings.Contains(out.String(), `"event":"seldom","job":"a"`) {
		t.Errorf("the other event is missing")
	}
}
