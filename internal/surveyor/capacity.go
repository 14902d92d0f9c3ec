package surveyor

import (
	"fmt"
	"math"
	"strings"

	"github.com/juju/errors"
)

// Size is a deployment to work out.
type Size struct {
	Agents          int
	Entries         int
	StartsPerSecond float64
	// TasksPerJob is the mean number of tasks of a job.
	TasksPerJob float64
	Teams       int
	// WindowSeconds is how long records and answers are kept.
	WindowSeconds float64
	// ChangesPerDay are changes of the configuration.
	ChangesPerDay float64
}

// PlannedSize is the size of the users' plan for two years.
var PlannedSize = Size{
	Agents:          900,
	Entries:         20,
	StartsPerSecond: 77_000,
	TasksPerJob:     58,
	Teams:           130,
	WindowSeconds:   stateWindow.Seconds(),
	ChangesPerDay:   800,
}

// Bounds of control a node, and of the store.
const (
	boundCore   = 0.04
	boundBytes  = 32 << 20
	boundRate   = 18_000
	boundReads  = 2_000
	boundWrites = 300
	// boundTaskTime stands for 10,000 starts a second of one core, in microseconds.
	boundTaskTime = 100
)

const secondsPerDay = 24 * 60 * 60

// CapacityRow is one figure of a role at a size.
type CapacityRow struct {
	Role, Figure, Unit, Formula string
	Value                       float64
	Bound                       float64 // Bound is zero where the users state none.
}

// ExceedsBound reports whether the value is beyond its bound.
func (l CapacityRow) ExceedsBound() bool { return l.Bound > 0 && l.Value > l.Bound }

// table finds slopes by name.
type table struct {
	slopes []Slope
	absent []string
}

func (t *table) fit(name string) Fit {
	for _, s := range t.slopes {
		if s.Name == name {
			return s.Fit
		}
	}
	t.absent = append(t.absent, name)
	return Fit{}
}

// sample returns the value that a slope has at a size that was measured.
func (t *table) sample(name string, size float64) float64 {
	for _, s := range t.slopes {
		for _, p := range s.Samples {
			if s.Name == name && p.Size == size {
				return p.Value
			}
		}
	}
	t.absent = append(t.absent, fmt.Sprintf("%s at %g", name, size))
	return 0
}

// Capacity works out the figures of each role at a size. It returns an error of
// kind [KindMissingSlope] that names the slopes that are missing.
func Capacity(slopes []Slope, z Size) ([]CapacityRow, error) {
	t := &table{slopes: slopes}
	lines := entryLines(t, z)
	lines = append(lines, agentLines(t, z)...)
	lines = append(lines, storeLines(t, z)...)
	lines = append(lines, administrationLines(t, z)...)
	lines = append(lines, clientLines(t, z)...)
	lines = append(lines, eventLines(t, z)...)
	if len(t.absent) > 0 {
		return nil, &Error{Op: "capacity", Kind: KindMissingSlope, Err: errors.New(strings.Join(t.absent, ", "))}
	}
	return lines, nil
}

func entryLines(t *table, z Size) []CapacityRow {
	agents, entries := float64(z.Agents), float64(z.Entries)
	starts := z.StartsPerSecond / entries
	jobs := starts / z.TasksPerJob
	keptJobs := jobs * z.WindowSeconds
	return []CapacityRow{
		{"entry", "idle processor time", "core", "entry-idle-core × agents", t.fit("entry-idle-core").At(agents), boundCore},
		{"entry", "resident memory, idle", "MiB", "entry-resident × agents", t.fit("entry-resident").At(agents) / (1 << 20), boundBytes >> 20},
		{"entry", "idle messages from and to agents", "1/s", "entry-idle-messages × agents", t.fit("entry-idle-messages").At(agents), 0},
		{"entry", "idle traffic with agents", "B/s", "entry-idle-bytes × agents", t.fit("entry-idle-bytes").At(agents), boundRate},
		{"entry", "traffic with the table", "B/s", "store-bytes + rows × changes a day", t.fit("store-bytes").PerUnit + changedRows(t, z), boundRate},
		{"entry", "memory of kept answers", "MiB", "entry-kept-task-bytes × starts/s × window", t.fit("entry-kept-task-bytes").PerUnit * starts * z.WindowSeconds / (1 << 20), 0},
		{"entry", "processor time of expiry", "core", "entry-job-tick × kept jobs × 100/s", t.fit("entry-job-tick").At(keptJobs) * 100 / 1e6, boundCore},
		{"entry", "processor time of jobs", "core", "entry-job-time × tasks × jobs/s", t.fit("entry-job-time").At(z.TasksPerJob) * jobs / 1e6, 0},
		{"entry", "messages of jobs", "1/s", "job-messages × tasks × jobs/s", t.fit("job-messages").At(z.TasksPerJob) * jobs, 0},
		{"entry", "bytes of jobs", "B/s", "job-bytes × tasks × jobs/s", t.fit("job-bytes").At(z.TasksPerJob) * jobs, 0},
		{"entry", "processor time of a job of one task", "us", "entry-job-time at 1", t.sample("entry-job-time", 1), boundTaskTime},
		{"entry", "processor time a task of jobs of the mean size", "us", "entry-job-time / tasks", t.fit("entry-job-time").At(z.TasksPerJob) / z.TasksPerJob, boundTaskTime},
		{"entry", "starts a second of one core", "1/s", "tasks / entry-job-time", z.TasksPerJob / t.fit("entry-job-time").At(z.TasksPerJob) * 1e6, 0},
		{"entry", "entries by processor time alone, at half a core each", "1", "starts/s / starts of a core × 2",
			math.Ceil(2 * z.StartsPerSecond / (z.TasksPerJob / t.fit("entry-job-time").At(z.TasksPerJob) * 1e6)), 0},
		{"entry", "connections", "1", "agents + entries - 1", agents + entries - 1, 0},
	}
}

