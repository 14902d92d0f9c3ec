// Package registrar maintains an entry's view of the rows that entries share in the
// platform's table, and makes the writes that change them.
//
// There are three kinds of rows: one for each entry, one for each partition with
// its owner and epoch, and one for each region with the roster of its agents. To
// poll cheaply, the registrar reads a key that has no row; the answer is only the
// table's revision. It reads the rows when the revision has changed. Since every
// write to the table changes the revision, an unchanged revision proves that all
// known rows are current.
//
// At most one write is in flight, and the rows are read again after each write, so
// that every proposed write is based on current rows. This read alone also resolves
// a write whose outcome is unknown. The package does no I/O: it requests calls in
// its output, and their outcomes are passed in as events.
package registrar

import (
	"encoding/json"
	"slices"
	"strings"
	"time"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/storer"
)

// Limits are the settings of a registrar.
type Limits struct {
	// PollInterval is the interval at which the table's revision is read.
	PollInterval time.Duration
	// RetryInterval is the interval between reads while they fail.
	RetryInterval time.Duration
}

// Rules holds the checks that the safety of ownership depends on. Tests replace
// them one at a time to show that each is needed.
type Rules struct {
	// TrustUnknownWrite reports whether a write without an answer counts as applied.
	// In production it does not: only a read of the rows shows the outcome.
	TrustUnknownWrite func() bool
}

// DefaultRules returns the rules used in production.
func DefaultRules() Rules {
	return Rules{TrustUnknownWrite: func() bool { return false }}
}

// Read requests the rows whose keys have a prefix.
type Read struct {
	ID     uint64
	Prefix string
}

// Write requests a transaction.
type Write struct {
	ID          uint64
	Transaction storer.Transaction
}

// Output holds the calls that the entry must make.
type Output struct {
	Reads  []Read
	Writes []Write
	// Changed is set if the rows were read at another revision than before; any of
	// them may differ.
	Changed bool
}

// Registrar is one entry's view of the shared rows.
type Registrar struct {
	self   Entry
	limits Limits
	rules  Rules

	nextID       uint64
	readPrefixes map[uint64]string
	writeID      uint64             // writeID is the id of the write in flight; 0 if there is none.
	pending      storer.Transaction // pending is the transaction of the write in flight.
	// needsRead is set from the end of a write until a later read of all rows.
	needsRead bool
	// lastIDBeforeRead is the last id in use when the latest write ended; only a read
	// with a later id clears needsRead.
	lastIDBeforeRead uint64
	polledAt         time.Time
	readAt           time.Time // readAt is when the latest successful read was requested.
	unreachable      bool      // unreachable is set while the latest call has failed.

	revision        uint64 // revision is the table's revision at which all rows were last read.
	highestRevision uint64 // highestRevision is the highest table revision seen from any source.
	entries         []Entry
	entryRevisions  map[messenger.Peer]uint64
	partitions      [identifier.Partitions]Partition
	rosters         []RegionRoster
	// RequestID returns the id of a new transaction. Tests may replace it.
	RequestID func() string
	out       Output
}

// New returns a registrar that knows no rows.
func New(self Entry, limits Limits, rules Rules) *Registrar {
	return &Registrar{
		self:           self,
		limits:         limits,
		rules:          rules,
		readPrefixes:   make(map[uint64]string),
		entryRevisions: make(map[messenger.Peer]uint64),
		RequestID:      storer.NewRequestID,
	}
}

// Loaded reports whether the rows were read at least once.
func (r *Registrar) Loaded() bool { return !r.readAt.IsZero() }

// Reachable reports whether the latest call to the platform succeeded.
func (r *Registrar) Reachable() bool { return r.Loaded() && !r.unreachable }

// ReadAt returns when the rows were last known to be current.
func (r *Registrar) ReadAt() time.Time { return r.readAt }

// Revision returns the table's revision of the known rows.
func (r *Registrar) Revision() uint64 { return r.revision }

// Idle reports whether a write may be proposed: the rows are known, no write is in
// flight, and the rows were read after the last write.
func (r *Registrar) Idle() bool { return r.Loaded() && r.writeID == 0 && !r.needsRead }

// Entries returns the entries in the order of their names.
func (r *Registrar) Entries() []Entry { return r.entries }

// Entry returns the row of an entry.
func (r *Registrar) Entry(peer messenger.Peer) (Entry, bool) {
	i, ok := slices.BinarySearchFunc(r.entries, peer, func(e Entry, p messenger.Peer) int {
		return strings.Compare(string(e.Peer), string(p))
	})
	if !ok {
		return Entry{}, false
	}
	return r.entries[i], true
}

// EntryCondition requires that an entry's row has not changed since it was read.
func (r *Registrar) EntryCondition(peer messenger.Peer) storer.Condition {
	return storer.Condition{Key: EntryKey(peer), Revision: r.entryRevisions[peer]}
}

// Partition returns the row of a partition.
func (r *Registrar) Partition(p identifier.Partition) Partition { return r.partitions[p] }

