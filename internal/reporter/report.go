package reporter

import (
	"cmp"
	"slices"
	"time"

	"sardinelock.dev/sardinelock/internal/configurer"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// Objective names one of the objectives of a service.
type Objective string

// The objectives.
const (
	// ObjectiveLatency is the share of complete jobs that are fast enough.
	ObjectiveLatency Objective = "latency"
	// ObjectiveSuccess is the share of jobs that are complete.
	ObjectiveSuccess Objective = "success"
)

// Level is the urgency of an operator's reaction to the burn rates.
type Level string

// The levels.
const (
	LevelOK     Level = "ok"
	LevelTicket Level = "ticket" // The budget is used up within days: react within a day.
	LevelPage   Level = "page"   // The budget is used up within hours: react now.
)

// ReasonSlow is the cause of all bad jobs of a latency objective.
const ReasonSlow submitter.Reason = "slow"

// windowPair is a pair of windows. Its level is raised if the burn rates of both
// windows reach the threshold: the long window shows that the loss of budget is
// significant, the short window that it is still continuing. The short window must
// also have the objective's minimum number of bad jobs.
type windowPair struct {
	short, long time.Duration
	threshold   float64
	level       Level
}

// windowPairs are ordered by urgency. At the thresholds, a service uses up 2% of a
// thirty-day budget in one hour and 5% in six hours.
var windowPairs = [...]windowPair{
	{5 * time.Minute, time.Hour, 14.4, LevelPage},
	{30 * time.Minute, 6 * time.Hour, 6, LevelTicket},
}

// Report is the state of every objective, ordered by burn rate, highest first.
type Report struct {
	Made time.Time `json:"made"`
	// Window is the period over which budgets and causes are counted.
	Window     submitter.Duration `json:"window"`
	Objectives []Burn             `json:"objectives"`
	// Missing lists the counts that are missing; empty if the report is complete.
	Missing []Missing `json:"missing,omitempty"`
}

// Burn is the state of one objective of one service.
type Burn struct {
	Service   string    `json:"service"`
	Objective Objective `json:"objective"`
	// Target is the share of jobs that must be good.
	Target float64 `json:"target"`
	// Latency is the longest response time that counts as good. It is set for the
	// latency objective only.
	Latency submitter.Duration `json:"latency,omitzero"`
	// Jobs and Bad count the jobs within the report's window. Excluded counts the jobs
	// whose outcome the caller has caused; they are neither in Jobs nor in Bad.
	Jobs     uint64 `json:"jobs"`
	Bad      uint64 `json:"bad"`
	Excluded uint64 `json:"excluded"`
	// BudgetLeft is the remaining share of the error budget, at most 1; it is negative
	// once the budget is overdrawn.
	BudgetLeft float64 `json:"budget-left"`
	// MinBadJobs is the number of bad jobs that the short window of a pair must have
	// before the pair raises the level.
	MinBadJobs int `json:"min-bad-jobs"`
	// Rates has the burn rate of each window, shortest window first. At a rate of 1
	// the budget lasts exactly as long as its window.
	Rates []Rate `json:"rates"`
	// Fastest is the highest burn rate that both windows of some pair reach.
	Fastest float64 `json:"fastest"`
	Level   Level   `json:"level"`
	// Causes counts the bad jobs within the report's window by reason, largest count
	// first.
	Causes []ReasonCount `json:"causes,omitempty"`
}

// Rate is the burn rate of one window.
type Rate struct {
	Window submitter.Duration `json:"window"`
	Bad    uint64             `json:"bad"` // Number of bad jobs within the window.
	Burn   float64            `json:"burn"`
}

// Missing describes counts that are missing from a report.
type Missing struct {
	// Entry is the entry whose counts are incomplete, or a description of several.
	Entry string `json:"entry"`
	// Age is the age of the counts in use; absent if there are none.
	Age    submitter.Duration `json:"age,omitzero"`
	Detail string             `json:"detail"`
}

// NewReport returns a report on the objectives of the services, including services
// that had no jobs. A window longer than [MaxWindow] is shortened to it.
func NewReport(now time.Time, window time.Duration, services []configurer.Service, counts *Snapshot) *Report {
	window = min(window, MaxWindow)
	r := &Report{Made: now, Window: submitter.Duration(window)}
	for i := range services {
		s := &services[i]
		c := counts.service(s.Name)
		for _, o := range Objectives() {
			if Target(s, o) > 0 {
				r.Objectives = append(r.Objectives, newBurn(now, window, s, o, c))
			}
		}
	}
	slices.SortStableFunc(r.Objectives, func(a, b Burn) int {
		return cmp.Or(
			-cmp.Compare(a.Fastest, b.Fastest),
			cmp.Compare(a.BudgetLeft, b.BudgetLeft),
			cmp.Compare(a.Service, b.Service),
		)
	})
	return r
}

func (s *Snapshot) service(name string) *ServiceCounts {
	for i := range s.Services {
		if s.Services[i].Service == name {
			return &s.Services[i]
		}
	}
	return &ServiceCounts{Service: name}
}

func newBurn(now time.Time, window time.Duration, s *configurer.Service, o Objective, c *ServiceCounts) Burn {
	sum := c.window(now, window)
	jobs, bad := objectiveCounts(o, &sum)
	out := Burn{
		Service:    s.Name,
		Objective:  o,
		Target:     Target(s, o),
		Jobs:       jobs,
		Bad:        bad,
		Excluded:   sum.Excluded,
		BudgetLeft: 1 - burnRate(s, o, &sum),
		MinBadJobs: s.Objective.MinBadJobs,
		Level:      LevelOK,
		Causes:     causes(o, &sum),
	}
	if o == ObjectiveLatency {
		out.Latency = submitter.Duration(s.Objective.Latency)
	}
	for _, p := range windowPairs {
		out.addWindowPair(now, p, s, c)
	}
	slices.SortFunc(out.Rates, func(a, b Rate) int { return cmp.Compare(a.Window, b.Window) })
	return out
}

func (b *Burn) addWindowPair(now time.Time, p windowPair, s *configurer.Service, c *ServiceCounts) {
	short, long := windowRate(now, p.short, s, b.Objective, c), windowRate(now, p.long, s, b.Objective, c)
	b.Rates = append(b.Rates, short, long)
	both := min(short.Burn, long.Burn)
	b.Fastest = max(b.Fastest, both)
	enoughBad := short.Bad >= uint64(b.MinBadJobs)
	if both >= p.threshold && enoughBad && b.Level == LevelOK {
		b.Level = p.level
	}
}

func windowRate(now time.Time, window time.Duration, s *configurer.Service, o Objective, c *ServiceCounts) Rate {
	sum := c.window(now, window)
	_, bad := objectiveCounts(o, &sum)
	return Rate{Window: submitter.Duration(window), Bad: bad, Burn: burnRate(s, o, &sum)}
}

// Objectives returns the objectives that each service may have.
func Objectives() []Objective { return []Objective{ObjectiveLatency, ObjectiveSuccess} }

// Target returns the share of jobs that must be good, or 0 if the service does not
// have the objective.
func Target(s *configurer.Service, o Objective) float64 {
	if o == ObjectiveLatency {
		return s.Objective.LatencyRatio
	}
	return s.Objective.SuccessRatio
}

// objectiveCounts returns the number of jobs that count for an objective, and how many
// of them are bad.
func objectiveCounts(o Objective, b *Bucket) (jobs, bad uint64) {
	if o == ObjectiveLatency {
		return b.Jobs - b.failures(), b.Slow
	}
	return b.Jobs, b.failures()
}

// burnRate returns the share of bad jobs divided by the share that the objective
// allows.
func burnRate(s *configurer.Service, o Objective, b *Bucket) float64 {
	jobs, bad := objectiveCounts(o, b)
	if jobs == 0 || bad == 0 {
		return 0
	}
	allowed := max(1-Target(s, o), minBudget)
	return float64(bad) / float64(jobs) / allowed
}

// minBudget is the lower bound of the allowed share of bad jobs. It keeps the burn rate
// finite for a target of 1.
const minBudget = 1e-6

func causes(o Objective, b *Bucket) []ReasonCount {
	if o == ObjectiveLatency {
		if b.Slow == 0 {
			return nil
		}
		return []ReasonCount{{Reason: ReasonSlow, Count: b.Slow}}
	}
	out := slices.Clone(b.Bad)
	slices.SortStableFunc(out, func(x, y ReasonCount) int { return -cmp.Compare(x.Count, y.Count) })
	return out
}
