package surveyor

import (
	"fmt"
	"math"
	"strings"

	"github.com/juju/errors"
)

// Size is the size of a deployment whose capacity is computed.
type Size struct {
	Agents          int
	Entries         int
	StartsPerSecond float64
	// TasksPerJob is the mean number of tasks of a job.
	TasksPerJob float64
	Teams       int
	// WindowSeconds is how long records and answers are kept.
	WindowSeconds float64
	// ChangesPerDay is the number of configuration changes a day.
	ChangesPerDay float64
}

// PlannedSize is the size that the users plan to reach within two years.
var PlannedSize = Size{
	Agents:          900,
	Entries:         20,
	StartsPerSecond: 77_000,
	TasksPerJob:     58,
	Teams:           130,
	WindowSeconds:   retentionWindow.Seconds(),
	ChangesPerDay:   800,
}

// Bounds on the cost of control traffic and state for each process, and on the load
// of the store.
const (
	boundCore           = 0.04
	boundBytes          = 32 << 20
	boundBytesPerSecond = 18_000
	boundReads          = 2_000
	boundWrites         = 300
	// boundMicrosecondsPerTask corresponds to 10,000 starts a second on one core.
	boundMicrosecondsPerTask = 100
)

const secondsPerDay = 24 * 60 * 60

// CapacityRow is one figure for a role at a size, with its bound.
type CapacityRow struct {
	Role, Figure, Unit, Formula string
	Value                       float64
	Bound                       float64 // zero if the users set none
}

// ExceedsBound reports whether the value exceeds its bound. It is false if there is no
// bound.
func (l CapacityRow) ExceedsBound() bool { return l.Bound > 0 && l.Value > l.Bound }

// slopeTable looks up slopes by name and records the names that it does not find.
type slopeTable struct {
	slopes  []Slope
	missing []string
}

func (t *slopeTable) fit(name string) Fit {
	for _, s := range t.slopes {
		if s.Name == name {
			return s.Fit
		}
	}
	t.missing = append(t.missing, name)
	return Fit{}
}

// sample returns the measured value of a slope at a size.
func (t *slopeTable) sample(name string, size float64) float64 {
	for _, s := range t.slopes {
		for _, p := range s.Samples {
			if s.Name == name && p.Size == size {
				return p.Value
			}
		}
	}
	t.missing = append(t.missing, fmt.Sprintf("%s at %g", name, size))
	return 0
}

// Capacity computes the figures of each role at a size. If slopes are missing it
// returns an error of kind [KindMissingSlope] that names them.
func Capacity(slopes []Slope, z Size) ([]CapacityRow, error) {
	t := &slopeTable{slopes: slopes}
	lines := entryRows(t, z)
	lines = append(lines, agentRows(t, z)...)
	lines = append(lines, storeRows(t, z)...)
	lines = append(lines, administrationRows(t, z)...)
	lines = append(lines, clientRows(t, z)...)
	lines = append(lines, eventRows(t, z)...)
	if len(t.missing) > 0 {
		return nil, &Error{Op: "capacity", Kind: KindMissingSlope, Err: errors.New(strings.Join(t.missing, ", "))}
	}
	return lines, nil
}