// changedRows returns the bytes a second at which an entry reads the shared rows
// because the table changed: all of them once a change of the configuration, and
// the new version with them.
func changedRows(t *table, z Size) float64 {
	rows := t.fit("partition-row-bytes").At(256) + t.fit("roster-row-bytes").At(float64(z.Agents)) +
		t.fit("config-bytes").At(float64(z.Teams))
	return rows * z.ChangesPerDay / secondsPerDay
}

func agentLines(t *table, z Size) []CapacityRow {
	entries := float64(z.Entries)
	starts := z.StartsPerSecond / float64(z.Agents)
	records := starts * z.WindowSeconds
	perTask := t.fit("start-message-bytes").At(1) + t.fit("result-message-bytes").At(1)
	return []CapacityRow{
		{"agent", "idle processor time", "core", "agent-idle-core × entries", t.fit("agent-idle-core").At(entries), boundCore},
		{"agent", "resident memory, idle", "MiB", "agent-resident × entries", t.fit("agent-resident").At(entries) / (1 << 20), boundBytes >> 20},
		{"agent", "memory of records, one task a record", "MiB", "agent-record-bytes × starts/s × window", t.fit("agent-record-bytes").PerUnit * records / (1 << 20), boundBytes >> 20},
		{"agent", "processor time of expiry", "core", "agent-record-tick × records × 20/s", t.fit("agent-record-tick").At(records) * 20 / 1e6, boundCore},
		{"agent", "bytes of starts and results, one task a message", "B/s", "message bytes × starts/s", perTask * starts, 0},
	}
}

func storeLines(t *table, z Size) []CapacityRow {
	entries := float64(z.Entries)
	row := t.fit("partition-row-bytes")
	return []CapacityRow{
		{"table", "reads", "1/s", "store-reads × entries", t.fit("store-reads").At(entries), boundReads},
		{"table", "writes at rest", "1/s", "store-writes × entries", t.fit("store-writes").At(entries), boundWrites},
		{"table", "state: partitions", "B", "partition-row-bytes × 256", row.At(256), 0},
		{"table", "state: configuration in force", "B", "config-bytes × teams", t.fit("config-bytes").At(float64(z.Teams)), 0},
		{"table", "state: roster", "B", "roster-row-bytes × agents", t.fit("roster-row-bytes").At(float64(z.Agents)), 0},
		{"table", "configuration read by all entries", "B/s", "config-bytes × teams × changes a day × entries",
			t.fit("config-bytes").At(float64(z.Teams)) * z.ChangesPerDay / secondsPerDay * entries, 0},
	}
}

// listingsPerSecond is how often operators and their tools are taken to ask for the
// upstreams; it is chosen.
const listingsPerSecond = 0.2

func administrationLines(t *table, z Size) []CapacityRow {
	agents := float64(z.Agents)
	spent := t.fit("listing-time").At(agents)
	return []CapacityRow{
		{"administration", "configuration versions kept a day", "MiB", "config-bytes × teams × changes a day",
			t.fit("config-bytes").At(float64(z.Teams)) * z.ChangesPerDay / (1 << 20), 0},
		{"administration", "processor time to read one version", "ms", "config-parse-time × teams", t.fit("config-parse-time").At(float64(z.Teams)) / 1e3, 0},
		{"administration", "processor time of a listing of the upstreams, at each entry", "ms", "listing-time × agents", spent / 1e3, 0},
		{"administration", "bytes of a listing of the upstreams", "B", "listing-bytes × agents", t.fit("listing-bytes").At(agents), 0},
		{"administration", "processor time of listings, one in 5 s", "core", "listing-time × agents × 0.2/s", spent * listingsPerSecond / 1e6, boundCore},
	}
}

// largestJob is the number of tasks of the largest job.
const largestJob = 580

func clientLines(t *table, z Size) []CapacityRow {
	perJob := t.fit("client-job-time").At(z.TasksPerJob)
	return []CapacityRow{
		{"client library", "memory of the largest job in flight", "KiB", "client-job-bytes × 580", t.fit("client-job-bytes").At(largestJob) / (1 << 10), 0},
		{"client library", "processor time of a job", "us", "client-job-time × tasks", perJob, 0},
		{"client library", "processor time of all callers together", "core", "client-job-time × tasks × jobs/s", perJob * z.StartsPerSecond / z.TasksPerJob / 1e6, 0},
		{"client library", "jobs a second of all callers, one request and one answer each", "1/s", "starts/s / tasks", z.StartsPerSecond / z.TasksPerJob, 0},
	}
}

