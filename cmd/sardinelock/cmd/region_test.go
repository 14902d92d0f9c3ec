package cmd

import (
	"math/rand/v2"
	"testing"
	"time"

	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// The regions of a fleet of two regions. Partitions are assigned to them alternately
// in this order.
const (
	east = iota
	west
	regions
)

var regionNames = [regions]string{"east", "west"}

// regionFleet is a fleet in which each region has two entries and two agents, in
// the order of the regions.
type regionFleet struct {
	*fleet
	ids   identifier.Generator
	peers [regions]string // peer address of the last entry of each region
}

func startRegions(t *testing.T) *regionFleet {
	t.Helper()
	f := &regionFleet{fleet: newFleet(t), ids: identifier.Generator{Random: rand.NewChaCha8([32]byte{7})}}
	for region := range regions {
		for range 2 {
			f.peers[region] = f.startEntryIn(region)
		}
	}
	for region, name := range regionNames {
		for range 2 {
			f.startAgent(f.peers[region], "--region", name)
		}
	}
	for i := range f.callers {
		f.awaitService(i)
	}
	return f
}

func (f *regionFleet) startEntryIn(region int, flags ...string) string {
	f.t.Helper()
	return f.startEntry(append(flags, "--region", regionNames[region], "--regions", "east,west")...)
}

// newID returns a submission id whose partition belongs to a region.
func (f *regionFleet) newID(region int) string {
	id, ok := f.ids.NewIn(time.Now(), func(p identifier.Partition) bool { return int(p)%regions == region })
	if !ok {
		f.t.Fatal("no id of the region was found")
	}
	return id.String()
}

// checkStarts fails the test unless a submission started the given number of
// tasks, each once and all in one region. The upstreams must be stopped.
func (f *regionFleet) checkStarts(submission string, region, tasks int) {
	f.t.Helper()
	// A logged start may be read later than the answer.
	f.awaitStarts(submission, tasks)
	f.checkOnce(submission)
	if n := len(f.starts(submission)); n != tasks {
		f.t.Errorf("%d tasks of %s started, want %d", n, submission, tasks)
	}
	for i, u := range f.upstreams {
		started := make(map[string]int)
		if u.countStarts(submission, started); len(started) > 0 && i/2 != region {
			f.t.Errorf("%s of region %s started in region %s", submission, regionNames[region], regionNames[i/2])
		}
	}
}

// checkAnswer fails the test unless an answer has the outcome and reason.
func (f *fleet) checkAnswer(what string, got submitter.Answer, outcome submitter.Outcome, reason submitter.Reason) {
	f.t.Helper()
	if got.Outcome != outcome || got.Reason != reason {
		f.t.Errorf("%s: %s %q (%s), want %s %q", what, got.Outcome, got.Reason, got.Detail, outcome, reason)
	}
}

// submitUntilReached submits a job repeatedly until its region can be reached, and
// returns the answer.
func (f *regionFleet) submitUntilReached(entry int, id string, j submitter.Job) submitter.Answer {
	f.t.Helper()
	deadline := time.Now().Add(conditionTimeout)
	for {
		answer := <-f.submitAsync(entry, id, j)
		if answer.Reason != submitter.ReasonRegionUnreachable || time.Now().After(deadline) {
			return answer
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestTwoRegions checks that a job that is submitted in one region and belongs to the
// other runs in the region that it belongs to. After the entries of that region are
// killed, its jobs are answered "unknown" and start nothing, while jobs of the other
// region still complete.
func TestTwoRegions(t *testing.T) {
	t.Parallel()
	const tasks = 6
	f := startRegions(t)
	short, long := job(tasks, time.Millisecond, 50*time.Second), job(tasks, 10*time.Second, 50*time.Second)

	near, far := f.newID(east), f.newID(west)
	f.checkAnswer("own region", <-f.submitAsync(0, near, short), submitter.OutcomeComplete, "")
	f.checkAnswer("other region", <-f.submitAsync(0, far, short), submitter.OutcomeComplete, "")

	running := f.newID(west)
	answer := f.submitAsync(0, running, long)
	f.awaitStarts(running, tasks)
	f.entries[2].kill()
	f.entries[3].kill()
	f.checkAnswer("job that ran", <-answer, submitter.OutcomeUnknown, submitter.ReasonRegionUnreachable)

	late := f.newID(west)
	f.checkAnswer("other region, away", <-f.submitAsync(1, late, short), submitter.OutcomeUnknown, submitter.ReasonRegionUnreachable)
	again := f.newID(east)
	f.checkAnswer("own region, alone", <-f.submitAsync(1, again, short), submitter.OutcomeComplete, "")

	// The agents reconnect to the former addresses of their entries.
	f.startEntryIn(west, "--peer-listen", f.peers[west])
	f.checkAnswer("job that ran on", f.submitUntilReached(1, running, long), submitter.OutcomeComplete, "")
	f.awaitService(4)
	f.checkAnswer("id from before the takeover", <-f.submitAsync(1, late, short), submitter.OutcomeNotRun, submitter.ReasonOwnerChanged)

	f.stopUpstreams()
	f.checkStarts(near, east, tasks)
	f.checkStarts(far, west, tasks)
	f.checkStarts(running, west, tasks)
	f.checkStarts(again, east, tasks)
	f.checkStarts(late, west, 0)
}
