package replayer

import (
	"fmt"
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/runner"
)

// service is the one that all jobs are for.
const service = "orders"

// upstream is a model of an upstream that is driven by starts, stops and a lease. It
// starts whatever it is told to.
type upstream struct {
	world    *world
	index    int
	life     runner.Incarnation
	capacity messenger.Resources
	rack     string
	speed    float64 // speed is the run time of a task by that on other upstreams.
	runs     map[messenger.TaskRef]*run
	ended    []runner.RunEnd
	number   int64 // number is that of the latest end.
	highest  map[messenger.TaskRef]uint64
	fence    int // fence is the highest life of an agent that was seen.
	lease    time.Duration
	polls    []func()
	down     bool
	leaving  bool
	cut      bool // cut means that no call reaches it, while what runs goes on.
	hangs    bool
	failing  float64 // failing is the share of tasks that fail at once.
	late     float64 // late is the share of orders that are carried out late and without an answer.
}

type run struct {
	ref   messenger.TaskRef
	run   uint64
	room  messenger.Resources
	begun time.Duration
	takes time.Duration
	hangs bool
	over  bool
}

func newUpstream(w *world, index int) *upstream {
	u := &upstream{world: w, index: index, speed: 1, rack: fmt.Sprintf("rack-%d", index/3)}
	cpu := int64(16000)
	if index%3 == 2 {
		cpu = 24000
	}
	u.capacity = messenger.Resources{MilliCPU: cpu, MemoryBytes: 32 << 30}
	u.begin()
	return u
}

func (u *upstream) begin() {
	u.life = runner.Incarnation{ID: fmt.Sprintf("upstream-%d-%d", u.index, u.life.Number+1), Number: u.life.Number + 1}
	u.runs = make(map[messenger.TaskRef]*run)
	u.highest = make(map[messenger.TaskRef]uint64)
	u.ended, u.polls = nil, nil
	u.fence, u.lease, u.number = 0, 0, 0
	u.down, u.leaving = false, false
}

func (u *upstream) crash() {
	for _, r := range u.runs {
		u.gone(r)
	}
	u.begin()
	u.down = true
}

// order carries out a call, now or late and without an answer.
func (u *upstream) order(do func(lost bool)) {
	if u.down || u.cut {
		return
	}
	if u.world.random.Float64() < u.late {
		u.world.after(2*time.Second+time.Duration(u.world.random.Int64N(int64(10*time.Second))), func() {
			if !u.down {
				do(true)
			}
		})
		return
	}
	u.world.after(localDelay, func() {
		if !u.down {
			do(false)
		}
	})
}

func (u *upstream) fenced(agent int) bool {
	u.fence = max(u.fence, agent)
	return agent < u.fence
}

func (u *upstream) start(c runner.StartCall, agent int, deadline time.Duration) runner.Answer {
	switch {
	case u.fenced(agent):
		return runner.AnswerRefused
	case c.Incarnation.ID != u.life.ID:
		return runner.AnswerOtherIncarnation
	case u.runs[c.Task] != nil && u.runs[c.Task].run == c.Run:
		return runner.AnswerStarted
	case c.Run <= u.highest[c.Task]:
		return runner.AnswerStaleRun
	case deadline < u.world.now:
		return runner.AnswerRefused
	}
	call := u.world.jobs[c.Task.Job]
	u.extend(deadline)
	u.highest[c.Task] = c.Run
	r := &run{ref: c.Task, run: c.Run, room: call.room, begun: u.world.now, hangs: u.hangs}
	r.takes = time.Duration(float64(call.takes[c.Task.Index]) * u.speed)
	u.runs[c.Task] = r
	u.world.started(u, r)
	switch {
	case u.world.random.Float64() < u.failing || call.hopeless:
		u.world.after(min(r.takes, 10*time.Millisecond), func() { u.end(r, messenger.EndFailed) })
	case !r.hangs:
		u.world.after(r.takes, func() { u.end(r, messenger.EndDone) })
	}
	return runner.AnswerStarted
}

func (u *upstream) stop(c runner.StopCall, agent int) bool {
	if u.fenced(agent) || c.Incarnation.ID != "" && c.Incarnation.ID != u.life.ID {
		return true
	}
	u.highest[c.Task] = max(u.highest[c.Task], c.Run)
	if r := u.runs[c.Task]; r != nil && r.run <= c.Run {
		u.world.after(30*time.Millisecond, func() { u.end(r, messenger.EndWithdrawn) })
	}
	return true
}

// extend renews the lease, which ends everything when it lapses.
func (u *upstream) extend(to time.Duration) {
	if to <= u.lease {
		return
	}
	u.lease = to
	life := u.life
	u.world.at(to+time.Millisecond, func() {
		if u.life != life || u.lease > u.world.now {
			return
		}
		for _, r := range u.sorted() {
			u.end(r, messenger.EndLost)
		}
	})
}

func (u *upstream) sorted() []*run {
	var runs []*run
	for _, r := range u.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(x, y *run) int { return x.ref.Compare(y.ref) })
	return runs
}

func (u *upstream) hold(q runner.PollRequest, agent int, answer func(runner.Listing)) {
	if u.fenced(agent) {
		return
	}
	if q.LeaseUntil > 0 {
		u.extend(q.LeaseUntil)
	}
	u.ended = slices.DeleteFunc(u.ended, func(e runner.RunEnd) bool { return e.Number <= q.LastEnd && q.Incarnation.Number == u.life.Number })
	answered := false
	life := u.life
	reply := func() {
		if !answered && u.life == life && !u.cut {
			answered = true
			answer(u.listing())
		}
	}
	if len(u.ended) > 0 {
		reply()
		return
	}
	u.polls = append(u.polls, reply)
	u.world.after(askFor, reply)
}

func (u *upstream) listing() runner.Listing {
	l := runner.Listing{Incarnation: runner.Incarnation{Number: u.life.Number}, Ended: slices.Clone(u.ended)}
	for _, r := range u.sorted() {
		percent := 0
		if !r.hangs && r.takes > 0 {
			percent = int(100 * (u.world.now - r.begun) / r.takes)
		}
		l.Running = append(l.Running, runner.Run{Task: r.ref, Run: r.run, Percent: percent})
	}
	return l
}

func (u *upstream) end(r *run, kind messenger.EndKind) {
	if r.over {
		return
	}
	u.gone(r)
	u.number++
	u.ended = append(u.ended, runner.RunEnd{Number: u.number, Task: r.ref, Run: r.run, Kind: kind})
	polls := u.polls
	u.polls = nil
	for _, reply := range polls {
		reply()
	}
}

func (u *upstream) gone(r *run) {
	r.over = true
	delete(u.runs, r.ref)
	u.world.stopped(r)
}
