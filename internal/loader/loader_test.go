package loader

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"sardinelock.dev/sardinelock/internal/scripter"
	"sardinelock.dev/sardinelock/internal/seeder"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) { seeder.Main(m) }

// TestIdeal runs scripts of "job at=T tasks=T,T,...", which adds a job, and "ideal
// slots=N", which prints the ideal response times of all jobs.
func TestIdeal(t *testing.T) {
	scripter.Run(t, "testdata/ideal*.txtar", func(t *testing.T, lines []scripter.Line) string {
		var out strings.Builder
		var jobs []plannedJob
		for _, l := range lines {
			switch l.Verb {
			case "job":
				jobs = append(jobs, plannedJob{arrival: duration(t, l.Arg("at")), runTimes: durations(t, l.Arg("tasks"))})
			case "ideal":
				fmt.Fprintln(&out, idealResponseTimes(jobs, readNumber(t, l.Arg("slots"))))
			default:
				t.Fatal("unknown verb", l)
			}
		}
		return out.String()
	})
}

// TestChecks runs scripts of "job tasks=T,...", "request job=N id=ID outcome=O
// results=R,R answer-for=ID lost=yes rejected=TEXT", "sent" (a request without a
// record), "start id=ID task=N" and "check", which prints the verdict of every check.
func TestChecks(t *testing.T) {
	scripter.Run(t, "testdata/checks*.txtar", func(t *testing.T, lines []scripter.Line) string {
		r := &runner{}
		starts := make(map[TaskRef]int)
		r.target.Starts = func(into map[TaskRef]int) error {
			for ref, n := range starts {
				into[ref] += n
			}
			return nil
		}
		var out strings.Builder
		for _, l := range lines {
			switch l.Verb {
			case "job":
				r.jobs = append(r.jobs, plannedJob{runTimes: durations(t, l.Arg("tasks"))})
			case "sent":
				r.sent.Add(1)
			case "request":
				r.sent.Add(1)
				r.requests = append(r.requests, readRequest(t, l))
			case "start":
				starts[TaskRef{l.Arg("id"), readNumber(t, l.Arg("task"))}]++
			case "check":
				checks, total, err := r.checkStarts()
				if err != nil {
					t.Fatal(err)
				}
				fmt.Fprintln(&out, "starts", total)
				for _, c := range append(r.checkAnswers(), checks...) {
					fmt.Fprintf(&out, "%s: %s\n", c.Name, c.verdict())
				}
			default:
				t.Fatal("unknown verb", l)
			}
		}
		return out.String()
	})
}

func readRequest(t *testing.T, l scripter.Line) request {
	t.Helper()
	q := request{submission: l.Arg("id"), rejected: l.Arg("rejected"), unanswered: l.Arg("lost") != ""}
	q.jobIndex = readNumber(t, l.Arg("job"))
	q.answer.SubmissionID = q.submission
	if other := l.Arg("answer-for"); other != "" {
		q.answer.SubmissionID = other
	}
	q.answer.Outcome = submitter.Outcome(l.Arg("outcome"))
	for _, took := range durations(t, l.Arg("results")) {
		q.answer.Results = append(q.answer.Results, []byte(`{"run-time":"`+took.String()+`"}`))
	}
	return q
}

func readNumber(t *testing.T, text string) int {
	t.Helper()
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func duration(t *testing.T, text string) time.Duration {
	t.Helper()
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func durations(t *testing.T, text string) []time.Duration {
	t.Helper()
	if text == "" {
		return nil
	}
	var out []time.Duration
	for part := range strings.SplitSeq(text, ",") {
		out = append(out, duration(t, part))
	}
	return out
}

// TestScheduleIsDeterministic checks that an experiment always gives the same jobs,
// that arrivals are in order and within the duration, and that every drawn value lies
// within its range.
func TestScheduleIsDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := DefaultExperiment()
		x.Seed = rapid.Uint64().Draw(t, "seed")
		x.Arrival.Process = rapid.SampledFrom([]ArrivalProcess{ArrivalSteady, ArrivalPoisson, ArrivalBurst}).Draw(t, "process")
		x.Arrival.BurstSize = rapid.IntRange(1, 20).Draw(t, "burst")
		x.Arrival.Rate = rapid.Float64Range(1, 100).Draw(t, "rate")
		if err := x.Complete(); err != nil {
			t.Fatal(err)
		}
		first, err := schedule(&x)
		if err != nil {
			t.Fatal(err)
		}
		second, _ := schedule(&x)
		if diff := cmp.Diff(fmt.Sprintf("%+v", withoutClasses(first)), fmt.Sprintf("%+v", withoutClasses(second))); diff != "" {
			t.Fatalf("two schedules differ:\n%s", diff)
		}
		last := time.Duration(0)
		for i := range first {
			if first[i].arrival < last || first[i].arrival >= x.Duration {
				t.Fatalf("arrival at %s after %s", first[i].arrival, last)
			}
			last = first[i].arrival
			checkRanges(t, &first[i])
		}
	})
}

