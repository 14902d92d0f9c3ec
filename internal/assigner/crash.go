package assigner

import (
	"cmp"
	"math"
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
)

const (
	// maxBlame is the number of crashes of upstreams that a task may have caused before its
	// job is given up. maxTaskCrashes is the same with the crashes that another task caused.
	maxBlame       = 2
	maxTaskCrashes = 3
	// crashMemory is how long a crash is remembered. It is longer than callers wait and
	// submit again.
	crashMemory = time.Minute
	// maxCrashRecords bounds the crashes that are remembered.
	maxCrashRecords = 1024
	// coincidenceWeight is the weight of a run as the cause of a crash if its task had run for
	// different times when upstreams crashed under it.
	coincidenceWeight = 0.2
	// runTimeTolerance is added to the difference between run times that count as equal, for
	// the delays of starts and of the notice of a crash.
	runTimeTolerance = 10 * time.Millisecond
	// hazardDuration is how long a queue is hazardous after a crash under one of its tasks.
	// It is longer than upstreams are away.
	hazardDuration = 10 * time.Second
	// minEvidence is the evidence from which a queue is hazardous. A task that is the only
	// likely cause of two crashes counts 2.
	minEvidence = 1.3
	// evidenceHalfLife is the half-life of the evidence against a queue.
	evidenceHalfLife = 5 * time.Second
	// concludedWindow and maxConcluded bound the crashes that conclusions are drawn from.
	concludedWindow = 20 * time.Second
	maxConcluded    = 256
)

// crashLog holds the recent crashes of upstreams with the tasks that ran there, and what
// follows from them. Agents report the tasks of all entries, so that another entry knows a
// task when its caller submits it again. The conclusions hardly depend on the order of the
// crashes, so that all entries come to the same ones, also those that restart.
type crashLog struct {
	records []*crashRecord // ordered by time of the crash
	byTask  map[messenger.TaskRef][]*crashRecord
	hazards map[string]time.Duration // ends of the times for which queues are hazardous
}

type crashRecord struct {
	upstream  string // incarnation of the upstream
	at        time.Duration
	runs      []messenger.CrashedRun
	hazardous bool              // whether any of the runs is of a hazardous queue, and so a likely cause
	culprit   messenger.TaskRef // the task that caused the crash; zero if it is not known
}

func newCrashLog() crashLog {
	return crashLog{byTask: make(map[messenger.TaskRef][]*crashRecord), hazards: make(map[string]time.Duration)}
}

// add adds a crash. It returns nil if the crash is known already; a second report may tell
// that runs were certainly there.
func (l *crashLog) add(now time.Duration, c *messenger.Crash) *crashRecord {
	if i := slices.IndexFunc(l.records, func(r *crashRecord) bool { return r.upstream == c.Upstream }); i >= 0 {
		l.records[i].confirm(c.Runs)
		return nil
	}
	for len(l.records) > 0 && (now-l.records[0].at > crashMemory || len(l.records) >= maxCrashRecords) {
		l.removeOldest()
	}
	r := &crashRecord{upstream: c.Upstream, at: now - c.Age, runs: c.Runs}
	for _, run := range r.runs {
		l.byTask[run.Task] = append(l.byTask[run.Task], r)
	}
	at, _ := slices.BinarySearchFunc(l.records, r, func(x, y *crashRecord) int { return cmp.Compare(x.at, y.at) })
	l.records = slices.Insert(l.records, at, r)
	l.conclude()
	return r
}

func (l *crashLog) removeOldest() {
	oldest := l.records[0]
	l.records = l.records[1:]
	for _, run := range oldest.runs {
		left := slices.DeleteFunc(l.byTask[run.Task], func(r *crashRecord) bool { return r == oldest })
		if l.byTask[run.Task] = left; len(left) == 0 {
			delete(l.byTask, run.Task)
		}
	}
}

