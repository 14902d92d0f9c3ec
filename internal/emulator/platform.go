// Package emulator implements small emulators of the systems that sardinelock depends
// on: the platform's table service and object store, and an upstream that runs tasks.
//
// They are used for development, tests and load experiments. Each serves the real
// protocol over HTTP and can inject faults: it can be unavailable, slow, or lose an
// answer after the write has taken effect.
package emulator

import (
	"encoding/json"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"sardinelock.dev/sardinelock/internal/storer"
)

// Faults are the faults that the platform injects.
type Faults struct {
	Down            bool    `json:"down"`
	Latency         string  `json:"latency"` // Latency delays each call; it has the format of a Go duration.
	LoseAnswerRatio float64 `json:"lose-answer-ratio"`
}

// Platform emulates the table service and the object store.
type Platform struct {
	mu       sync.Mutex
	faults   Faults
	random   *rand.Rand
	revision uint64
	rows     map[string]storer.Row
	objects  map[string][]byte
	outcomes map[string]storer.Outcome
	reads    uint64
	writes   uint64
}

const maxRequestBytes = 64 << 20

// NewPlatform returns an empty platform. The seed determines which answers are lost.
func NewPlatform(seed uint64, faults Faults) *Platform {
	return &Platform{
		faults:   faults,
		random:   rand.New(rand.NewPCG(seed, 1)),
		rows:     make(map[string]storer.Row),
		objects:  make(map[string][]byte),
		outcomes: make(map[string]storer.Outcome),
	}
}

// Handler serves the platform's API, /faults to read and change the faults, and /counts
// to read the numbers of calls.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/table", p.serveRead)
	mux.HandleFunc("POST /v1/table/transactions", p.serveWrite)
	mux.HandleFunc("GET /v1/objects", p.serveObjects)
	mux.HandleFunc("GET /v1/objects/{key}", p.serveObject)
	mux.HandleFunc("PUT /v1/objects/{key}", p.servePutObject)
	mux.HandleFunc("GET /faults", p.serveFaults)
	mux.HandleFunc("PUT /faults", p.serveSetFaults)
	mux.HandleFunc("GET /counts", p.serveCounts)
	return mux
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Counts returns the numbers of table reads and writes that were requested.
func (p *Platform) Counts() (reads, writes uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads, p.writes
}

// applyFaults applies the faults that precede a call and reports whether the call may
// continue.
func (p *Platform) applyFaults(w http.ResponseWriter) bool {
	p.mu.Lock()
	faults := p.faults
	p.mu.Unlock()
	if latency, err := time.ParseDuration(faults.Latency); err == nil {
		time.Sleep(latency)
	}
	if faults.Down {
		http.Error(w, "the platform is down", http.StatusServiceUnavailable)
		return false
	}
	return true
}

// loseAnswer closes the connection without an answer for the configured share of calls.
func (p *Platform) loseAnswer() {
	p.mu.Lock()
	lose := p.random.Float64() < p.faults.LoseAnswerRatio
	p.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
}

func (p *Platform) serveRead(w http.ResponseWriter, r *http.Request) {
	if !p.applyFaults(w) {
		return
	}
	writeJSON(w, p.Read(r.URL.Query().Get("prefix")))
}

// Read returns the rows whose keys have a prefix.
func (p *Platform) Read(prefix string) storer.Range {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	rows := storer.Range{Revision: p.revision}
	for _, key := range slices.Sorted(maps.Keys(p.rows)) {
		if strings.HasPrefix(key, prefix) {
			rows.Rows = append(rows.Rows, p.rows[key])
		}
	}
	return rows
}

func (p *Platform) serveWrite(w http.ResponseWriter, r *http.Request) {
	if !p.applyFaults(w) {
		return
	}
	var t storer.Transaction
	if err := json.NewDecoder(io.LimitReader(r.Body, maxRequestBytes)).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if t.RequestID == "" {
		http.Error(w, "request-id is missing", http.StatusBadRequest)
		return
	}
	outcome := p.Write(t)
	p.loseAnswer()
	writeJSON(w, outcome)
}

// Write applies a transaction. It is idempotent: for a request ID that was used before,
// it returns the earlier outcome.
func (p *Platform) Write(t storer.Transaction) storer.Outcome {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writes++
	if outcome, ok := p.outcomes[t.RequestID]; ok {
		return outcome
	}
	outcome := p.apply(t)
	p.outcomes[t.RequestID] = outcome
	return outcome
}

func (p *Platform) apply(t storer.Transaction) storer.Outcome {
	var outcome storer.Outcome
	for _, c := range t.Conditions {
		if row := p.rows[c.Key]; row.Revision != c.Revision {
			row.Key = c.Key
			outcome.Conflicts = append(outcome.Conflicts, row)
		}
	}
	if len(outcome.Conflicts) > 0 {
		return outcome
	}
	p.revision++
	for _, put := range t.Puts {
		p.rows[put.Key] = storer.Row{Key: put.Key, Value: put.Value, Revision: p.revision}
	}
	for _, key := range t.Deletes {
		delete(p.rows, key)
	}
	outcome.Applied = true
	outcome.Revision = p.revision
	return outcome
}

func (p *Platform) serveObjects(w http.ResponseWriter, r *http.Request) {
	if !p.applyFaults(w) {
		return
	}
	prefix := r.URL.Query().Get("prefix")
	p.mu.Lock()
	defer p.mu.Unlock()
	keys := []string{}
	for _, key := range slices.Sorted(maps.Keys(p.objects)) {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	writeJSON(w, keys)
}

func (p *Platform) serveObject(w http.ResponseWriter, r *http.Request) {
	if !p.applyFaults(w) {
		return
	}
	p.mu.Lock()
	body, ok := p.objects[r.PathValue("key")]
	p.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	_, _ = w.Write(body)
}

func (p *Platform) servePutObject(w http.ResponseWriter, r *http.Request) {
	if !p.applyFaults(w) {
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	p.objects[r.PathValue("key")] = body
	p.mu.Unlock()
	p.loseAnswer()
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) serveFaults(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	writeJSON(w, p.faults)
}

func (p *Platform) serveSetFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if _, err := time.ParseDuration(f.Latency); f.Latency != "" && err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
	writeJSON(w, f)
}

func (p *Platform) serveCounts(w http.ResponseWriter, _ *http.Request) {
	reads, writes := p.Counts()
	writeJSON(w, struct {
		Reads  uint64 `json:"reads"`
		Writes uint64 `json:"writes"`
	}{reads, writes})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has disconnected, so it cannot be reported.
	_ = json.NewEncoder(w).Encode(v)
}
