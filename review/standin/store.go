package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store: tables of rows, conditional
// transactions and a feed. It keeps its whole history.
type store struct {
	mu      sync.Mutex
	rows    map[string]row // by table, part and key
	version uint64
	changed chan struct{}
}

type row struct {
	Table         string
	Part          string `json:"part"`
	Key           string
	Value         []byte
	SchemaVersion uint64
	Tombstone     bool `json:",omitempty"`
}

func (r row) id() string { return r.Table + "\x00" + r.Part + "\x00" + r.Key }

func newStore() *store { return &store{rows: map[string]row{}, changed: make(chan struct{})} }

func (s *store) put(table, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	r := row{Table: table, Key: key, Value: []byte(value), SchemaVersion: s.version}
	s.rows[r.id()] = r
	s.notify()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements the calls of the store that the system uses.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch r.URL.Path {
	case "/api/rows-get":
		s.mu.Lock()
		defer s.mu.Unlock()
		s.answer(w, func(o row) bool {
			return !o.Tombstone && o.Table == q.Get("Table") && o.Part == q.Get("part") && o.Key >= q.Get("From") && (q.Get("To") == "" || o.Key < q.Get("To"))
		}, func(a, b row) bool { return a.Key < b.Key })
	case "/api/rows-feed":
		after, _ := strconv.ParseUint(q.Get("After"), 10, 64)
		ms, _ := strconv.Atoi(q.Get("WaitMs"))
		s.feed(w, r, q.Get("Table"), after, time.Duration(ms)*time.Millisecond)
	case "/api/rows-tx":
		s.transact(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) answer(w http.ResponseWriter, selected func(row) bool, less func(a, b row) bool) {
	rows := []row{}
	for _, r := range s.rows {
		if selected(r) {
			rows = append(rows, r)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return less(rows[i], rows[j]) })
	_ = json.NewEncoder(w).Encode(map[string]any{"rows": rows, "HasMore": false, "SchemaVersion": s.version, "NowMs": time.Now().UnixMilli()})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request, table string, after uint64, wait time.Duration) {
	deadline := time.After(wait)
	newer := func(o row) bool { return o.Table == table && o.SchemaVersion > after }
	for {
		s.mu.Lock()
		found, changed := false, s.changed
		for _, o := range s.rows {
			found = found || newer(o)
		}
		s.mu.Unlock()
		expired := false
		if !found {
			select {
			case <-changed:
				continue
			case <-deadline:
				expired = true
			case <-r.Context().Done():
				return
			}
		}
		if found || expired {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.answer(w, newer, func(a, b row) bool { return a.SchemaVersion < b.SchemaVersion })
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct{ Expected, Puts, Remove []row }
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range t.Expected {
		if o, ok := s.rows[c.id()]; ok && !o.Tombstone && o.SchemaVersion != c.SchemaVersion || (!ok || o.Tombstone) && c.SchemaVersion != 0 {
			w.WriteHeader(http.StatusPreconditionFailed)
			_ = json.NewEncoder(w).Encode(map[string]any{"rows": []row{}})
			return
		}
	}
	s.version++
	for _, p := range t.Puts {
		p.SchemaVersion = s.version
		s.rows[p.id()] = p
	}
	for _, d := range t.Remove {
		d.SchemaVersion, d.Tombstone, d.Value = s.version, true, nil
		s.rows[d.id()] = d
	}
	s.notify()
	_ = json.NewEncoder(w).Encode(map[string]any{"SchemaVersion": s.version})
}
