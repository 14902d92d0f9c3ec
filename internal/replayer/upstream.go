package replayer

import (
	"fmt"
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/runner"
)

// service is the service of all jobs.
const service = "orders"

// upstream models an upstream that is controlled by start calls, stop calls and a lease.
// It starts every task it is asked to, even beyond its capacity.
type upstream struct {
	world         *world
	index         int
	incarnation   runner.Incarnation
	capacity      messenger.Resources
	announced     messenger.Resources // announced is the capacity that the agent was last told.
	rack          string
	slowdown      float64 // slowdown is the run time of a task relative to healthy upstreams.
	runs          map[messenger.TaskRef]*run
	unackedEnds   []runner.RunEnd
	lastEndNumber int64 // lastEndNumber is the number of the latest end in unackedEnds.
	highestRun    map[messenger.TaskRef]uint64
	highestAgent  int // highestAgent is the highest agent incarnation seen; lower ones are fenced.
	leaseUntil    time.Duration
	waitingPolls  []func()
	// connectionsBroken tells the agent that its poll has failed since the upstream is down.
	// announce announces the upstream to the agent.
	connectionsBroken, announce func()
	down                        bool
	silent                      bool // While down, a silent upstream leaves calls unanswered; any other refuses them.
	leaving                     bool
	coldUntil                   time.Duration // coldUntil is when the upstream is warm after an evacuation.
	unreachable                 bool          // While unreachable, the upstream receives no call, but its tasks continue.
	hanging                     bool
	failRatio                   float64 // failRatio is the share of tasks that fail immediately.
	lateRatio                   float64 // lateRatio is the share of calls that take effect late and get no answer.
	lateStartRatio              float64 // lateStartRatio is the same for starts alone.
	speed                       float64 // speed is that of the machine; the run times of jobs are for a speed of 1.
}

type run struct {
	ref       messenger.TaskRef
	number    uint64
	resources messenger.Resources
	startedAt time.Duration
	runTime   time.Duration
	hangs     bool
	ended     bool
}

func newUpstream(w *world, index int) *upstream {
	u := &upstream{world: w, index: index, slowdown: 1, rack: fmt.Sprintf("rack-%d", index/rackSize)}
	u.speed = w.speed(index)
	u.capacity = messenger.Resources{MilliCPU: int64(w.size(index) * 16000), MemoryBytes: 32 << 30}
	u.reset()
	return u
}

func (u *upstream) reset() {
	u.incarnation = runner.Incarnation{ID: fmt.Sprintf("upstream-%d-%d", u.index, u.incarnation.Number+1), Number: u.incarnation.Number + 1}
	u.runs = make(map[messenger.TaskRef]*run)
	u.highestRun = make(map[messenger.TaskRef]uint64)
	u.unackedEnds, u.waitingPolls = nil, nil
	u.highestAgent, u.leaseUntil, u.lastEndNumber = 0, 0, 0
	u.down, u.leaving, u.silent = false, false, false
}

func (u *upstream) crash() {
	for _, r := range u.runs {
		u.remove(r)
	}
	u.reset()
	u.down = true
}

// refuses reports whether the upstream refuses connections.
func (u *upstream) refuses() bool { return u.down && !u.silent }

// crashUnder crashes the upstream because of a run, unless the run has ended.
func (u *upstream) crashUnder(r *run, c *callerJob) {
	if r.ended {
		return
	}
	c.crashes++
	u.world.result.Crashes++
	u.world.result.MaxJobCrashes = max(u.world.result.MaxJobCrashes, c.crashes)
	u.crash()
	u.silent = c.crash.Silent
	if !u.silent {
		u.world.after(localDelay, u.connectionsBroken)
	}
	u.world.after(c.crash.Delay, func() {
		u.down = false
		u.announce()
	})
}

// call handles a call from the agent. It is delayed and its answer lost with the
// probability lateRatio.
func (u *upstream) call(handle func(answerLost bool)) {
	if u.down || u.unreachable {
		return
	}
	if u.world.random.Float64() < u.lateRatio {
		u.callLate(handle)
		return
	}
	u.world.after(localDelay, func() {
		if !u.down {
			handle(false)
		}
	})
}

// callStart is call for a start, which is also late with the probability lateStartRatio.
func (u *upstream) callStart(handle func(answerLost bool)) {
	if !u.down && !u.unreachable && u.lateStartRatio > 0 && u.world.random.Float64() < u.lateStartRatio {
		u.callLate(handle)
		return
	}
	u.call(handle)
}

func (u *upstream) callLate(handle func(answerLost bool)) {
	u.world.after(2*time.Second+time.Duration(u.world.random.Int64N(int64(10*time.Second))), func() {
		if !u.down {
			handle(true)
		}
	})
}

func (u *upstream) fenced(agent int) bool {
	u.highestAgent = max(u.highestAgent, agent)
	return agent < u.highestAgent
}

