package coordinator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sardinelock.dev/sardinelock/internal/coordinator"
	"sardinelock.dev/sardinelock/internal/identifier"
)

// One partition of each region, by [claimer.HomeRegion].
const (
	eastern identifier.Partition = 0
	western identifier.Partition = 1
)

// newTwoRegionSimulation returns a simulation of two regions with two entries and two
// agents each, in which all entries serve. The first entry is in the eastern region.
func newTwoRegionSimulation() *simulation {
	o := simulationOptions{entries: 4, agents: 4, slots: 2}
	o.regions = 2
	return runDirected(o, func(*simulation) {})
}

// submitRequest submits a submission and returns its request.
func (sim *simulation) submitRequest(p *process, s *submission) *request {
	sim.submitTo(p, s, coordinator.RequestSubmit)
	return sim.oracle.requests[len(sim.oracle.requests)-1]
}

// answers formats the answers of requests.
func answers(rs ...*request) []string {
	var out []string
	for _, r := range rs {
		out = append(out, fmt.Sprintf("%s %s", r.answer, r.reason))
	}
	return out
}

// TestRegions submits jobs of both regions at an eastern entry while the regions are
// connected, split and connected again. During the split, a job of the other region is
// answered unknown at once and starts nothing.
func TestRegions(t *testing.T) {
	sim := newTwoRegionSimulation()
	east := sim.entries[0]
	ask := func(p identifier.Partition) (*submission, *request) {
		s := sim.newSubmission(p, "", 3, time.Second)
		return s, sim.submitRequest(east, s)
	}
	_, near := ask(eastern)
	_, far := ask(western)
	sim.quiesce()
	sim.splitRegions()
	sim.quiesce()
	_, nearApart := ask(eastern)
	late, farApart := ask(western)
	sim.quiesce()
	startedApart := sim.oracle.ran[late.id]
	sim.rejoinRegions()
	sim.runFor(time.Second)
	farAgain := sim.submitRequest(east, late)
	sim.quiesce()
	want := []string{"complete ", "complete ", "complete ", "unknown region-unreachable", "complete "}
	if diff := cmp.Diff(want, answers(near, far, nearApart, farApart, farAgain)); diff != "" {
		t.Errorf("answers (-want +got):\n%s\n%s", diff, tail(sim.trace.String()))
	}
	if startedApart {
		t.Error("a task of the other region started while the regions were split")
	}
	if sim.oracle.violation != "" {
		t.Error(sim.oracle.violation)
	}
}

// TestRegionSplitDuringJob splits the regions while a forwarded job runs. Its caller is
// answered unknown. When the regions are connected again, the same id gets the answer,
// and no task has started twice.
func TestRegionSplitDuringJob(t *testing.T) {
	sim := newTwoRegionSimulation()
	east := sim.entries[0]
	s := sim.newSubmission(western, "", 3, 2*time.Second)
	first := sim.submitRequest(east, s)
	for !sim.oracle.ran[s.id] {
		sim.deliver(sim.deliverable()[0])
	}
	sim.splitRegions()
	sim.runFor(200 * time.Millisecond)
	sim.rejoinRegions()
	sim.runFor(time.Second)
	again := sim.submitRequest(east, s)
	sim.quiesce()
	if diff := cmp.Diff([]string{"unknown region-unreachable", "complete "}, answers(first, again)); diff != "" {
		t.Errorf("answers (-want +got):\n%s\n%s", diff, tail(sim.trace.String()))
	}
	if sim.oracle.violation != "" {
		t.Error(sim.oracle.violation)
	}
}
