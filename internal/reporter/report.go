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

// Level says what the burn rates call for.
type Level string

// The levels.
const (
	LevelOK     Level = "ok"
	LevelTicket Level = "ticket" // The budget is used up in days: look within the day.
	LevelPage   Level = "page"   // The budget is used up in hours: look now.
)

// ReasonSlow is the cause of what uses up the budget for latency.
const ReasonSlow submitter.Reason = "slow"

// pair is two windows of which both must burn fast: the long one says that it
// matters, the short one that it still goes on, with as many bad jobs as the
// objective's minimum.
type pair struct {
	short, long time.Duration
	threshold   float64
	level       Level
}

// pairs are ordered by urgency. The thresholds use up 2% of a thirty-day budget
// in an hour and 5% in six hours.
var pairs = [...]pair{
	{5 * time.Minute, time.Hour, 14.4, LevelPage},
	{30 * time.Minute, 6 * time.Hour, 6, LevelTicket},
}

// Report is the state of every objective, the fastest burner first.
type Report struct {
	Made time.Time `json:"made"`
	// Window is the span over which budgets and causes are counted.
	Window     submitter.Duration `json:"window"`
	Objectives []Burn             `json:"objectives"`
	// Missing lists what the counts lack; empty if they are whole.
	Missing []Missing `json:"missing,omitempty"`
}

// Burn is the state of one objective of one service.
type Burn struct {
	Service   string    `json:"service"`
	Objective Objective `json:"objective"`
	// Target is the share of jobs that must be good.
	Target float64 `json:"target"`
	// Latency is the response time that counts as good, for latency only.
	Latency submitter.Duration `json:"latency,omitzero"`
	// Jobs and Bad count the jobs within the report's window; Excluded counts
	// those that are the caller's doing and are in neither.
	Jobs     uint64 `json:"jobs"`
	Bad      uint64 `json:"bad"`
	Excluded uint64 `json:"excluded"`
	// BudgetLeft is the share of the error budget that is left, from 1 downwards;
	// negative once it is overdrawn.
	BudgetLeft float64 `json:"budget-left"`
	// MinBadJobs is how many bad jobs the short window of a pair must have before
	// the pair raises the level.
	MinBadJobs int `json:"min-bad-jobs"`
	// Rates has the burn rate of each window, the shortest first. At a rate of 1
	// the budget lasts just as long as its window.
	Rates []Rate `json:"rates"`
	// Fastest is the greatest rate at which both windows of a pair burn.
	Fastest float64 `json:"fastest"`
	Level   Level   `json:"level"`
	// Causes has what used up the budget within the window, the greatest first.
	Causes []ReasonCount `json:"causes,omitempty"`
}

// Rate is the burn rate of one window.
type Rate struct {
	Window submitter.Duration `json:"window"`
	Bad    uint64             `json:"bad"` // Bad counts the bad jobs within the window.
	Burn   float64            `json:"burn"`
}

// Missing is something that a report lacks.
type Missing struct {
	// Entry is the entry or the place whose counts are not whole.
	Entry string `json:"entry"`
	// Age is how old the counts in use are; absent if there are none.
	Age    submitter.Duration `json:"age,omitzero"`
	Detail string             `json:"detail"`
}

// Make reports on the objectives of the services. Services that had no jobs are
// included. A window longer than [MaxWindow] is cut to it.
func NewReport(now time.Time, window time.Duration, services []configurer.Service, counts *Snapshot) *Report {
	window = min(window, MaxWindow)
	r := &Report{Made: now, Window: submitter.Duration(window)}
	for i := range services {
		s := &services[i]
		c := counts.service(s.Name)
		for _, o := range Objectives() {
			if Target(s, o) > 0 {
				r.Objectives = append(r.Objectives, burn(now, window, s, o, c))
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

func burn(now time.Time, window time.Duration, s *configurer.Service, o Objective, c *ServiceCounts) Burn {
	sum := c.window(now, window)
	jobs, bad := outcome(o, &sum)
	out := Burn{
		Service:    s.Name,
		Objective:  o,
		Target:     Target(s, o),
		Jobs:       jobs,
		Bad:        bad,
		Excluded:   sum.Excluded,
		BudgetLeft: 1 - rate(s, o, &sum),
		MinBadJobs: s.Objective.MinBadJobs,
		Level:      LevelOK,
		Causes:     causes(o, &sum),
	}
	if o == ObjectiveLatency {
		out.Latency = submitter.Duration(s.Objective.Latency)
	}
	for _, p := range pairs {
		out.addPair(now, p, s, c)
	}
	slices.SortFunc(out.Rates, func(a, b Rate) int { return cmp.Compare(a.Window, b.Window) })
	return out
}

func (b *Burn) addPair(now time.Time, p pair, s *configurer.Service, c *ServiceCounts) {
	short, long := windowRate(now, p.short, s, b.Objective, c), windowRate(now, p.long, s, b.Objective, c)
	b.Rates = append(b.Rates, short, long)
	both := min(short.Burn, long.Burn)
	b.Fastest = max(b.Fastest, both)
	enough := short.Bad >= uint64(b.MinBadJobs)
	if both >= p.threshold && enough && b.Level == LevelOK {
		b.Level = p.level
	}
}

func windowRate(now time.Time, window time.Duration, s *configurer.Service, o Objective, c *ServiceCounts) Rate {
	sum := c.window(now, window)
	_, bad := outcome(o, &sum)
	return Rate{Window: submitter.Duration(window), Bad: bad, Burn: rate(s, o, &sum)}
}

// Objectives returns the objectives that each service may have.
func Objectives() []Objective { return []Objective{ObjectiveLatency, ObjectiveSuccess} }

// Target returns the share that must be good; 0 means that there is no objective.
func Target(s *configurer.Service, o Objective) float64 {
	if o == ObjectiveLatency {
		return s.Objective.LatencyRatio
	}
	return s.Objective.SuccessRatio
}

// outcome returns the jobs that count for an objective and the bad ones of them.
func outcome(o Objective, b *Bucket) (jobs, bad uint64) {
	if o == ObjectiveLatency {
		return b.Jobs - b.failures(), b.Slow
	}
	return b.Jobs, b.failures()
}

// rate returns the share of bad jobs in units of the share that is allowed.
func rate(s *configurer.Service, o Objective, b *Bucket) float64 {
	jobs, bad := outcome(o, b)
	if jobs == 0 || bad == 0 {
		return 0
	}
	allowed := max(1-Target(s, o), smallestBudget)
	return float64(bad) / float64(jobs) / allowed
}

// smallestBudget keeps the rate of an objective without any budget finite.
const smallestBudget = 1e-6

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
