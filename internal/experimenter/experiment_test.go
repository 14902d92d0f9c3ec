package experimenter

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"sardinelock.dev/sardinelock/internal/placer"
	"sardinelock.dev/sardinelock/internal/scripter"
)

func TestScenarios(t *testing.T) {
	scripter.Run(t, "testdata/*.txtar", runScenario)
}

// scenarioRun is the execution of one script: its scenario and the latest results.
type scenarioRun struct {
	t        *testing.T
	scenario Scenario
	settings Settings
	workload *Workload
	ideal    Summary
	include  func(*Job) bool
	summary  Summary
	result   *Result
	out      strings.Builder
}

func runScenario(t *testing.T, lines []scripter.Line) string {
	t.Parallel()
	b := &scenarioRun{t: t, include: func(*Job) bool { return true }, scenario: Scenario{
		Seed: 1, Duration: time.Minute, Entries: 3, Agents: 11, Slots: 8, Teams: 6,
		Sizes: SizeUsual, DeclaredError: 0.5, LossRatio: 1e-4,
	}}
	for _, l := range lines {
		b.apply(l)
	}
	return b.out.String()
}

func (b *scenarioRun) apply(l scripter.Line) {
	switch l.Verb {
	case "scenario":
		b.configure(l)
	case "fault":
		b.scenario.Faults = append(b.scenario.Faults, b.fault(l))
	case "quota":
		b.settings.Quotas = append(b.settings.Quotas, placer.Quota{
			Team: l.Arg("team"), Slots: int(b.number(l.Arg("slots"))), StartsPerSecond: b.number(l.Arg("starts")),
		})
	case "only":
		b.restrict(l)
	case "run":
		b.run(l.Args[0])
	case "bound":
		b.bound(l)
	default:
		b.t.Fatalf("%v: unknown verb", l)
	}
}

func (b *scenarioRun) configure(l scripter.Line) {
	sc := &b.scenario
	for _, arg := range l.Args {
		key, value, _ := strings.Cut(arg, "=")
		switch key {
		case "seed":
			sc.Seed = uint64(b.number(value))
		case "duration":
			sc.Duration = scripter.Duration(b.t, value)
		case "entries":
			sc.Entries = int(b.number(value))
		case "agents":
			sc.Agents = int(b.number(value))
		case "teams":
			sc.Teams = int(b.number(value))
		case "sizes":
			sc.Sizes = SizeKind(value)
		case "load":
			sc.Load = b.number(value)
		case "burst":
			sc.Burst = b.number(value)
		case "burst-at":
			sc.BurstAt = scripter.Duration(b.t, value)
		case "burst-for":
			sc.BurstDuration = scripter.Duration(b.t, value)
		case "flood":
			sc.Overload = b.number(value)
		case "declared-error":
			sc.DeclaredError = b.number(value)
		case "declared-factor":
			sc.DeclaredFactor = b.number(value)
		case "deadline":
			sc.Deadline = scripter.Duration(b.t, value)
		case "loss":
			sc.LossRatio = b.number(value)
		default:
			b.t.Fatalf("%v: unknown argument %s", l, key)
		}
	}
}

func (b *scenarioRun) fault(l scripter.Line) Fault {
	f := Fault{Kind: FaultKind(l.Args[0]), At: scripter.Duration(b.t, l.Arg("at"))}
	if text := l.Arg("agents"); text != "" {
		for n := range strings.SplitSeq(text, ",") {
			f.Agents = append(f.Agents, int(b.number(n)))
		}
	}
	if text := l.Arg("entry"); text != "" {
		f.Entry = int(b.number(text))
	}
	if text := l.Arg("for"); text != "" {
		f.Duration = scripter.Duration(b.t, text)
	}
	if text := l.Arg("factor"); text != "" {
		f.Factor = b.number(text)
	}
	return f
}

// restrict limits the statistics to some jobs.
func (b *scenarioRun) restrict(l scripter.Line) {
	var after time.Duration
	if text := l.Arg("after"); text != "" {
		after = scripter.Duration(b.t, text)
	}
	notTeam := -1
	if text := l.Arg("not-team"); text != "" {
		notTeam = int(b.number(text))
	}
	b.include = func(j *Job) bool { return j.At >= after && j.Team != notTeam }
}

