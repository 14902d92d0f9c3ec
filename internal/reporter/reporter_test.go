package reporter

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"sardinelock.dev/sardinelock/internal/configurer"
	"sardinelock.dev/sardinelock/internal/scripter"
	"sardinelock.dev/sardinelock/internal/seeder"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// TestMain fixes the seed of the random tests.
func TestMain(m *testing.M) { seeder.Main(m) }

var (
	testStart    = time.Unix(1_700_000_000, 0).Truncate(6 * time.Hour)
	testServices = []configurer.Service{
		{Name: "proof", Objective: configurer.Objective{Latency: 5 * time.Second, LatencyRatio: 0.95, SuccessRatio: 0.99, MinBadJobs: 1}},
		{Name: "quote", Objective: configurer.Objective{Latency: 2 * time.Second, LatencyRatio: 0.99, SuccessRatio: 0.999, MinBadJobs: 3}},
	}
)

func TestScripts(t *testing.T) {
	scripter.Run(t, "testdata/*.txtar", runScript)
}

// fixture has the recorders of several entries and the latest stored snapshot of each.
type fixture struct {
	t         *testing.T
	now       time.Time
	recorders map[string]*Recorder
	stored    map[string][]byte
	out       strings.Builder
}

func runScript(t *testing.T, lines []scripter.Line) string {
	f := &fixture{t: t, now: testStart, recorders: make(map[string]*Recorder), stored: make(map[string][]byte)}
	for _, l := range lines {
		f.apply(l)
	}
	return f.out.String()
}

func (f *fixture) apply(l scripter.Line) {
	switch l.Verb {
	case "jobs":
		f.jobs(l)
	case "wait":
		f.now = f.now.Add(f.duration(l, l.Args[0]))
	case "store":
		f.store(l.Args[0])
	case "replace":
		f.restart(l.Args[0])
	case "report":
		f.report(l)
	default:
		f.t.Fatalf("%s: unknown verb", l)
	}
}

// jobs records jobs at an entry, spread evenly over a span of time.
func (f *fixture) jobs(l scripter.Line) {
	count, err := strconv.Atoi(l.Arg("count"))
	if err != nil {
		f.t.Fatalf("%s: %v", l, err)
	}
	var step time.Duration
	if over := l.Arg("over"); over != "" {
		step = f.duration(l, over) / time.Duration(count)
	}
	event := Event{
		Service: l.Arg("service"),
		Outcome: submitter.OutcomeComplete,
		Reason:  submitter.Reason(l.Arg("reason")),
		Slow:    l.Arg("slow") == "true",
	}
	if event.Reason != "" {
		event.Outcome = submitter.OutcomeFailed
	}
	for range count {
		f.recorder(l.Arg("at")).Record(f.now, event)
		f.now = f.now.Add(step)
	}
}

func (f *fixture) recorder(entry string) *Recorder {
	if f.recorders[entry] == nil {
		f.recorders[entry] = New()
	}
	return f.recorders[entry]
}

func (f *fixture) store(entry string) {
	text, err := f.recorder(entry).Snapshot(f.now).Encode()
	if err != nil {
		f.t.Fatal(err)
	}
	f.stored[entry] = text
}

// restart replaces an entry's recorder by a new one that loads the stored snapshot.
func (f *fixture) restart(entry string) {
	f.recorders[entry] = New()
	if f.stored[entry] == nil {
		return
	}
	s, err := Decode(f.stored[entry])
	if err != nil {
		f.t.Fatal(err)
	}
	f.recorders[entry].Load(f.now, s)
}

func (f *fixture) report(l scripter.Line) {
	window := MaxWindow
	if text := l.Arg("window"); text != "" {
		window = f.duration(l, text)
	}
	var all []*Snapshot
	for _, entry := range []string{"e1", "e2", "e3"} {
		if r := f.recorders[entry]; r != nil {
			all = append(all, r.Snapshot(f.now))
		}
	}
	r := NewReport(f.now, window, testServices, Sum(all))
	fmt.Fprintf(&f.out, "after %s, over %s\n", f.now.Sub(testStart), window)
	for i := range r.Objectives {
		o := &r.Objectives[i]
		fmt.Fprintf(&f.out, "  %s %s %s: left %.3f, jobs %d, bad %d, excluded %d, burn", o.Service, o.Objective, o.Level, o.BudgetLeft, o.Jobs, o.Bad, o.Excluded)
		for _, rate := range o.Rates {
			fmt.Fprintf(&f.out, " %s=%.2f", time.Duration(rate.Window), rate.Burn)
		}
		for _, c := range o.Causes {
			fmt.Fprintf(&f.out, " %s:%d", c.Reason, c.Count)
		}
		fmt.Fprintln(&f.out)
	}
}

func (f *fixture) duration(l scripter.Line, text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		f.t.Fatalf("%s: %v", l, err)
	}
	return d
}

