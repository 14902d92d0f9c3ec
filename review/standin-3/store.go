package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storeRow is a row of the platform's store.
type storeRow struct {
	Table         string `json:"Table"`
	Part          string `json:"part"`
	Key           string `json:"Key"`
	Value         []byte `json:"Value,omitempty"`
	SchemaVersion uint64 `json:"SchemaVersion"`
	Tombstone     bool   `json:"Tombstone,omitempty"`
}

// store is a stand-in for the platform's store: linearizable, never down.
type store struct {
	mu       sync.Mutex
	rows     map[[3]string]storeRow
	revision uint64
	changed  chan struct{}
	began    time.Time
}

func newStore() *store {
	return &store{rows: make(map[[3]string]storeRow), changed: make(chan struct{}), began: time.Now()}
}

// put writes a row as the operator does.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(storeRow{Table: table, Key: key, Value: value})
}

// write stores a row at the current revision.
func (s *store) write(r storeRow) {
	r.SchemaVersion = s.revision
	s.rows[[3]string{r.Table, r.Part, r.Key}] = r
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) selected(keep func(storeRow) bool, less func(x, y storeRow) bool) []storeRow {
	rows := []storeRow{}
	for _, r := range s.rows {
		if keep(r) {
			rows = append(rows, r)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return less(rows[i], rows[j]) })
	return rows
}

// answer answers with rows. The lock is held.
func (s *store) answer(w http.ResponseWriter, status int, rows []storeRow) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"rows": rows, "HasMore": false, "SchemaVersion": s.revision, "NowMs": time.Since(s.began).Milliseconds(),
	})
}

// ServeHTTP serves the calls that the project makes.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	q := r.URL.Query()
	switch r.URL.Path {
	case "/api/rows-get":
		s.mu.Lock()
		defer s.mu.Unlock()
		rows := s.selected(func(o storeRow) bool {
			return !o.Tombstone && o.Table == q.Get("Table") && o.Part == q.Get("part") && o.Key >= q.Get("From") &&
				(q.Get("To") == "" || o.Key < q.Get("To"))
		}, func(x, y storeRow) bool { return x.Key < y.Key })
		s.answer(w, http.StatusOK, rows)
	case "/api/rows-feed":
		s.feed(w, r)
	case "/api/rows-tx":
		s.transact(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("After"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for ended := false; ; {
		s.mu.Lock()
		rows := s.selected(func(o storeRow) bool { return o.Table == q.Get("Table") && o.SchemaVersion > after },
			func(x, y storeRow) bool { return x.SchemaVersion < y.SchemaVersion })
		if len(rows) > 0 || ended {
			s.answer(w, http.StatusOK, rows)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			ended = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct{ Expected, Puts, Remove []storeRow }
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.Expected {
		have := s.rows[[3]string{e.Table, e.Part, e.Key}]
		if have.Tombstone {
			have.SchemaVersion = 0
		}
		if have.SchemaVersion != e.SchemaVersion {
			s.answer(w, http.StatusPreconditionFailed, nil)
			return
		}
	}
	s.revision++
	for _, p := range t.Puts {
		s.write(p)
	}
	for _, d := range t.Remove {
		d.Tombstone = true
		s.write(d)
	}
	s.answer(w, http.StatusOK, nil)
}
