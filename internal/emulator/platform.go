// Package emulator has small stand-ins for what sardinelock meets outside: the
// platform's table service and object store, and an upstream that runs tasks.
//
// They serve development, tests and load experiments. Each speaks the real
// protocol over HTTP and can be made to misbehave in the ways that the real one
// does: down, slow, or losing an answer after the write has taken effect.
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

// Faults are the ways in which the platform misbehaves.
type Faults struct {
	Down            bool    `json:"down"`
	Latency         string  `json:"latency"` // Latency is added to each call, as a Go duration.
	LoseAnswerRatio float64 `json:"lose-answer-ratio"`
}

// Platform is the stand-in for the table service and the object store.
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

// NewPlatform returns an empty platform whose faults are drawn from the seed.
func NewPlatform(seed uint64, faults Faults) *Platform {
	return &Platform{
		faults:   faults,
		random:   rand.New(rand.NewPCG(seed, 1)),
		rows:     make(map[string]storer.Row),
		objects:  make(map[string][]byte),
		outcomes: make(map[string]storer.Outcome),
	}
}

// Handler serves the platform's API, and /faults to read and change the faults.
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

// Counts returns how many reads and writes of the table were asked for.
func (p *Platform) Counts() (reads, writes uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads, p.writes
}

// begin applies the faults that come before a call and reports whether to go on.
func (p *Platform) begin(w http.ResponseWriter) bool {
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

// loseAnswer ends the connection without an answer in the configured share of calls.
func (p *Platform) loseAnswer() {
	p.mu.Lock()
	lose := p.random.Float64() < p.faults.LoseAnswerRatio
	p.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
}

func (p *Platform) serveRead(w http.ResponseWriter, r *http.Request) {
	if !p.begin(w) {
		return
	}
	writeJSON(w, p.Read(r.URL.Query().Get("prefix")))
}

// Read returns the rows below a prefix.
func (p *Platform) Read(prefix string) storer.Range {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	out := storer.Range{Revision: p.revision}
	for _, key := range slices.Sorted(maps.Keys(p.rows)) {
		if strings.HasPrefix(key, prefix) {
			out.Rows = append(out.Rows, p.rows[key])
		}
	}
	return out
}

func (p *Platform) serveWrite(w http.ResponseWriter, r *http.Request) {
	if !p.begin(w) {
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
	out := p.Write(t)
	p.loseAnswer()
	writeJSON(w, out)
}

// Write applies a transaction, or returns the outcome of an earlier one with the
// same request id.
func (p *Platform) Write(t storer.Transaction) storer.Outcome {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.writes++
	if out, ok := p.outcomes[t.RequestID]; ok {
		return out
	}
	out := p.apply(t)
	p.outcomes[t.RequestID] = out
	return out
}

func (p *Platform) apply(t storer.Transaction) storer.Outcome {
	var out storer.Outcome
	for _, c := range t.Conditions {
		if row := p.rows[c.Key]; row.Revision != c.Revision {
			row.Key = c.Key
			out.Conflicts = append(out.Conflicts, row)
		}
	}
	if len(out.Conflicts) > 0 {
		return out
	}
	p.revision++
	for _, put := range t.Puts {
		p.rows[put.Key] = storer.Row{Key: put.Key, Value: put.Value, Revision: p.revision}
	}
	for _, key := range t.Deletes {
		delete(p.rows, key)
	}
	out.Applied = true
	out.Revision = p.revision
	return out
}

func (p *Platform) serveObjects(w http.ResponseWriter, r *http.Request) {
	if !p.begin(w) {
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
	if !p.begin(w) {
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
	if !p.begin(w) {
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
	// An error here means that the client has gone; there is nobody to tell.
	_ = json.NewEncoder(w).Encode(v)
}
