// Package leaser decides which entry owns which partition.
//
// A partition's row in the platform's table names its owner and an epoch that
// grows with every change of owner. A leaser reads the rows, claims partitions
// by conditional writes, and says for each partition who owns it and whether this
// entry may start tasks of it now. The package does no I/O: calls of the platform
// are asked for in the output and their outcomes come in as events.
package leaser

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/storer"
)

// Prefixes of the rows in the table.
const (
	entryPrefix     = "entries/"
	partitionPrefix = "partitions/"
)

// Limits are the settings of a leaser.
type Limits struct {
	// PollEvery is the period at which the rows are read.
	PollEvery time.Duration
}

// Self is what this entry says about itself.
type Self struct {
	Peer       messenger.Peer `json:"peer"`
	Region     string         `json:"region"`
	DataCentre string         `json:"data-centre"`
	PeerAddr   netip.AddrPort `json:"peer-address"`
}

// ownership is the value of a partition's row.
type ownership struct {
	Owner  messenger.Peer `json:"owner"`
	Epoch  uint64         `json:"epoch"`
	Region string         `json:"region"`
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
	// Gained are partitions that this entry has come to own.
	Gained []messenger.PartitionEpoch
	// Lost are partitions that this entry owns no more.
	Lost []messenger.PartitionEpoch
}

// Leaser is what one entry knows about ownership.
type Leaser struct {
	self     Self
	limits   Limits
	nextID   uint64
	polledAt time.Time
	reads    map[uint64]string // reads has the prefixes of reads under way.
	claiming uint64            // claiming is the write under way; 0 if there is none.
	joined   bool              // joined means that the row of this entry is written.
	owners   [identifier.Partitions]partition
	entries  map[messenger.Peer]Self
	// RequestID is the seam that names transactions.
	RequestID func() string
	out       Output
}

type partition struct {
	ownership
	revision uint64 // revision of the row; 0 if it is absent.
}

// New returns a leaser that knows no rows yet.
func New(self Self, limits Limits) *Leaser {
	return &Leaser{
		self:      self,
		limits:    limits,
		reads:     make(map[uint64]string),
		entries:   make(map[messenger.Peer]Self),
		RequestID: storer.NewRequestID,
	}
}

// Owner returns the owner of a partition and its epoch, as far as is known.
func (l *Leaser) Owner(p identifier.Partition) (messenger.Peer, uint64) {
	return l.owners[p].Owner, l.owners[p].Epoch
}

// Owns reports whether this entry owns the partition and may start its tasks.
func (l *Leaser) Owns(p identifier.Partition) bool {
	return l.owners[p].Owner == l.self.Peer
}

// Owned returns the partitions that this entry owns.
func (l *Leaser) Owned() []messenger.PartitionEpoch {
	var out []messenger.PartitionEpoch
	for p := range l.owners {
		if l.owners[p].Owner == l.self.Peer {
			out = append(out, messenger.PartitionEpoch{
				Partition: identifier.Partition(p),
				Epoch:     l.owners[p].Epoch,
			})
		}
	}
	return out
}

// Entries returns the entries that are known, this one included.
func (l *Leaser) Entries() []messenger.EntryAddr {
	var out []messenger.EntryAddr
	for _, e := range l.entries {
		out = append(out, messenger.EntryAddr{Peer: e.Peer, Addr: e.PeerAddr})
	}
	return out
}

// Tick asks for the rows at each period.
func (l *Leaser) Tick(now time.Time) {
	if now.Sub(l.polledAt) < l.limits.PollEvery {
		return
	}
	l.polledAt = now
	if !l.joined {
		l.join()
	}
	l.read(entryPrefix)
	l.read(partitionPrefix)
}

// StoreRead applies the outcome of a read.
func (l *Leaser) StoreRead(_ time.Time, id uint64, r storer.Range, err error) {
	prefix := l.reads[id]
	delete(l.reads, id)
	if err != nil {
		return
	}
	switch prefix {
	case entryPrefix:
		l.applyEntries(r)
	case partitionPrefix:
		l.applyPartitions(r)
		l.claim()
	}
}

// StoreWritten applies the outcome of a write.
func (l *Leaser) StoreWritten(_ time.Time, id uint64, o storer.Outcome, err error) {
	if id == l.claiming {
		l.claiming = 0
	}
	if err != nil {
		return
	}
	if o.Applied {
		l.joined = true
	}
	l.read(partitionPrefix)
}

// Take returns what is to be done and clears it.
func (l *Leaser) Take() Output {
	out := l.out
	l.out = Output{}
	return out
}

func (l *Leaser) join() {
	l.write(storer.Transaction{
		RequestID: l.RequestID(),
		Puts:      []storer.Put{{Key: entryPrefix + string(l.self.Peer), Value: encode(l.self)}},
	})
}

// claim asks for the partitions that nobody owns.
func (l *Leaser) claim() {
	if l.claiming != 0 {
		return
	}
	t := storer.Transaction{RequestID: l.RequestID()}
	for p := range l.owners {
		if l.owners[p].Owner != "" {
			continue
		}
		key := partitionKey(identifier.Partition(p))
		t.Conditions = append(t.Conditions, storer.Condition{Key: key, Revision: l.owners[p].revision})
		t.Puts = append(t.Puts, storer.Put{Key: key, Value: encode(ownership{
			Owner:  l.self.Peer,
			Epoch:  l.owners[p].Epoch + 1,
			Region: l.self.Region,
		})})
	}
	if len(t.Puts) > 0 {
		l.claiming = l.write(t)
	}
}

func (l *Leaser) applyEntries(r storer.Range) {
	clear(l.entries)
	for _, row := range r.Rows {
		var e Self
		if json.Unmarshal(row.Value, &e) == nil {
			l.entries[e.Peer] = e
		}
	}
}

func (l *Leaser) applyPartitions(r storer.Range) {
	for _, row := range r.Rows {
		var p int
		if _, err := fmt.Sscanf(strings.TrimPrefix(row.Key, partitionPrefix), "%d", &p); err != nil {
			continue
		}
		var o ownership
		if p < 0 || p >= identifier.Partitions || json.Unmarshal(row.Value, &o) != nil {
			continue
		}
		l.setOwner(identifier.Partition(p), o, row.Revision)
	}
}

// setOwner replaces what is known of a partition unless it is older.
func (l *Leaser) setOwner(p identifier.Partition, o ownership, revision uint64) {
	before := l.owners[p]
	if revision <= before.revision {
		return
	}
	l.owners[p] = partition{ownership: o, revision: revision}
	was, is := before.Owner == l.self.Peer, o.Owner == l.self.Peer
	if is && o.Epoch != before.Epoch {
		l.out.Gained = append(l.out.Gained, messenger.PartitionEpoch{Partition: p, Epoch: o.Epoch})
	}
	if was && !is {
		l.out.Lost = append(l.out.Lost, messenger.PartitionEpoch{Partition: p, Epoch: before.Epoch})
	}
}

func (l *Leaser) read(prefix string) {
	l.nextID++
	l.reads[l.nextID] = prefix
	l.out.Reads = append(l.out.Reads, Read{ID: l.nextID, Prefix: prefix})
}

func (l *Leaser) write(t storer.Transaction) uint64 {
	l.nextID++
	l.out.Writes = append(l.out.Writes, Write{ID: l.nextID, Transaction: t})
	return l.nextID
}

func partitionKey(p identifier.Partition) string {
	return fmt.Sprintf("%s%03d", partitionPrefix, p)
}

// encode marshals a type of this package, which cannot fail.
func encode(v any) json.RawMessage {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