// conclude determines the hazardous queues and the causes of the recent crashes. The queue
// with the most evidence comes first, since the crashes that it explains are no evidence
// against others.
func (l *crashLog) conclude() {
	latest := l.records[len(l.records)-1].at
	recent := l.records[max(0, len(l.records)-maxConcluded):]
	for len(recent) > 0 && latest-recent[0].at > concludedWindow {
		recent = recent[1:]
	}
	clear(l.hazards)
	for _, r := range recent {
		r.hazardous, r.culprit = false, messenger.TaskRef{}
	}
	for {
		queue, most := l.mostEvidence(recent)
		if most < minEvidence {
			break
		}
		for _, r := range recent {
			if slices.ContainsFunc(r.runs, func(run messenger.CrashedRun) bool { return run.Queue == queue }) {
				r.hazardous = true
				l.hazards[queue] = r.at + hazardDuration
			}
		}
	}
	for _, r := range recent {
		l.findCulprit(r)
	}
}

// mostEvidence returns the queue that is not known to be hazardous whose evidence was the
// highest at any time. The evidence decays between crashes, but a further crash must not
// clear a queue that earlier ones have shown to be hazardous.
func (l *crashLog) mostEvidence(recent []*crashRecord) (queue string, most float64) {
	found := make(map[string]*evidence)
	for _, r := range recent {
		if r.hazardous {
			continue
		}
		candidates := l.candidates(r)
		var sum, largest float64
		for _, c := range candidates {
			sum += c.weight
			largest = max(largest, c.weight)
		}
		for _, c := range candidates {
			e := found[c.Queue]
			if e == nil {
				e = &evidence{}
				found[c.Queue] = e
			}
			e.add(r.at, largest*c.weight/sum)
		}
	}
	for name, e := range found {
		if _, known := l.hazards[name]; !known && (e.highest > most || e.highest == most && name < queue) {
			queue, most = name, e.highest
		}
	}
	return queue, most
}

// evidence is the evidence of crashes against a queue. It decays with evidenceHalfLife.
type evidence struct {
	sum     float64
	at      time.Duration // time of the latest crash in sum
	highest float64
}

// add adds the evidence of a crash that is not earlier than those before.
func (e *evidence) add(at time.Duration, weight float64) {
	e.sum = e.sum*math.Exp2(-float64(at-e.at)/float64(evidenceHalfLife)) + weight
	e.at = at
	e.highest = max(e.highest, e.sum)
}

// candidate is a run that is a likely cause of a crash.
type candidate struct {
	messenger.CrashedRun
	weight float64 // 1, or less if the run is more likely a coincidence
}

// candidates returns the likely causes of a crash: the runs whose tasks may have caused other
// crashes too, or a run beside which there was none.
func (l *crashLog) candidates(r *crashRecord) []candidate {
	var candidates []candidate
	for _, run := range r.runs {
		if !l.mayHaveCaused(r, run) || len(r.runs) > 1 && l.blame(run.Task) < maxBlame {
			continue
		}
		c := candidate{run, coincidenceWeight}
		if len(r.runs) == 1 || l.repeats(r, run) {
			c.weight = 1
		}
		candidates = append(candidates, c)
	}
	return candidates
}

// findCulprit determines the task that caused a crash, if there is only one likely cause. It
// is then the cause of its other crashes, too.
func (l *crashLog) findCulprit(r *crashRecord) {
	if r.culprit != (messenger.TaskRef{}) {
		return
	}
	var likely []candidate
	for _, c := range l.candidates(r) {
		if c.weight == 1 {
			likely = append(likely, c)
		}
	}
	if len(likely) != 1 {
		return
	}
	for _, other := range l.byTask[likely[0].Task] {
		if other.culprit == (messenger.TaskRef{}) {
			other.culprit = likely[0].Task
		}
	}
}

// hazardous reports whether the tasks of a queue are likely to crash upstreams.
func (l *crashLog) hazardous(at time.Duration, queue string) bool { return at < l.hazards[queue] }