// TestSumIsOneRecorder checks that the sum of several recorders equals the content of
// one recorder of all events, however the events were distributed.
func TestSumIsOneRecorder(t *testing.T) {
	reasons := []submitter.Reason{"", submitter.ReasonTaskFailed, submitter.ReasonOverloaded, submitter.ReasonCancelled}
	rapid.Check(t, func(t *rapid.T) {
		now := testStart
		all, parts := New(), []*Recorder{New(), New(), New()}
		for range rapid.IntRange(0, 200).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 600).Draw(t, "gap")) * time.Second)
			e := Event{
				Service: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "service"),
				Outcome: submitter.OutcomeComplete,
				Reason:  rapid.SampledFrom(reasons).Draw(t, "reason"),
				Slow:    rapid.Bool().Draw(t, "slow"),
			}
			if e.Reason != "" {
				e.Outcome = submitter.OutcomeFailed
			}
			all.Record(now, e)
			parts[rapid.IntRange(0, 2).Draw(t, "entry")].Record(now, e)
		}
		var snapshots []*Snapshot
		for _, p := range parts {
			snapshots = append(snapshots, p.Snapshot(now))
		}
		if diff := cmp.Diff(all.Snapshot(now).Services, Sum(snapshots).Services); diff != "" {
			t.Fatalf("sum (-one recorder +sum):\n%s", diff)
		}
	})
}

// TestMemoryIsBounded checks that a recorder has only the buckets that the windows need
// after a year of events.
func TestMemoryIsBounded(t *testing.T) {
	r := New()
	now := testStart
	for range 365 * 24 * 60 {
		now = now.Add(time.Minute)
		r.Record(now, Event{Service: "quote", Outcome: submitter.OutcomeComplete})
	}
	var got []int
	for _, buckets := range r.Snapshot(now).Services[0].Tiers {
		got = append(got, len(buckets))
	}
	// A window overlaps one bucket more than its length divided by the bucket width.
	// One job a minute fills only every second bucket of the narrowest tier.
	if diff := cmp.Diff([]int{61, 73, 121}, got); diff != "" {
		t.Errorf("buckets (-want +got):\n%s", diff)
	}
}

// TestPage checks that the page shows every objective and the missing counts, and that
// it escapes the names of services.
func TestPage(t *testing.T) {
	r := New()
	r.Record(testStart, Event{Service: "<b>", Outcome: submitter.OutcomeFailed, Reason: submitter.ReasonTaskFailed})
	services := []configurer.Service{{Name: "<b>", Objective: configurer.Objective{SuccessRatio: 0.9}}}
	counts := r.Snapshot(testStart)
	report := NewReport(testStart, time.Hour, services, counts)
	report.Missing = []Missing{{Entry: "entry-9", Detail: "did not answer"}}
	page, err := Page(report, services, counts)
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"&lt;b&gt;", "task-failed 1", "entry-9: did not answer", "-900.0%", "data:image/svg&#43;xml;base64,"} {
		if !bytes.Contains(page, []byte(want)) {
			t.Errorf("the page lacks %q", want)
		}
	}
	if bytes.Contains(page, []byte("<b>")) {
		t.Error("the page has the service's name as markup")
	}
}

// TestPlotOfOneStep checks that the plot shows an objective whose jobs all fall into
// one step: a line alone would be invisible, since it needs two points.
func TestPlotOfOneStep(t *testing.T) {
	r := New()
	r.Record(testStart, Event{Service: "quote", Outcome: submitter.OutcomeFailed, Reason: submitter.ReasonTaskFailed})
	counts := r.Snapshot(testStart)
	report := NewReport(testStart, time.Hour, testServices, counts)
	plot, err := Plot(report, testServices, counts)
	if err != nil {
		t.Fatal(err)
	}
	if colour := lineColour(0); !bytes.Contains(bytes.ToLower(plot), []byte("fill:"+colour)) {
		t.Errorf("the plot has no dot of the colour %s", colour)
	}
}

// TestReportNames fixes the keys of the JSON form, which clients read.
func TestReportNames(t *testing.T) {
	r := New()
	r.Record(testStart, Event{Service: "quote", Outcome: submitter.OutcomeComplete, Slow: true})
	text, err := json.Marshal(NewReport(testStart, time.Hour, testServices[1:], r.Snapshot(testStart)).Objectives[0])
	if err != nil {
		t.Fatal(err)
	}
	want := `{"service":"quote","objective":"latency","target":0.99,"latency":"2s","jobs":1,"bad":1,"excluded":0,` +
		`"budget-left":-98.99999999999991,"min-bad-jobs":3,"rates":[{"window":"5m0s","bad":1,"burn":99.99999999999991},{"window":"30m0s","bad":1,"burn":99.99999999999991},` +
		`{"window":"1h0m0s","bad":1,"burn":99.99999999999991},{"window":"6h0m0s","bad":1,"burn":99.99999999999991}],"fastest":99.99999999999991,` +
		`"level":"ok","causes":[{"reason":"slow","count":1}]}`
	if diff := cmp.Diff(want, string(text)); diff != "" {
		t.Errorf("report (-want +got):\n%s", diff)
	}
}
