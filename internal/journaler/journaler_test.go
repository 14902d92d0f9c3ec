package journaler

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// gate is an output that takes nothing until it is opened.
type gate struct {
	open chan struct{}
	mu   sync.Mutex
	buf  bytes.Buffer
}

func (g *gate) Write(b []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.buf.Write(b)
}

// TestBlockedOutput checks that an output that takes nothing delays no line, and that
// what has no place is counted.
func TestBlockedOutput(t *testing.T) {
	g := &gate{open: make(chan struct{})}
	j := New("info", g)
	const lines = 3 * queueLines
	begun := time.Now()
	for range lines {
		j.Logger().Info().Str("event", "busy").Msg("")
	}
	if took := time.Since(begun); took > 5*time.Second {
		t.Errorf("%d lines took %v", lines, took)
	}
	// The queue and one batch, with the line that began it, are held.
	if j.Omitted() < lines-(2*queueLines+1) {
		t.Errorf("%d lines were left out", j.Omitted())
	}
	close(g.open)
	j.Close()
	g.mu.Lock()
	defer g.mu.Unlock()
	written := uint64(strings.Count(g.buf.String(), "\n"))
	if diff := cmp.Diff(uint64(lines), written+j.Omitted()); diff != "" {
		t.Errorf("lines written or left out (-want +got):\n%s", diff)
	}
}

// TestBudget checks that one event does not crowd out another.
func TestBudget(t *testing.T) {
	var out bytes.Buffer
	j := New("info", &out)
	for range 10 * budgetLines {
		j.Line("often").Msg("")
	}
	j.Line("seldom").Str("job", "a").Msg("")
	j.Close()
	if often := strings.Count(out.String(), `"often"`); often > 2*budgetLines || often < budgetLines {
		t.Errorf("%d lines of one event, the budget is %d a second", often, budgetLines)
	}
	if !strings.Contains(out.String(), `"event":"seldom","job":"a"`) {
		t.Errorf("the other event is missing")
	}
}