func entryRows(t *slopeTable, z Size) []CapacityRow {
	agents, entries := float64(z.Agents), float64(z.Entries)
	starts := z.StartsPerSecond / entries
	jobs := starts / z.TasksPerJob
	keptJobs := jobs * z.WindowSeconds
	return []CapacityRow{
		{"entry", "idle processor time", "core", "entry-idle-core × agents", t.fit("entry-idle-core").At(agents), boundCore},
		{"entry", "resident memory, idle", "MiB", "entry-resident × agents", t.fit("entry-resident").At(agents) / (1 << 20), boundBytes >> 20},
		{"entry", "idle messages from and to agents", "1/s", "entry-idle-messages × agents", t.fit("entry-idle-messages").At(agents), 0},
		{"entry", "idle traffic with agents", "B/s", "entry-idle-bytes × agents", t.fit("entry-idle-bytes").At(agents), boundBytesPerSecond},
		{"entry", "traffic with the table", "B/s", "store-bytes + rows × changes a day", t.fit("store-bytes").PerUnit + tableChangeTraffic(t, z), boundBytesPerSecond},
		{"entry", "memory of kept answers", "MiB", "entry-kept-task-bytes × starts/s × window", t.fit("entry-kept-task-bytes").PerUnit * starts * z.WindowSeconds / (1 << 20), 0},
		{"entry", "processor time of expiry", "core", "entry-job-tick × kept jobs × 100/s", t.fit("entry-job-tick").At(keptJobs) * 100 / 1e6, boundCore},
		{"entry", "processor time of jobs", "core", "entry-job-time × tasks × jobs/s", t.fit("entry-job-time").At(z.TasksPerJob) * jobs / 1e6, 0},
		{"entry", "messages of jobs", "1/s", "job-messages × tasks × jobs/s", t.fit("job-messages").At(z.TasksPerJob) * jobs, 0},
		{"entry", "bytes of jobs", "B/s", "job-bytes × tasks × jobs/s", t.fit("job-bytes").At(z.TasksPerJob) * jobs, 0},
		{"entry", "processor time of a job of one task", "us", "entry-job-time at 1", t.sample("entry-job-time", 1), boundMicrosecondsPerTask},
		{"entry", "processor time a task of jobs of the mean size", "us", "entry-job-time / tasks", t.fit("entry-job-time").At(z.TasksPerJob) / z.TasksPerJob, boundMicrosecondsPerTask},
		{"entry", "starts a second of one core", "1/s", "tasks / entry-job-time", z.TasksPerJob / t.fit("entry-job-time").At(z.TasksPerJob) * 1e6, 0},
		{"entry", "entries by processor time alone, at half a core each", "1", "starts/s / starts of a core × 2",
			math.Ceil(2 * z.StartsPerSecond / (z.TasksPerJob / t.fit("entry-job-time").At(z.TasksPerJob) * 1e6)), 0},
		{"entry", "connections", "1", "agents + entries - 1", agents + entries - 1, 0},
	}
}

// tableChangeTraffic returns the bytes a second that an entry reads because the table
// changed: for each change of the configuration, all shared rows and the new version.
func tableChangeTraffic(t *slopeTable, z Size) float64 {
	rows := t.fit("partition-row-bytes").At(256) + t.fit("roster-row-bytes").At(float64(z.Agents)) +
		t.fit("config-bytes").At(float64(z.Teams))
	return rows * z.ChangesPerDay / secondsPerDay
}