func checkRanges(t *rapid.T, p *plannedJob) {
	if n := len(p.runTimes); n < p.class.Tasks.Min || n > p.class.Tasks.Max {
		t.Fatalf("%d tasks", n)
	}
	for _, took := range p.runTimes {
		if took < p.class.RunTime.Min || took > p.class.RunTime.Max {
			t.Fatalf("run time %s", took)
		}
	}
}

// withoutClasses returns a copy of the jobs without the pointers to their classes,
// which differ between schedules.
func withoutClasses(jobs []plannedJob) []plannedJob {
	out := make([]plannedJob, len(jobs))
	copy(out, jobs)
	for i := range out {
		out[i].class = nil
	}
	return out
}

// TestIdealIsBound checks that the ideal response time of a job is neither shorter
// than its longest task nor shorter than its total work divided by the slots.
func TestIdealIsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 8).Draw(t, "slots")
		var jobs []plannedJob
		at := 0
		for range rapid.IntRange(1, 12).Draw(t, "jobs") {
			at += rapid.IntRange(0, 50).Draw(t, "gap")
			p := plannedJob{arrival: time.Duration(at)}
			for _, took := range rapid.SliceOfN(rapid.IntRange(1, 40), 1, 10).Draw(t, "tasks") {
				p.runTimes = append(p.runTimes, time.Duration(took))
			}
			jobs = append(jobs, p)
		}
		for i, took := range idealResponseTimes(jobs, slots) {
			var longest, sum time.Duration
			for _, r := range jobs[i].runTimes {
				longest, sum = max(longest, r), sum+r
			}
			if took < longest || took < sum/time.Duration(slots) {
				t.Fatalf("job %d takes %d with tasks %v on %d slots", i, took, jobs[i].runTimes, slots)
			}
		}
	})
}

// TestShippedExperiments checks that the experiments under examples can be parsed and
// scheduled.
func TestShippedExperiments(t *testing.T) {
	for _, name := range []string{"tuul", "kwaebibirem"} {
		file := "../../examples/" + name + "/experiment.yaml"
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		x, err := ParseExperiment(file, text)
		if err != nil {
			t.Fatal(err)
		}
		if jobs, err := schedule(&x); err != nil || len(jobs) == 0 || len(x.Steps) == 0 {
			t.Errorf("%s: %d jobs, %d steps, %v", name, len(jobs), len(x.Steps), err)
		}
	}
}

// TestFaultsTogether checks that all faults of an experiment are reported at once.
func TestFaultsTogether(t *testing.T) {
	_, err := ParseExperiment("x.yaml", []byte("duration: 2h\narrival: {process: often, rate: -1}\nsteps:\n  - {do: dance}\n"))
	for _, want := range []string{"duration must", "rate must", "steady, poisson or burst", "jobs must not", `unknown action "dance"`} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q is not in: %v", want, err)
		}
	}
}

// TestMetricsAndLogs checks the parsing of a process's metrics and of the log of an
// emulated upstream.
func TestMetricsAndLogs(t *testing.T) {
	text := "# HELP sardinelock_peer_messages_total x\n" +
		"sardinelock_peer_messages_total{kind=\"start\"} 12\nsardinelock_peer_messages_total{kind=\"a b\"} 3e2 17000\n" +
		"sardinelock_peer_messages_other{kind=\"start\"} 99\nsardinelock_peer_bytes_total 7\n"
	if diff := cmp.Diff([]uint64{312, 7}, []uint64{sumMetric(text, messagesMetric), sumMetric(text, bytesMetric)}); diff != "" {
		t.Errorf("sums (-want +got):\n%s", diff)
	}
	starts := make(map[TaskRef]int)
	log := `{"event":"start","submission-id":"a","task":1}` + "\n" + `{"event":"end","submission-id":"a","task":1}` + "\n" +
		`{"event":"start","submission-id":"a","task":1}` + "\n"
	if err := addStarts(starts, []byte(log)); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(map[TaskRef]int{{"a", 1}: 2}, starts); diff != "" {
		t.Errorf("starts (-want +got):\n%s", diff)
	}
}
