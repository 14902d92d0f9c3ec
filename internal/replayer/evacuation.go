package replayer

import (
	"maps"
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/runner"
)

// evacuations are the data centres that are being evacuated, as of a version.
type evacuations struct {
	version int
	// requests counts the requests in force for each data centre. It is replaced, not changed, by each version.
	requests map[string]int
}

// unknown is the version of a process that has just started.
var unknown = evacuations{version: -1}

func (e *evacuations) includes(dataCentre string) bool { return e.requests[dataCentre] > 0 }

func (e *evacuations) dataCentres() []string { return slices.Sorted(maps.Keys(e.requests)) }

// maxEvacuationDelay is the longest time until a process learns of an evacuation or of its end.
const maxEvacuationDelay = 50 * time.Millisecond

func (f *Fault) evacuated() string { return dataCentre(f.DataCentre) }

// evacuate evacuates a data centre while the fault lasts.
func (w *world) evacuate(f Fault) {
	w.setEvacuated(f, true)
	w.after(f.Duration, func() { w.setEvacuated(f, false) })
}

// setEvacuated begins or ends an evacuation. Each process learns of it after a delay of its own.
func (w *world) setEvacuated(f Fault, begins bool) {
	name := f.evacuated()
	current := evacuations{version: w.evacuations.version + 1, requests: maps.Clone(w.evacuations.requests)}
	if current.requests == nil {
		current.requests = make(map[string]int)
	}
	if begins {
		current.requests[name]++
	} else if current.requests[name]--; current.requests[name] == 0 {
		delete(current.requests, name)
	}
	w.evacuations = current
	delay := func() time.Duration { return time.Duration(w.random.Int64N(int64(maxEvacuationDelay))) }
	for _, e := range w.entries {
		w.after(delay(), func() { e.run(func() { e.learnEvacuations(current) }) })
	}
	for _, a := range w.agents {
		if !begins && f.Delay > 0 && dataCentre(a.index) == name {
			a.upstream.coolDown(f)
		}
		w.after(delay(), func() { a.run(func() { a.learnEvacuations(current) }) })
	}
}

// learnEvacuations applies a version in the process of the entry, if it is higher.
func (e *entry) learnEvacuations(v evacuations) {
	if v.version > e.evacuations.version {
		e.evacuations = v
		e.assigner.SetEvacuated(e.world.now, v.dataCentres())
	}
}

// learnEvacuations applies a version in the process of the agent, if it is higher.
func (a *agent) learnEvacuations(v evacuations) {
	if v.version > a.evacuations.version {
		a.evacuations = v
		a.runner.SetEvacuated(a.world.now, v.includes(dataCentre(a.index)))
	}
}

// checkLaunches checks that an entry launches nothing in a data centre that it knows to be evacuated.
func (e *entry) checkLaunches(to *agent, f *messenger.Frame) {
	if len(f.Launches) > 0 && e.evacuations.includes(dataCentre(to.index)) {
		e.world.violation("entry %d launches %v at upstream %d, which is being evacuated", e.index, f.Launches[0].Task, to.index)
	}
}

// checkStart checks that an agent starts nothing that it knows to be evacuated.
func (a *agent) checkStart(c runner.StartCall) {
	if a.evacuations.includes(dataCentre(a.index)) {
		a.world.violation("agent %d starts %v, although its data centre is being evacuated", a.index, c.Task)
	}
}

// coolDown makes the upstream cold after an evacuation, and announces that.
func (u *upstream) coolDown(f Fault) {
	u.slowdown, u.coldUntil = f.Factor, u.world.now+f.Delay
	u.announce()
	u.world.after(f.Delay, func() { u.slowdown = 1 })
}

// coldFor returns how much longer the upstream is cold.
func (u *upstream) coldFor() time.Duration { return max(0, u.coldUntil-u.world.now) }
