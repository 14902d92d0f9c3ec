package coordinator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sardinelock.dev/sardinelock/internal/coordinator"
	"sardinelock.dev/sardinelock/internal/identifier"
)

// Partitions of each region, by [claimer.Home].
const (
	eastern identifier.Partition = 0
	western identifier.Partition = 1
)

// regionsWorld returns a settled world of two regions with two entries and two
// agents each. The first entry is of the eastern region.
func regionsWorld() *world {
	o := worldOptions{entries: 4, agents: 4, slots: 2}
	o.regions = 2
	return runDirected(o, func(*world) {})
}

// ask submits a submission and returns its request.
func (w *world) ask(p *process, s *submission) *request {
	w.submitTo(p, s, coordinator.RequestSubmit)
	return w.oracle.requests[len(w.oracle.requests)-1]
}

// answers writes the answers of requests.
func answers(rs ...*request) []string {
	var out []string
	for _, r := range rs {
		out = append(out, fmt.Sprintf("%s %s", r.answer, r.reason))
	}
	return out
}

// TestRegions submits jobs of both regions at an eastern entry while the regions
// are joined, apart and joined again. Apart, what belongs to the other region is
// answered unknown without a wait and starts nothing.
func TestRegions(t *testing.T) {
	w := regionsWorld()
	here := w.entries[0]
	ask := func(p identifier.Partition) (*submission, *request) {
		s := w.newSubmission(p, "", 3, time.Second)
		return s, w.ask(here, s)
	}
	_, near := ask(eastern)
	_, far := ask(western)
	w.quiesce()
	w.partRegions()
	w.quiesce()
	_, nearApart := ask(eastern)
	late, farApart := ask(western)
	w.quiesce()
	startedApart := w.oracle.ran[late.id]
	w.joinRegions()
	w.settle(time.Second)
	farAgain := w.ask(here, late)
	w.quiesce()
	want := []string{"complete ", "complete ", "complete ", "unknown region-unreachable", "complete "}
	if diff := cmp.Diff(want, answers(near, far, nearApart, farApart, farAgain)); diff != "" {
		t.Errorf("answers (-want +got):\n%s\n%s", diff, tail(w.trace.String()))
	}
	if startedApart {
		t.Error("a task of the other region started while the regions were apart")
	}
	if w.oracle.violation != "" {
		t.Error(w.oracle.violation)
	}
}

// TestRegionsPartDuringJob parts the regions while a job that was passed on runs.
// Its caller is told unknown; when the regions are joined, the same id gets the
// answer, and no task has started twice.
func TestRegionsPartDuringJob(t *testing.T) {
	w := regionsWorld()
	here := w.entries[0]
	s := w.newSubmission(western, "", 3, 2*time.Second)
	first := w.ask(here, s)
	for !w.oracle.ran[s.id] {
		w.deliver(w.deliverable()[0])
	}
	w.partRegions()
	w.settle(200 * time.Millisecond)
	w.joinRegions()
	w.settle(time.Second)
	again := w.ask(here, s)
	w.quiesce()
	if diff := cmp.Diff([]string{"unknown region-unreachable", "complete "}, answers(first, again)); diff != "" {
		t.Errorf("answers (-want +got):\n%s\n%s", diff, tail(w.trace.String()))
	}
	if w.oracle.violation != "" {
		t.Error(w.oracle.violation)
	}
}