func (u *upstream) start(c runner.StartCall, agent int) runner.Answer {
	switch {
	case u.fenced(agent):
		return runner.AnswerRefused
	case c.Incarnation.ID != u.incarnation.ID:
		return runner.AnswerOtherIncarnation
	case u.runs[c.Task] != nil && u.runs[c.Task].number == c.Run:
		return runner.AnswerStarted
	case c.Run <= u.highestRun[c.Task]:
		return runner.AnswerStaleRun
	case c.LeaseUntil < u.world.now:
		return runner.AnswerRefused
	}
	call := u.world.jobs[c.Task.Job]
	u.extendLease(c.LeaseUntil)
	u.highestRun[c.Task] = c.Run
	r := &run{ref: c.Task, number: c.Run, resources: call.resources, startedAt: u.world.now, hangs: u.hanging}
	r.runTime = time.Duration(float64(call.runTimes[c.Task.Index]) * u.slowdown / u.speed)
	u.runs[c.Task] = r
	u.world.started(u, r)
	switch {
	case call.crash != nil && c.Task.Index == 0:
		u.world.after(min(r.runTime, call.crash.After), func() { u.crashUnder(r, call) })
	case u.world.random.Float64() < u.failRatio || call.alwaysFails:
		u.world.after(min(r.runTime, 10*time.Millisecond), func() { u.end(r, messenger.EndFailed) })
	case !r.hangs:
		u.world.after(r.runTime, func() { u.end(r, messenger.EndDone) })
	}
	return runner.AnswerStarted
}

func (u *upstream) stop(c runner.StopCall, agent int) bool {
	if u.fenced(agent) || c.Incarnation.ID != "" && c.Incarnation.ID != u.incarnation.ID {
		return true
	}
	u.highestRun[c.Task] = max(u.highestRun[c.Task], c.Run)
	if r := u.runs[c.Task]; r != nil && r.number <= c.Run {
		u.world.after(30*time.Millisecond, func() { u.end(r, messenger.EndWithdrawn) })
	}
	return true
}

// extendLease renews the lease. When it expires, all runs end.
func (u *upstream) extendLease(until time.Duration) {
	if until <= u.leaseUntil {
		return
	}
	u.leaseUntil = until
	incarnation := u.incarnation
	u.world.at(until+time.Millisecond, func() {
		if u.incarnation != incarnation || u.leaseUntil > u.world.now {
			return
		}
		for _, r := range u.sortedRuns() {
			u.end(r, messenger.EndLost)
		}
	})
}

func (u *upstream) sortedRuns() []*run {
	var runs []*run
	for _, r := range u.runs {
		runs = append(runs, r)
	}
	slices.SortFunc(runs, func(x, y *run) int { return x.ref.Compare(y.ref) })
	return runs
}

func (u *upstream) poll(request runner.PollRequest, agent int, answer func(runner.Listing)) {
	if u.fenced(agent) {
		return
	}
	if request.LeaseUntil > 0 {
		u.extendLease(request.LeaseUntil)
	}
	u.unackedEnds = slices.DeleteFunc(u.unackedEnds, func(e runner.RunEnd) bool {
		return e.Number <= request.LastEnd && request.Incarnation.Number == u.incarnation.Number
	})
	answered := false
	incarnation := u.incarnation
	reply := func() {
		if !answered && u.incarnation == incarnation && !u.unreachable {
			answered = true
			answer(u.listing())
		}
	}
	if len(u.unackedEnds) > 0 || request.AtOnce {
		reply()
		return
	}
	u.waitingPolls = append(u.waitingPolls, reply)
	u.world.after(pollWait, reply)
}

func (u *upstream) listing() runner.Listing {
	l := runner.Listing{Incarnation: runner.Incarnation{Number: u.incarnation.Number}, Ended: slices.Clone(u.unackedEnds)}
	for _, r := range u.sortedRuns() {
		percent := 0
		if !r.hangs && r.runTime > 0 {
			percent = int(100 * (u.world.now - r.startedAt) / r.runTime)
		}
		l.Running = append(l.Running, runner.Run{Task: r.ref, Run: r.number, Percent: percent})
	}
	return l
}

func (u *upstream) end(r *run, kind messenger.EndKind) {
	if r.ended {
		return
	}
	u.remove(r)
	if kind == messenger.EndDone {
		u.world.completed(r)
	}
	u.lastEndNumber++
	u.unackedEnds = append(u.unackedEnds, runner.RunEnd{Number: u.lastEndNumber, Task: r.ref, Run: r.number, Kind: kind})
	polls := u.waitingPolls
	u.waitingPolls = nil
	for _, reply := range polls {
		reply()
	}
}

func (u *upstream) remove(r *run) {
	r.ended = true
	delete(u.runs, r.ref)
	u.world.stopped(r)
}