// Roster returns the roster of a region with the revision of its row; the zero
// value if there is none.
func (r *Registrar) Roster(region string) RegionRoster {
	for i := range r.rosters {
		if r.rosters[i].Region == region {
			return r.rosters[i]
		}
	}
	return RegionRoster{Region: region}
}

// Hint applies a table revision that another process has seen. If it is newer
// than the known rows, they are read immediately.
func (r *Registrar) Hint(now time.Time, revision uint64) {
	r.highestRevision = max(r.highestRevision, revision)
	if r.highestRevision > r.revision && len(r.readPrefixes) == 0 && r.Loaded() {
		r.readAll(now)
	}
}

// Tick requests a read once the poll interval, or the retry interval after a failure,
// has passed.
func (r *Registrar) Tick(now time.Time) {
	period := r.limits.PollInterval
	if r.unreachable {
		period = r.limits.RetryInterval
	}
	if len(r.readPrefixes) > 0 || (!r.polledAt.IsZero() && now.Sub(r.polledAt) < period) {
		return
	}
	if !r.Loaded() || r.needsRead {
		r.readAll(now)
		return
	}
	r.read(now, revisionKey)
}

// Propose requests a write. It must be called only while the registrar is idle.
func (r *Registrar) Propose(t storer.Transaction) {
	r.nextID++
	r.writeID = r.nextID
	r.pending = t
	t.RequestID = r.RequestID()
	r.out.Writes = append(r.out.Writes, Write{ID: r.writeID, Transaction: t})
}

// StoreRead applies the outcome of a read.
func (r *Registrar) StoreRead(now time.Time, id uint64, rows storer.Range, err error) {
	prefix, ok := r.readPrefixes[id]
	delete(r.readPrefixes, id)
	if !ok {
		return
	}
	r.unreachable = err != nil
	if err != nil || rows.Revision < r.revision {
		return
	}
	switch prefix {
	case allPrefix:
		if id > r.lastIDBeforeRead {
			r.needsRead = false
		}
		r.applyAll(rows)
		r.readAt = r.polledAt
	case revisionKey:
		if rows.Revision > r.revision {
			r.readAll(now)
			return
		}
		r.readAt = r.polledAt
	}
}

// StoreWritten applies the outcome of a write.
func (r *Registrar) StoreWritten(now time.Time, id uint64, o storer.Outcome, err error) {
	if id != r.writeID {
		return
	}
	r.writeID = 0
	r.needsRead = true
	r.lastIDBeforeRead = r.nextID
	r.unreachable = err != nil
	if err != nil && r.rules.TrustUnknownWrite() {
		r.applyPuts(r.pending)
		r.needsRead = false
		return
	}
	r.highestRevision = max(r.highestRevision, o.Revision)
	if err == nil {
		r.readAll(now)
	}
}

// Take returns the requested calls and clears them.
func (r *Registrar) Take() Output {
	out := r.out
	r.out = Output{}
	return out
}

func (r *Registrar) readAll(now time.Time) { r.read(now, allPrefix) }

func (r *Registrar) read(now time.Time, prefix string) {
	r.polledAt = now
	r.nextID++
	r.readPrefixes[r.nextID] = prefix
	r.out.Reads = append(r.out.Reads, Read{ID: r.nextID, Prefix: prefix})
}

// applyAll replaces the known rows by the result of one read.
func (r *Registrar) applyAll(rows storer.Range) {
	if rows.Revision == r.revision && r.Loaded() {
		return
	}
	r.revision = rows.Revision
	r.highestRevision = max(r.highestRevision, rows.Revision)
	r.entries = r.entries[:0]
	r.rosters = r.rosters[:0]
	clear(r.entryRevisions)
	for _, row := range rows.Rows {
		r.applyRow(row)
	}
	r.out.Changed = true
}

// applyRow applies one row. A row that cannot be decoded is skipped. This is safe: an
// entry starts no tasks because of a row that it does not know.
func (r *Registrar) applyRow(row storer.Row) {
	switch {
	case strings.HasPrefix(row.Key, entryPrefix):
		var e Entry
		if json.Unmarshal(row.Value, &e) == nil {
			r.entries = append(r.entries, e)
			r.entryRevisions[e.Peer] = row.Revision
		}
	case strings.HasPrefix(row.Key, partitionPrefix):
		p, ok := parsePartitionKey(row.Key)
		if !ok || row.Revision == r.partitions[p].Revision {
			return
		}
		var o Ownership
		if json.Unmarshal(row.Value, &o) == nil {
			r.partitions[p] = Partition{Ownership: o, Revision: row.Revision}
		}
	case strings.HasPrefix(row.Key, rosterPrefix):
		if roster, ok := readRoster(row); ok {
			r.rosters = append(r.rosters, roster)
		}
	}
}

// applyPuts applies a transaction to the known rows without reading them.
func (r *Registrar) applyPuts(t storer.Transaction) {
	for _, put := range t.Puts {
		r.applyRow(storer.Row{Key: put.Key, Value: put.Value, Revision: r.revision})
	}
	r.out.Changed = true
}