// eventLines has what failures and restarts cost, each as one event.
func eventLines(t *table, z Size) []CapacityRow {
	agents, entries := float64(z.Agents), float64(z.Entries)
	join := t.fit("entry-join-time").PerUnit
	joinBytes := t.fit("entry-join-bytes").PerUnit
	records := z.StartsPerSecond * z.WindowSeconds / entries
	jobs := z.StartsPerSecond / entries / z.TasksPerJob
	kept := jobs * z.WindowSeconds
	handover := t.fit("handover-message-bytes").PerUnit * kept
	return []CapacityRow{
		{"entry restarted", "bytes from and to agents", "MiB", "entry-join-bytes × agents", joinBytes * agents / (1 << 20), 0},
		{"entry restarted", "its processor time for all agents to join", "s", "entry-join-time × agents", join * agents / 1e6, 0},
		{"entry lost", "records that agents send its successors, one task a record", "1", "starts/s × window / entries", records, 0},
		{"entry lost", "bytes of these records", "MiB", "record-message-bytes × records", t.fit("record-message-bytes").PerUnit * records / (1 << 20), 0},
		{"entry lost", "processor time to code and decode them", "s", "record-message-time × records", t.fit("record-message-time").PerUnit * records / 1e6, 0},
		{"entry drained", "bytes of kept jobs that it passes on", "MiB", "handover-message-bytes × jobs/s × window", handover / (1 << 20), 0},
		{"entry drained", "messages with these records", "1", "bytes / 1 MiB", math.Ceil(handover / (1 << 20)), 0},
		{"entry drained", "processor time to code and decode them", "s", "handover-message-time × jobs/s × window", t.fit("handover-message-time").PerUnit * kept / 1e6, 0},
		{"two regions", "bytes an entry passes to the other region and gets back, half of its jobs", "B/s", "(forward- + answer-message-bytes) × tasks × jobs/s / 2",
			(t.fit("forward-message-bytes").At(z.TasksPerJob) + t.fit("answer-message-bytes").At(z.TasksPerJob)) * jobs / 2, 0},
		{"data centre lost", "records that agents send, a fifth of the entries lost", "1", "starts/s × window / 5", z.StartsPerSecond * z.WindowSeconds / 5, 0},
		{"data centre lost", "bytes of these records over all entries", "MiB", "record-message-bytes × records",
			t.fit("record-message-bytes").PerUnit * z.StartsPerSecond * z.WindowSeconds / 5 / (1 << 20), 0},
		{"all back at once", "connections over all entries", "1", "agents × entries", agents * entries, 0},
		{"all back at once", "processor time of each entry for all agents to join", "s", "entry-join-time × agents", join * agents / 1e6, 0},
		{"store down", "calls that entries try", "1/s", "store-reads × entries × 4 tries", t.fit("store-reads").At(entries) * 4, boundReads},
	}
}

// Report returns the slopes and the capacity at a size as Markdown tables.
func Report(slopes []Slope, z Size) (string, error) {
	lines, err := Capacity(slopes, z)
	if err != nil {
		return "", err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "Size: %d agents, %d entries, %.0f starts a second in jobs of %.0f tasks on average, %d teams, a window of %.0f s.\n\n",
		z.Agents, z.Entries, z.StartsPerSecond, z.TasksPerJob, z.Teams, z.WindowSeconds)
	b.WriteString("| Role | Figure | Value | Unit | Bound | | Slope × size |\n|---|---|--:|---|--:|---|---|\n")
	for _, l := range lines {
		bound, verdict := "", ""
		if l.Bound > 0 {
			bound, verdict = number(l.Bound), "ok"
		}
		if l.ExceedsBound() {
			verdict = fmt.Sprintf("**over, %.1f times**", l.Value/l.Bound)
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s | %s |\n", l.Role, l.Figure, number(l.Value), l.Unit, bound, verdict, l.Formula)
	}
	b.WriteString("\n| Slope | Unit | Per | Base | Slope ± error | Sizes: values |\n|---|---|---|--:|--:|---|\n")
	for _, s := range slopes {
		var points []string
		for _, p := range s.Samples {
			points = append(points, number(p.Size)+": "+number(p.Value))
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s ± %s | %s |\n",
			s.Name, s.Unit, s.Per, number(s.Fit.Base), number(s.Fit.PerUnit), number(s.Fit.StandardError), strings.Join(points, "; "))
	}
	return b.String(), nil
}

// number writes a value with three significant digits, without an exponent where
// that is readable.
func number(v float64) string {
	switch a := math.Abs(v); {
	case a >= 1000:
		return fmt.Sprintf("%.0f", v)
	case a >= 1:
		return fmt.Sprintf("%.3g", v)
	case a < 1e-9:
		return "0"
	}
	return fmt.Sprintf("%.2g", v)
}
