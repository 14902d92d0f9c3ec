package guard

import (
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/internal/messenger"
)

// record is what the guard remembers of one submission.
type record struct {
	used      time.Time // used is the time of the last event; the window counts from it.
	running   []uint16  // running has the tasks that started and have not ended.
	ended     []messenger.TaskResult
	cancelled bool // cancelled bars every further start.
	settled   bool // settled means that the owner has the results.
}

// started reports whether the task was ever started.
func (r *record) started(index uint16) bool {
	if slices.Contains(r.running, index) {
		return true
	}
	return slices.ContainsFunc(r.ended, func(t messenger.TaskResult) bool { return t.Index == index })
}

func (r *record) start(now time.Time, index uint16) {
	r.used = now
	r.running = append(r.running, index)
}

func (r *record) end(now time.Time, result messenger.TaskResult) {
	r.used = now
	if i := slices.Index(r.running, result.Index); i >= 0 {
		r.running = slices.Delete(r.running, i, i+1)
	}
	if r.settled {
		result.Payload = nil
	}
	r.ended = append(r.ended, result)
}

// dropPayloads frees the results that the owner has.
func (r *record) dropPayloads() {
	r.settled = true
	for i := range r.ended {
		r.ended[i].Payload = nil
	}
}

func (r *record) startedTasks() []uint16 {
	out := slices.Clone(r.running)
	for _, t := range r.ended {
		out = append(out, t.Index)
	}
	slices.Sort(out)
	return out
}

// recordsOf returns the records of one partition in the order of their ids.
func (g *Guard) recordsOf(p identifier.Partition) []messenger.Record {
	var out []messenger.Record
	for id, r := range g.records {
		if id.Partition() != p {
			continue
		}
		out = append(out, messenger.Record{
			Submission: id,
			Cancelled:  r.cancelled,
			Running:    slices.Clone(r.running),
			Ended:      slices.Clone(r.ended),
		})
	}
	slices.SortFunc(out, func(a, b messenger.Record) int {
		return slices.Compare(a.Submission[:], b.Submission[:])
	})
	return out
}

// forget drops the records that no start can concern any more.
func (g *Guard) forget(now time.Time) {
	for id, r := range g.records {
		if len(r.running) == 0 && now.Sub(r.used) > g.limits.Window {
			delete(g.records, id)
		}
	}
}
