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

// TestMain fixes the seed of the random tests.
func TestMain(m *testing.M) { seeder.Main(m) }

// TestIdeal reads "job at=T tasks=T,T,..." and "ideal slots=N".
func TestIdeal(t *testing.T) {
	scripter.Run(t, "testdata/ideal*.txtar", func(t *testing.T, lines []scripter.Line) string {
		var out strings.Builder
		var jobs []planned
		for _, l := range lines {
			switch l.Verb {
			case "job":
				jobs = append(jobs, planned{at: duration(t, l.Arg("at")), runTimes: durations(t, l.Arg("tasks"))})
			case "ideal":
				fmt.Fprintln(&out, idealTimes(jobs, readNumber(t, l.Arg("slots"))))
			default:
				t.Fatal("unknown verb", l)
			}
		}
		return out.String()
	})
}

// TestChecks reads "job tasks=T,..." , "request job=N id=ID outcome=O results=R,R
// lost rejected=TEXT" and "start id=ID task=N", and prints the checks that fail.
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
				r.jobs = append(r.jobs, planned{runTimes: durations(t, l.Arg("tasks"))})
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
	q := request{submission: l.Arg("id"), rejected: l.Arg("rejected"), lost: l.Arg("lost") != ""}
	q.job = readNumber(t, l.Arg("job"))
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

// TestScheduleIsDeterministic checks that an experiment fixes its jobs, that the
// arrivals are in order and within the duration, and that every draw is within
// its range.
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
		if diff := cmp.Diff(fmt.Sprintf("%+v", plain(first)), fmt.Sprintf("%+v", plain(second))); diff != "" {
			t.Fatalf("two schedules differ:\n%s", diff)
		}
		last := time.Duration(0)
		for i := range first {
			if first[i].at < last || first[i].at >= x.Duration {
				t.Fatalf("arrival at %s after %s", first[i].at, last)
			}
			last = first[i].at
			checkRanges(t, &first[i])
		}
	})
}

func checkRanges(t *rapid.T, p *planned) {
	if n := len(p.runTimes); n < p.mix.Tasks.Min || n > p.mix.Tasks.Max {
		t.Fatalf("%d tasks", n)
	}
	for _, took := range p.runTimes {
		if took < p.mix.RunTime.Min || took > p.mix.RunTime.Max {
			t.Fatalf("run time %s", took)
		}
	}
}

// plain drops the pointer of each job, which differs between experiments.
func plain(jobs []planned) []planned {
	out := make([]planned, len(jobs))
	copy(out, jobs)
	for i := range out {
		out[i].mix = nil
	}
	return out
}

// TestIdealIsBound checks that no job is faster than its longest task or than its
// work on all slots, and that one slot more never makes the sum worse than one
// queue in order could be.
func TestIdealIsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 8).Draw(t, "slots")
		var jobs []planned
		at := 0
		for range rapid.IntRange(1, 12).Draw(t, "jobs") {
			at += rapid.IntRange(0, 50).Draw(t, "gap")
			p := planned{at: time.Duration(at)}
			for _, took := range rapid.SliceOfN(rapid.IntRange(1, 40), 1, 10).Draw(t, "tasks") {
				p.runTimes = append(p.runTimes, time.Duration(took))
			}
			jobs = append(jobs, p)
		}
		for i, took := range idealTimes(jobs, slots) {
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

// TestShippedExperiments checks that the experiments of both users can be read.
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

// TestMetricsAndLogs reads a process's metrics and a stand-in's log.
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
