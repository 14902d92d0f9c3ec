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

// bench has the recorders of several entries and what each has stored.
type bench struct {
	t         *testing.T
	now       time.Time
	recorders map[string]*Recorder
	stored    map[string][]byte
	out       strings.Builder
}

func runScript(t *testing.T, lines []scripter.Line) string {
	b := &bench{t: t, now: testStart, recorders: make(map[string]*Recorder), stored: make(map[string][]byte)}
	for _, l := range lines {
		b.apply(l)
	}
	return b.out.String()
}

func (b *bench) apply(l scripter.Line) {
	switch l.Verb {
	case "jobs":
		b.jobs(l)
	case "wait":
		b.now = b.now.Add(b.duration(l, l.Args[0]))
	case "store":
		b.store(l.Args[0])
	case "replace":
		b.replace(l.Args[0])
	case "report":
		b.report(l)
	default:
		b.t.Fatalf("%s: unknown verb", l)
	}
}

// jobs records jobs at an entry, spread evenly over a span of time.
func (b *bench) jobs(l scripter.Line) {
	count, err := strconv.Atoi(l.Arg("count"))
	if err != nil {
		b.t.Fatalf("%s: %v", l, err)
	}
	var step time.Duration
	if over := l.Arg("over"); over != "" {
		step = b.duration(l, over) / time.Duration(count)
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
		b.recorder(l.Arg("at")).Record(b.now, event)
		b.now = b.now.Add(step)
	}
}

func (b *bench) recorder(entry string) *Recorder {
	if b.recorders[entry] == nil {
		b.recorders[entry] = New()
	}
	return b.recorders[entry]
}

func (b *bench) store(entry string) {
	text, err := b.recorder(entry).Snapshot(b.now).Encode()
	if err != nil {
		b.t.Fatal(err)
	}
	b.stored[entry] = text
}

// replace begins an entry anew from what was stored of it.
func (b *bench) replace(entry string) {
	b.recorders[entry] = New()
	if b.stored[entry] == nil {
		return
	}
	s, err := Decode(b.stored[entry])
	if err != nil {
		b.t.Fatal(err)
	}
	b.recorders[entry].Load(b.now, s)
}

func (b *bench) report(l scripter.Line) {
	window := MaxWindow
	if text := l.Arg("window"); text != "" {
		window = b.duration(l, text)
	}
	var all []*Snapshot
	for _, entry := range []string{"e1", "e2", "e3"} {
		if r := b.recorders[entry]; r != nil {
			all = append(all, r.Snapshot(b.now))
		}
	}
	r := NewReport(b.now, window, testServices, Sum(all))
	fmt.Fprintf(&b.out, "after %s, over %s\n", b.now.Sub(testStart), window)
	for i := range r.Objectives {
		o := &r.Objectives[i]
		fmt.Fprintf(&b.out, "  %s %s %s: left %.3f, jobs %d, bad %d, excluded %d, burn", o.Service, o.Objective, o.Level, o.BudgetLeft, o.Jobs, o.Bad, o.Excluded)
		for _, rate := range o.Rates {
			fmt.Fprintf(&b.out, " %s=%.2f", time.Duration(rate.Window), rate.Burn)
		}
		for _, c := range o.Causes {
			fmt.Fprintf(&b.out, " %s:%d", c.Reason, c.Count)
		}
		fmt.Fprintln(&b.out)
	}
}

func (b *bench) duration(l scripter.Line, text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		b.t.Fatalf("%s: %v", l, err)
	}
	return d
}

// TestSumIsOneRecorder checks that the sum of several recorders is what one
// recorder of all events would have, whatever entry each event reached.
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

// TestMemoryIsBounded checks that a recorder keeps no more buckets after a year
// than the windows need.
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
	// A window overlaps one bucket more than its length divided by their width. A
	// job a minute fills every second bucket of the narrowest tier.
	if diff := cmp.Diff([]int{61, 73, 121}, got); diff != "" {
		t.Errorf("buckets (-want +got):\n%s", diff)
	}
}

// TestPage checks that the page has every objective, what is missing, and no
// text of a service as markup.
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

// TestPlotOfOneStep checks that an objective whose jobs all fall into one step is
// drawn: a line needs two points to be seen.
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

// TestReportNames pins the keys of the JSON form.
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
