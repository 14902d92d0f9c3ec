package guard

import (
	"math/bits"
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// maxTasks bounds the task indexes that the guard accepts.
const maxTasks = submitter.MaxTasks

// taskSet is a set of task indexes below maxTasks.
type taskSet [(maxTasks + 63) / 64]uint64

func (s *taskSet) has(index uint16) bool { return s[index/64]&(1<<(index%64)) != 0 }

func (s *taskSet) add(index uint16) { s[index/64] |= 1 << (index % 64) }

// indexes returns the members in ascending order.
func (s *taskSet) indexes() []uint16 {
	var out []uint16
	for i, word := range s {
		for word != 0 {
			out = append(out, uint16(i*64+bits.TrailingZeros64(word)))
			word &= word - 1
		}
	}
	return out
}

// record is the state of one submission at the guard.
type record struct {
	lastUsed  time.Duration          // lastUsed is the agent's clock at the last event, from which the window counts.
	started   taskSet                // started has every task that has started.
	running   []uint16               // running has the tasks that started and have not ended.
	ended     []messenger.TaskResult // ended has the results; nil once settled.
	key       string                 // key is the request key of the first start.
	service   string                 // service is a string shared between records.
	digest    uint64
	cancelled bool // cancelled prevents every further start.
	acked     bool // acked is set once the owner has acknowledged the results.
	settled   bool // settled is set once the acknowledged results have been dropped.
}

func (r *record) start(clock time.Duration, index uint16) {
	r.lastUsed = clock
	r.started.add(index)
	r.running = append(r.running, index)
}

// end records the end of a task and returns the size of its result in bytes.
func (r *record) end(clock time.Duration, result messenger.TaskResult) int {
	r.lastUsed = clock
	if i := slices.Index(r.running, result.Index); i >= 0 {
		r.running = slices.Delete(r.running, i, i+1)
	}
	if r.settled {
		return 0
	}
	r.ended = append(r.ended, result)
	return resultBytes(&result)
}

// resultBytes returns the size of the results in bytes.
func (r *record) resultBytes() int {
	n := 0
	for i := range r.ended {
		n += resultBytes(&r.ended[i])
	}
	return n
}

// settle drops the results, which the owner has received, and returns the bytes
// freed.
func (r *record) settle() int {
	freed := r.resultBytes()
	r.ended = nil
	r.settled = true
	return freed
}

// message returns the record as an answer to a fence. A task that has ended and
// is settled is reported without its payload.
func (r *record) message(id messenger.Record) messenger.Record {
	id.Cancelled = r.cancelled
	id.Running = slices.Clone(r.running)
	id.Ended = slices.Clone(r.ended)
	id.RequestKey = r.key
	id.Digest = r.digest
	id.Service = r.service
	id.Settled = r.settled
	if r.settled {
		for _, index := range r.started.indexes() {
			if !slices.Contains(r.running, index) {
				id.Ended = append(id.Ended, messenger.TaskResult{Index: index, Kind: messenger.ResultDone})
			}
		}
	}
	return id
}
