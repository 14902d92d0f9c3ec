package main

import (
	"encoding/json"
	"net/http"
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
	SchemaVersion uint64 `json:"SchemaVersion,omitempty"`
	Tombstone     bool   `json:"Tombstone,omitempty"`
}

// store is a stand-in for the platform's store. It keeps all of its history.
type store struct {
	mu      sync.Mutex
	rows    map[[3]string]storeRow
	version uint64
	began   time.Time
	changed chan struct{}
}

func newStore() *store {
	return &store{rows: make(map[[3]string]storeRow), began: time.Now(), changed: make(chan struct{})}
}

// put writes a row for the operator.
func (s *store) put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(storeRow{Table: table, Key: key, Value: value})
}

func (s *store) set(r storeRow) {
	r.SchemaVersion = s.version
	s.rows[[3]string{r.Table, r.Part, r.Key}] = r
	close(s.changed)
	s.changed = make(chan struct{})
}

// selected returns the rows of a table, ordered by key, for which holds returns true.
func (s *store) selected(table, part string, holds func(storeRow) bool) []storeRow {
	rows := []storeRow{}
	for k, r := range s.rows {
		if k[0] == table && k[1] == part && holds(r) {
			rows = append(rows, r)
		}
	}
	sortRows(rows)
	return rows
}

func sortRows(rows []storeRow) {
	for i := range rows {
		for j := i; j > 0 && rows[j].Key < rows[j-1].Key; j-- {
			rows[j], rows[j-1] = rows[j-1], rows[j]
		}
	}
}

func (s *store) answer(w http.ResponseWriter, status int, rows []storeRow) {
	body := map[string]any{"SchemaVersion": s.version, "NowMs": time.Since(s.began).Milliseconds(), "HasMore": false}
	if rows != nil {
		body["rows"] = rows
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// ServeHTTP serves the calls on rows.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	q := r.URL.Query()
	switch r.URL.Path {
	case "/api/rows-get":
		s.answer(w, http.StatusOK, s.selected(q.Get("Table"), q.Get("part"), func(o storeRow) bool {
			return !o.Tombstone && o.Key >= q.Get("From") && (q.Get("To") == "" || o.Key < q.Get("To"))
		}))
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
	ms, _ := strconv.Atoi(q.Get("WaitMs"))
	end := time.After(time.Duration(ms) * time.Millisecond)
	for {
		rows := s.selected(q.Get("Table"), q.Get("part"), func(o storeRow) bool { return o.SchemaVersion > after })
		if len(rows) > 0 {
			s.answer(w, http.StatusOK, rows)
			return
		}
		changed, ended := s.changed, false
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			ended = true
		case <-r.Context().Done():
			ended = true
		}
		s.mu.Lock()
		if ended {
			s.answer(w, http.StatusOK, rows)
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
	for _, c := range t.Expected {
		o := s.rows[[3]string{c.Table, c.Part, c.Key}]
		current := o.SchemaVersion
		if o.Tombstone {
			current = 0
		}
		if current != c.SchemaVersion {
			s.answer(w, http.StatusPreconditionFailed, []storeRow{})
			return
		}
	}
	s.version++
	for _, p := range t.Puts {
		s.set(storeRow{Table: p.Table, Part: p.Part, Key: p.Key, Value: p.Value})
	}
	for _, d := range t.Remove {
		s.set(storeRow{Table: d.Table, Part: d.Part, Key: d.Key, Tombstone: true})
	}
	s.answer(w, http.StatusOK, nil)
}
