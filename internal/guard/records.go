package guard

import (
	"slices"
	"time"
	"unsafe"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
)

// Sizes in bytes that count against the memory limit. The size of a map entry
// includes its share of the map's free slots.
const (
	mapEntryBytes   = 72
	recordBytes     = int(unsafe.Sizeof(record{})) + int(unsafe.Sizeof(expiry{})) + mapEntryBytes + runningBytes
	runningBytes    = 16 // runningBytes is the smallest allocation behind record.running.
	taskResultBytes = int(unsafe.Sizeof(messenger.TaskResult{}))
)

// recordTable has the records of all partitions. Records expire from a queue
// ordered by time, so that expiry never scans the table.
type recordTable struct {
	limitBytes    int
	bytes         int // bytes is the size of the records, by the sizes above.
	partitions    [identifier.Partitions]map[identifier.Submission]*record
	count         int
	queue         []expiry // queue has one expiry per record, in order of time; the first head ones are done.
	head          int
	retained      []retainedResult  // retained lists the results that owners have acknowledged, oldest first.
	retainedBytes int               // retainedBytes is the size of the retained results.
	services      map[string]string // services interns the service names.
}

// expiry is the time at which a record must be checked for expiry.
type expiry struct {
	id identifier.Submission
	at time.Duration // at is on the agent's clock.
}

// retainedResult describes the results of a record that its owner has acknowledged.
type retainedResult struct {
	id    identifier.Submission
	until time.Duration // until is on the agent's clock.
	bytes int
}

func newRecordTable(limitBytes int) *recordTable {
	return &recordTable{limitBytes: limitBytes, services: make(map[string]string)}
}

func (t *recordTable) get(p identifier.Partition, id identifier.Submission) *record {
	return t.partitions[p][id]
}

// full reports whether more work would exceed the memory limit, given the size of
// the records in other tables. A new submission also needs a record.
func (t *recordTable) full(isNew bool, others int) bool {
	if isNew {
		others += recordBytes
	}
	return t.bytes+others > t.limitBytes
}

// add returns the record of a submission, creating it if there is none.
func (t *recordTable) add(clock, window time.Duration, id identifier.Submission) *record {
	p := id.Partition()
	if r := t.partitions[p][id]; r != nil {
		return r
	}
	if t.partitions[p] == nil {
		t.partitions[p] = make(map[identifier.Submission]*record)
	}
	r := &record{lastUsed: clock}
	t.partitions[p][id] = r
	t.count++
	t.bytes += recordBytes
	t.queue = append(t.queue, expiry{id: id, at: clock + window})
	return r
}

// setRequest stores the service, request key and digest of a start in its record,
// unless the record has them.
func (t *recordTable) setRequest(r *record, s *messenger.Start) {
	if r.service != "" {
		return
	}
	name, ok := t.services[s.Service]
	if !ok {
		name = s.Service
		t.services[name] = name
	}
	r.service = name
	r.key = s.RequestKey
	r.digest = s.Digest
	t.bytes += len(r.key)
}

// retain keeps the acknowledged results of a record until the given time.
func (t *recordTable) retain(id identifier.Submission, until time.Duration, bytes int) {
	t.retained = append(t.retained, retainedResult{id: id, until: until, bytes: bytes})
	t.retainedBytes += bytes
}

// releaseRetained drops the retained results whose time has passed, then the oldest
// ones while the total exceeds the limit.
func (t *recordTable) releaseRetained(clock time.Duration, limitBytes int) {
	n := 0
	for n < len(t.retained) && (t.retained[n].until <= clock || t.retainedBytes > limitBytes) {
		kept := t.retained[n]
		n++
		t.retainedBytes -= kept.bytes
		if r := t.get(kept.id.Partition(), kept.id); r != nil {
			t.bytes -= r.settle()
		}
	}
	t.retained = slices.Delete(t.retained, 0, n)
}

// expire drops the records that were not used within the window.
func (t *recordTable) expire(clock, window time.Duration) {
	for t.head < len(t.queue) && t.queue[t.head].at < clock {
		e := t.queue[t.head]
		t.head++
		p := e.id.Partition()
		r := t.partitions[p][e.id]
		switch {
		case len(r.running) > 0:
			t.queue = append(t.queue, expiry{id: e.id, at: clock + window})
		case r.lastUsed+window >= clock:
			t.queue = append(t.queue, expiry{id: e.id, at: clock + window})
		default:
			t.bytes -= recordBytes + len(r.key) + r.settle()
			t.count--
			delete(t.partitions[p], e.id)
		}
	}
	if t.head > len(t.queue)/2 {
		t.queue = append(t.queue[:0], t.queue[t.head:]...)
		t.head = 0
	}
}

// messages returns the records of one partition in the order of their ids.
func (t *recordTable) messages(p identifier.Partition, unsettledOnly bool) []messenger.Record {
	var out []messenger.Record
	for id, r := range t.partitions[p] {
		if unsettledOnly && r.acked && len(r.running) == 0 {
			continue
		}
		out = append(out, r.message(messenger.Record{Submission: id}))
	}
	slices.SortFunc(out, func(a, b messenger.Record) int {
		return slices.Compare(a.Submission[:], b.Submission[:])
	})
	return out
}

func resultBytes(r *messenger.TaskResult) int {
	return taskResultBytes + len(r.Payload) + len(r.Detail)
}