// anyHazard reports whether any queue is hazardous.
func (l *crashLog) anyHazard(at time.Duration) bool {
	for _, until := range l.hazards {
		if at < until {
			return true
		}
	}
	return false
}

// repeats reports whether a task had run for about the same time in another crash. A task
// that crashes its upstreams does so at the same point of its work.
func (l *crashLog) repeats(r *crashRecord, run messenger.CrashedRun) bool {
	return slices.ContainsFunc(l.byTask[run.Task], func(other *crashRecord) bool {
		t := other.runs[other.index(run.Task)].RunTime
		shorter, longer := min(t, run.RunTime), max(t, run.RunTime)
		return other != r && longer <= shorter+shorter/2+runTimeTolerance
	})
}

// mayHaveCaused reports whether a run may have caused a crash: no other task is known to
// have, and either its queue is hazardous or no queue of the other runs is.
func (l *crashLog) mayHaveCaused(r *crashRecord, run messenger.CrashedRun) bool {
	if r.culprit != (messenger.TaskRef{}) {
		return r.culprit == run.Task
	}
	return !r.hazardous || l.hazardous(r.at, run.Queue)
}

// blame returns the number of crashes that a task may have caused.
func (l *crashLog) blame(ref messenger.TaskRef) int {
	n := 0
	for _, r := range l.byTask[ref] {
		if l.mayHaveCaused(r, r.runs[r.index(ref)]) {
			n++
		}
	}
	return n
}

// givenUp reports whether so many upstreams crashed under a task that it is not started
// again.
func (l *crashLog) givenUp(ref messenger.TaskRef) bool {
	return len(l.byTask[ref]) >= maxTaskCrashes || l.blame(ref) >= maxBlame
}

// certain reports whether upstreams certainly crashed while they ran a task, as often as for a
// task that is given up.
func (l *crashLog) certain(ref messenger.TaskRef) bool {
	n := 0
	for _, r := range l.byTask[ref] {
		if r.runs[r.index(ref)].Certain {
			n++
		}
	}
	return n >= maxBlame
}

// suspicion returns the latest crash that a task may have caused, or nil.
func (l *crashLog) suspicion(ref messenger.TaskRef) *crashRecord {
	for _, r := range slices.Backward(l.byTask[ref]) {
		if l.mayHaveCaused(r, r.runs[r.index(ref)]) {
			return r
		}
	}
	return nil
}

// index returns the position of a task among the runs.
func (r *crashRecord) index(ref messenger.TaskRef) int {
	return slices.IndexFunc(r.runs, func(run messenger.CrashedRun) bool { return run.Task == ref })
}

// confirm marks the runs that are certain in a second report of the crash.
func (r *crashRecord) confirm(runs []messenger.CrashedRun) {
	for _, run := range runs {
		if i := r.index(run.Task); i >= 0 && run.Certain {
			r.runs[i].Certain = true
		}
	}
}

// recordCrash applies the report of a crash.
func (a *Assigner) recordCrash(now time.Duration, c *messenger.Crash) {
	r := a.crashes.add(now, c)
	if r == nil {
		return
	}
	a.logDecision(Decision{Event: "crash-recorded", Task: r.culprit, Reason: c.Upstream, Age: c.Age})
	for _, run := range c.Runs {
		// A task that has been launched again is given up when that run ends.
		j := a.jobs[run.Task.Job]
		if j == nil || j.answered || !a.crashes.givenUp(run.Task) {
			continue
		}
		if slices.ContainsFunc(a.pending, func(t *task) bool { return t.ref == run.Task }) {
			a.failCrashing(now, j, run.Task)
		}
	}
}

// failCrashing ends a job with a task under which too many upstreams have crashed. It fails
// only if these certainly ran the task.
func (a *Assigner) failCrashing(now time.Duration, j *job, ref messenger.TaskRef) {
	if a.crashes.certain(ref) {
		a.finish(now, j, OutcomeFailed, "upstreams-crashed", 0)
		return
	}
	a.finish(now, j, OutcomeGivenUp, "upstreams-lost", 0)
}