func agentRows(t *slopeTable, z Size) []CapacityRow {
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

func storeRows(t *slopeTable, z Size) []CapacityRow {
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

// listingsPerSecond is the assumed rate at which operators and their tools list the
// upstreams.
const listingsPerSecond = 0.2

func administrationRows(t *slopeTable, z Size) []CapacityRow {
	agents := float64(z.Agents)
	listingTime := t.fit("listing-time").At(agents)
	return []CapacityRow{
		{"administration", "configuration versions kept a day", "MiB", "config-bytes × teams × changes a day",
			t.fit("config-bytes").At(float64(z.Teams)) * z.ChangesPerDay / (1 << 20), 0},
		{"administration", "processor time to read one version", "ms", "config-parse-time × teams", t.fit("config-parse-time").At(float64(z.Teams)) / 1e3, 0},
		{"administration", "processor time of a listing of the upstreams, at each entry", "ms", "listing-time × agents", listingTime / 1e3, 0},
		{"administration", "bytes of a listing of the upstreams", "B", "listing-bytes × agents", t.fit("listing-bytes").At(agents), 0},
		{"administration", "processor time of listings, one in 5 s", "core", "listing-time × agents × 0.2/s", listingTime * listingsPerSecond / 1e6, boundCore},
	}
}

// largestJob is the number of tasks of the largest job.
const largestJob = 580

func clientRows(t *slopeTable, z Size) []CapacityRow {
	perJob := t.fit("client-job-time").At(z.TasksPerJob)
	return []CapacityRow{
		{"client library", "memory of the largest job in flight", "KiB", "client-job-bytes × 580", t.fit("client-job-bytes").At(largestJob) / (1 << 10), 0},
		{"client library", "processor time of a job", "us", "client-job-time × tasks", perJob, 0},
		{"client library", "processor time of all callers together", "core", "client-job-time × tasks × jobs/s", perJob * z.StartsPerSecond / z.TasksPerJob / 1e6, 0},
		{"client library", "jobs a second of all callers, one request and one answer each", "1/s", "starts/s / tasks", z.StartsPerSecond / z.TasksPerJob, 0},
	}
}

// eventRows returns the cost of failures and restarts, each as a single event.
func eventRows(t *slopeTable, z Size) []CapacityRow {
	agents, entries := float64(z.Agents), float64(z.Entries)
	joinTime := t.fit("entry-join-time").PerUnit
	joinBytes := t.fit("entry-join-bytes").PerUnit
	records := z.StartsPerSecond * z.WindowSeconds / entries
	jobs := z.StartsPerSecond / entries / z.TasksPerJob
	keptJobs := jobs * z.WindowSeconds
	handover := t.fit("handover-message-bytes").PerUnit * keptJobs
	return []CapacityRow{
		{"entry restarted", "bytes from and to agents", "MiB", "entry-join-bytes × agents", joinBytes * agents / (1 << 20), 0},
		{"entry restarted", "its processor time for all agents to join", "s", "entry-join-time × agents", joinTime * agents / 1e6, 0},
		{"entry lost", "records that agents send its successors, one task a record", "1", "starts/s × window / entries", records, 0},
		{"entry lost", "bytes of these records", "MiB", "record-message-bytes × records", t.fit("record-message-bytes").PerUnit * records / (1 << 20), 0},
		{"entry lost", "processor time to code and decode them", "s", "record-message-time × records", t.fit("record-message-time").PerUnit * records / 1e6, 0},
		{"entry drained", "bytes of kept jobs that it passes on", "MiB", "handover-message-bytes × jobs/s × window", handover / (1 << 20), 0},
		{"entry drained", "messages with these records", "1", "bytes / 1 MiB", math.Ceil(handover / (1 << 20)), 0},
		{"entry drained", "processor time to code and decode them", "s", "handover-message-time × jobs/s × window", t.fit("handover-message-time").PerUnit * keptJobs / 1e6, 0},
		{"two regions", "bytes an entry passes to the other region and gets back, half of its jobs", "B/s", "(forward- + answer-message-bytes) × tasks × jobs/s / 2",
			(t.fit("forward-message-bytes").At(z.TasksPerJob) + t.fit("answer-message-bytes").At(z.TasksPerJob)) * jobs / 2, 0},
		{"data centre lost", "records that agents send, a fifth of the entries lost", "1", "starts/s × window / 5", z.StartsPerSecond * z.WindowSeconds / 5, 0},
		{"data centre lost", "bytes of these records over all entries", "MiB", "record-message-bytes × records",
			t.fit("record-message-bytes").PerUnit * z.StartsPerSecond * z.WindowSeconds / 5 / (1 << 20), 0},
		{"all back at once", "connections over all entries", "1", "agents × entries", agents * entries, 0},
		{"all back at once", "processor time of each entry for all agents to join", "s", "entry-join-time × agents", joinTime * agents / 1e6, 0},
		{"store down", "calls that entries try", "1/s", "store-reads × entries × 4 tries", t.fit("store-reads").At(entries) * 4, boundReads},
	}
}

// Report returns the capacity at a size, and the slopes, as Markdown tables.
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
			bound, verdict = formatNumber(l.Bound), "ok"
		}
		if l.ExceedsBound() {
			verdict = fmt.Sprintf("**over, %.1f times**", l.Value/l.Bound)
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s | %s | %s |\n", l.Role, l.Figure, formatNumber(l.Value), l.Unit, bound, verdict, l.Formula)
	}
	b.WriteString("\n| Slope | Unit | Per | Base | Slope ± error | Sizes: values |\n|---|---|---|--:|--:|---|\n")
	for _, s := range slopes {
		var points []string
		for _, p := range s.Samples {
			points = append(points, formatNumber(p.Size)+": "+formatNumber(p.Value))
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %s ± %s | %s |\n",
			s.Name, s.Unit, s.Per, formatNumber(s.Fit.Base), formatNumber(s.Fit.PerUnit), formatNumber(s.Fit.StandardError), strings.Join(points, "; "))
	}
	return b.String(), nil
}

// formatNumber formats a value for a table: from 1 with three significant digits,
// below 1 with two, from 1000 as a whole number.
func formatNumber(v float64) string {
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
