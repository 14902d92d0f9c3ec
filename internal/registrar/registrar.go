// Package registrar keeps an entry's view of the rows that entries share in the
// platform's table, and makes the writes that change them.
//
// There are three kinds of rows: one for each entry, one for each partition with
// its owner and epoch, and one for each region with the roster of its agents. The
// registrar polls them cheaply: a read of a key that has no row is answered with
// the table's revision alone, and the rows are read only when it has moved. Since
// every write of the table moves the revision, an answer with the known one proves
// that all rows are as they are known. It has at most one write under way
// and reads the rows again after each, so that whoever proposes a write decides
// on rows that are current. A write whose outcome is unknown is resolved by that
// reading alone. The package does no I/O: calls are asked for in the output and
// their outcomes come in as events.
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
	// PollEvery is the period at which the table is looked at.
	PollInterval time.Duration
	// RetryEvery is the pause after a read that failed.
	RetryInterval time.Duration
}

// Rules has the checks that the safety of ownership rests on. Tests replace
// them one at a time to show that each is needed.
type Rules struct {
	// TrustUnknownWrite reports whether a write without an answer may be taken
	// as applied. It may not: only the rows tell.
	TrustUnknownWrite func() bool
}

// DefaultRules returns the rules of production.
func DefaultRules() Rules {
	return Rules{TrustUnknownWrite: func() bool { return false }}
}

// Read asks for the rows below a prefix.
type Read struct {
	ID     uint64
	Prefix string
}

// Write asks for a transaction.
type Write struct {
	ID          uint64
	Transaction storer.Transaction
}

// Output is what the entry has to do.
type Output struct {
	Reads  []Read
	Writes []Write
	// Changed says that some row differs from what was known before.
	Changed bool
}

// Registrar is one entry's view of the shared rows.
type Registrar struct {
	self   Entry
	limits Limits
	rules  Rules

	nextID   uint64
	reading  map[uint64]string
	writing  uint64             // writing is the write under way; 0 if there is none.
	pending  storer.Transaction // pending is the transaction of the write under way.
	stale    bool               // stale means that a write ended and the rows were not read since.
	endedAt  uint64             // endedAt is the last id given out when the latest write ended.
	polledAt time.Time
	readAt   time.Time // readAt is when the latest successful read was asked for.
	failing  bool      // failing means that the latest call had no answer.

	revision       uint64 // revision is that of the table when all rows were read.
	hint           uint64 // hint is the highest table revision that any source mentioned.
	entries        []Entry
	entryRevisions map[messenger.Peer]uint64
	partitions     [identifier.Partitions]Partition
	rosters        []RegionRoster
	// RequestID is the seam that names transactions.
	RequestID func() string
	out       Output
}

// New returns a registrar that knows no rows.
func New(self Entry, limits Limits, rules Rules) *Registrar {
	return &Registrar{
		self:           self,
		limits:         limits,
		rules:          rules,
		reading:        make(map[uint64]string),
		entryRevisions: make(map[messenger.Peer]uint64),
		RequestID:      storer.NewRequestID,
	}
}

// Known reports whether the rows were read at least once.
func (r *Registrar) Loaded() bool { return !r.readAt.IsZero() }

// Reachable reports whether the latest call of the platform had an answer.
func (r *Registrar) Reachable() bool { return r.Loaded() && !r.failing }

// ReadAt returns when the rows were last known to be current.
func (r *Registrar) ReadAt() time.Time { return r.readAt }

// Revision returns the revision of the rows that are known.
func (r *Registrar) Revision() uint64 { return r.revision }

// Idle reports whether a write may be proposed: the rows are known, none is
// under way, and the rows were read after the last one.
func (r *Registrar) Idle() bool { return r.Loaded() && r.writing == 0 && !r.stale }

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

// EntryCondition requires an entry's row to be as it is known.
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
// than the rows, they are read at once.
func (r *Registrar) Hint(now time.Time, revision uint64) {
	r.hint = max(r.hint, revision)
	if r.hint > r.revision && len(r.reading) == 0 && r.Loaded() {
		r.readAll(now)
	}
}

// Tick asks for the rows at each period.
func (r *Registrar) Tick(now time.Time) {
	period := r.limits.PollInterval
	if r.failing {
		period = r.limits.RetryInterval
	}
	if len(r.reading) > 0 || (!r.polledAt.IsZero() && now.Sub(r.polledAt) < period) {
		return
	}
	if !r.Loaded() || r.stale {
		r.readAll(now)
		return
	}
	r.read(now, revisionKey)
}

// Propose asks for a write. It must be called only while the registrar is idle.
func (r *Registrar) Propose(t storer.Transaction) {
	r.nextID++
	r.writing = r.nextID
	r.pending = t
	t.RequestID = r.RequestID()
	r.out.Writes = append(r.out.Writes, Write{ID: r.writing, Transaction: t})
}

// StoreRead applies the outcome of a read.
func (r *Registrar) StoreRead(now time.Time, id uint64, rows storer.Range, err error) {
	prefix, ok := r.reading[id]
	delete(r.reading, id)
	if !ok {
		return
	}
	r.failing = err != nil
	if err != nil || rows.Revision < r.revision {
		return
	}
	switch prefix {
	case allPrefix:
		if id > r.endedAt {
			r.stale = false
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
	if id != r.writing {
		return
	}
	r.writing = 0
	r.stale = true
	r.endedAt = r.nextID
	r.failing = err != nil
	if err != nil && r.rules.TrustUnknownWrite() {
		r.applyPuts(r.pending)
		r.stale = false
		return
	}
	r.hint = max(r.hint, o.Revision)
	if err == nil {
		r.readAll(now)
	}
}

// Take returns what is to be done and clears it.
func (r *Registrar) Take() Output {
	out := r.out
	r.out = Output{}
	return out
}

func (r *Registrar) readAll(now time.Time) { r.read(now, allPrefix) }

func (r *Registrar) read(now time.Time, prefix string) {
	r.polledAt = now
	r.nextID++
	r.reading[r.nextID] = prefix
	r.out.Reads = append(r.out.Reads, Read{ID: r.nextID, Prefix: prefix})
}

// applyAll replaces the rows by those that were read together.
func (r *Registrar) applyAll(rows storer.Range) {
	if rows.Revision == r.revision && r.Loaded() {
		return
	}
	r.revision = rows.Revision
	r.hint = max(r.hint, rows.Revision)
	r.entries = r.entries[:0]
	r.rosters = r.rosters[:0]
	clear(r.entryRevisions)
	for _, row := range rows.Rows {
		r.applyRow(row)
	}
	r.out.Changed = true
}

// applyRow applies one row. Rows that cannot be read are left out: what they say
// is then unknown, which lets nobody start anything.
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

// applyPuts takes a transaction as applied without having seen the rows.
func (r *Registrar) applyPuts(t storer.Transaction) {
	for _, put := range t.Puts {
		r.applyRow(storer.Row{Key: put.Key, Value: put.Value, Revision: r.revision})
	}
	r.out.Changed = true
}