// run runs one system and prints a line of its statistics.
func (b *scenarioRun) run(name string) {
	if b.workload == nil {
		b.workload = NewWorkload(&b.scenario)
		fmt.Fprintf(&b.out, "jobs=%d\n", len(b.workload.Jobs))
		fmt.Fprintf(&b.out, "%-13s %6s %6s %6s %9s %7s %7s %7s %7s\n",
			"system", "mean", "p50", "p99", "messages", "wasted", "failed", "refused", "goodput")
		b.ideal = b.summarize(RunIdeal(&b.scenario, b.workload))
		b.report("ideal")
	}
	switch name {
	case "sardinelock":
		b.summary = b.summarize(Run(&b.scenario, b.workload, b.settings))
		if b.result.MaxOvercommit > 0 {
			b.t.Errorf("an upstream ran %d tasks more than it has slots", b.result.MaxOvercommit)
		}
	case "no-credits":
		s := b.settings
		s.NoCredits = true
		b.summary = b.summarize(Run(&b.scenario, b.workload, s))
	default:
		b.summary = b.summarize(RunBaseline(&b.scenario, b.workload, Policy(name)))
	}
	b.report(name)
}

func (b *scenarioRun) summarize(r *Result) Summary {
	b.result = r
	b.summary = r.Summarize(b.workload, b.scenario.Duration, b.include)
	return b.summary
}

func (b *scenarioRun) report(name string) {
	s := b.summary
	fmt.Fprintf(&b.out, "%-13s %6.3f %6.3f %6.3f %9.3f %6.2f%% %6.2f%% %6.2f%% %7.2f\n", name,
		ratio(s.Mean, b.ideal.Mean), ratio(s.P50, b.ideal.P50), ratio(s.P99, b.ideal.P99),
		s.MessagesPerTask, 100*s.WastedMessageRatio, 100*s.Failed, 100*s.Refused, s.Goodput)
}

// bound checks a statistic of the latest system.
func (b *scenarioRun) bound(l scripter.Line) {
	figures := map[string]float64{
		"mean":   ratio(b.summary.Mean, b.ideal.Mean),
		"p99":    ratio(b.summary.P99, b.ideal.P99),
		"wasted": b.summary.WastedMessageRatio,
		"failed": b.summary.Failed,
	}
	switch l.Args[0] {
	case "p99-of-unflooded":
		figures[l.Args[0]] = ratio(b.summary.P99, b.withoutOverload().P99)
	case "goodput-lost":
		figures[l.Args[0]] = 1 - b.summary.Goodput/b.atCapacity().Goodput
	}
	got, known := figures[l.Args[0]]
	if !known {
		b.t.Fatalf("%v: unknown figure", l)
	}
	if want := b.number(l.Args[1]); got > want {
		b.t.Errorf("%v: got %.4f", l, got)
	}
}

// withoutOverload returns the statistics of the same arrivals without the overload.
func (b *scenarioRun) withoutOverload() Summary {
	sc := b.scenario
	w := &Workload{}
	for _, j := range b.workload.Jobs {
		if b.include(&j) {
			w.Jobs = append(w.Jobs, j)
		}
	}
	s := Run(&sc, w, b.settings).Summarize(w, sc.Duration, b.include)
	fmt.Fprintf(&b.out, "%-13s %6.3f %6.3f %6.3f\n", "unflooded",
		ratio(s.Mean, b.ideal.Mean), ratio(s.P50, b.ideal.P50), ratio(s.P99, b.ideal.P99))
	return s
}

// atCapacity returns the statistics of the scenario at a load of 1.
func (b *scenarioRun) atCapacity() Summary {
	sc := b.scenario
	sc.Load = 1
	w := NewWorkload(&sc)
	s := Run(&sc, w, b.settings).Summarize(w, sc.Duration, b.include)
	fmt.Fprintf(&b.out, "%-13s goodput %.2f\n", "at capacity", s.Goodput)
	return s
}

func ratio(a, b time.Duration) float64 { return a.Seconds() / b.Seconds() }

func (b *scenarioRun) number(text string) float64 {
	if text == "" {
		return 0
	}
	n, err := strconv.ParseFloat(text, 64)
	if err != nil {
		b.t.Fatal(err)
	}
	return n
}
