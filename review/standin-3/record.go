package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the milliseconds since the start.
type record struct {
	mu    sync.Mutex
	f     *os.File
	began time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{f: f, began: time.Now()}, err
}

// line writes one line: a word, and pairs of names and values.
func (r *record) line(what string, pairs ...any) {
	var b strings.Builder
	fmt.Fprintf(&b, "%8d %s", time.Since(r.began).Milliseconds(), what)
	for i := 0; i+1 < len(pairs); i += 2 {
		fmt.Fprintf(&b, " %v=%v", pairs[i], pairs[i+1])
	}
	b.WriteByte('\n')
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.f.WriteString(b.String())
}
