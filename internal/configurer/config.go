// Package configurer reads and checks the operators' configuration.
//
// The configuration is one base file that all sites share and a small overlay
// for each site, both YAML in kebab case. The base says what services, teams and
// operators there are and what they mean; an overlay tunes limits at its site. A
// site is a data centre. [Compose] applies an overlay to a base and returns the
// site's [Effective] configuration, which knows for each value the file it came
// from. [CheckAll] checks a base with all overlays. Every fault of a file is
// reported at once, each with line and column.
//
// What keys there are, what values they take and which of them an overlay may
// set stands in one place, the tables of schema.go. Accepted versions are rows of
// the platform's table ([Head], [Version]).
package configurer

import (
	"cmp"
	"slices"
	"time"
)

// Config is the effective configuration of one site.
type Config struct {
	// Services are sorted by name; names are unique.
	Services []Service
	// Teams are sorted by name; names are unique.
	Teams []Team
	// Operators are sorted by name; names are unique.
	Operators []Operator
	Limits    Limits
	Queue     Queue
	Ejection  Ejection
}

// Service is a kind of work that upstreams run.
type Service struct {
	Name string
	// Path is the HTTP path of the service at its upstreams. It begins with "/".
	Path string
	// Timeout is the deadline of jobs that bring none. It is positive and at most
	// [MaxDeadline].
	Timeout time.Duration
	// DefaultRunTime and DefaultMemoryBytes are taken for tasks that declare none.
	DefaultRunTime     time.Duration
	DefaultMemoryBytes int64
	Objective          Objective
}

// Objective is what a service promises its callers.
type Objective struct {
	// Latency is the response time that counts as good. It is positive.
	Latency time.Duration
	// LatencyRatio is the share of jobs that must be as fast, from 0 to 1.
	LatencyRatio float64
	// SuccessRatio is the share of jobs that must be complete, from 0 to 1.
	SuccessRatio float64
	// MinBadJobs is how many jobs must be bad within the short window of a pair
	// before the burn report raises the level, so that one bad job of a quiet
	// service wakes nobody. It is positive.
	MinBadJobs int
}

// Team is a group of callers.
type Team struct {
	Name string
	// Slots bounds the team's running tasks over all entries; 0 means no bound.
	Slots int
	// StartsPerSecond bounds the team's task starts over all entries; 0 means no bound.
	StartsPerSecond float64
	// TokenHashes are the SHA-256 hashes, in lower-case hexadecimal, of valid
	// bearer tokens. No two teams or operators share one.
	TokenHashes []string
}

// Role is what an operator may do.
type Role string

// The roles of operators.
const (
	RoleViewer   Role = "viewer"   // A viewer may read.
	RoleOperator Role = "operator" // An operator may read and change.
)

// Operator is a person or program that uses the administration API.
type Operator struct {
	Name string
	Role Role
	// TokenHashes are like those of a team.
	TokenHashes []string
}

// Limits bound what a process takes.
type Limits struct {
	// MaxBodyBytes bounds the body of a request, from 1 to [MaxBodyBytes].
	MaxBodyBytes int64
	// BodyTimeout bounds how long a caller may take to send a body. It is positive.
	BodyTimeout time.Duration
	// MaxDeadline bounds the deadline that a job may bring. It is positive and at
	// most [MaxDeadline].
	MaxDeadline time.Duration
	// WaitingPerAgent bounds the tasks that wait at one agent. It is positive.
	WaitingPerAgent int
}

// Queue is the policy of the queues of an entry.
type Queue struct {
	// MaxTasks bounds the tasks that wait at an entry. It is positive.
	MaxTasks int
	// Ageing is how much one second of waiting counts against one second of
	// remaining work when jobs of a team are ordered; 0 is first come, first served.
	Ageing float64
	// Quantum is the slot time by which one team may be ahead of another before
	// its jobs yield. It is positive.
	Quantum time.Duration
	// DeadlineRatio is the share of a job's deadline, from 0 to 1, that the
	// expected wait and run time may take when the job is admitted.
	DeadlineRatio float64
	// MinSamples is how many results of a service replace declared values. It is
	// positive.
	MinSamples int
}

// Ejection is the policy by which an upstream that fails is left out.
type Ejection struct {
	// FailureStreak is how many failures in a row eject an upstream. It is positive.
	FailureStreak int
	// FailureRatio is the share of recent results, from 0 to 1, that ejects if they
	// are failures.
	FailureRatio float64
	// SlowFactor ejects an upstream whose tasks take so many times longer than the
	// same service's tasks elsewhere. It is at least 1.
	SlowFactor float64
	// ProbeAfter is how long an upstream is ejected before the first probe; each
	// probe that fails doubles it up to MaxProbeAfter. Both are positive.
	ProbeAfter    time.Duration
	MaxProbeAfter time.Duration // MaxProbeAfter is not below ProbeAfter.
	// MaxEjectedRatio bounds the share of the serving upstreams that are ejected
	// at one time, from 0 to 1.
	MaxEjectedRatio float64
	// SlowStart is how many tasks a new upstream may have outstanding. The number
	// doubles with as many successes. It is positive.
	SlowStart int
}

// Default returns the values that hold where no file sets them.
func Default() Config {
	return Config{
		Limits: Limits{
			MaxBodyBytes:    MaxBodyBytes,
			BodyTimeout:     30 * time.Second,
			MaxDeadline:     MaxDeadline,
			WaitingPerAgent: 1024,
		},
		Queue: Queue{
			MaxTasks:      50_000,
			Ageing:        0.25,
			Quantum:       4 * time.Second,
			DeadlineRatio: 0.7,
			MinSamples:    20,
		},
		Ejection: Ejection{
			FailureStreak:   3,
			FailureRatio:    0.5,
			SlowFactor:      4,
			ProbeAfter:      10 * time.Second,
			MaxProbeAfter:   2 * time.Minute,
			MaxEjectedRatio: 0.34,
			SlowStart:       4,
		},
	}
}

// DefaultMinBadJobs is the number of bad jobs that raises a level where no file
// sets one. It is chosen: two can be one job and its resubmission.
const DefaultMinBadJobs = 3

// defaultService returns the values of a service that its file does not set.
func defaultService() Service {
	return Service{Objective: Objective{MinBadJobs: DefaultMinBadJobs}}
}

// zero returns an element of a list that has no defaults.
func zero[T any]() T {
	var v T
	return v
}

// Service returns the service of the given name.
func (c *Config) Service(name string) (*Service, bool) { return find(c.Services, name, serviceName) }

// Team returns the team of the given name.
func (c *Config) Team(name string) (*Team, bool) { return find(c.Teams, name, teamName) }

// Operator returns the operator of the given name.
func (c *Config) Operator(name string) (*Operator, bool) {
	return find(c.Operators, name, operatorName)
}

func serviceName(s *Service) *string   { return &s.Name }
func teamName(t *Team) *string         { return &t.Name }
func operatorName(o *Operator) *string { return &o.Name }

// find returns the element of a sorted list that has the name.
func find[T any](list []T, name string, nameOf func(*T) *string) (*T, bool) {
	i, ok := slices.BinarySearchFunc(list, name, func(e T, n string) int {
		return cmp.Compare(*nameOf(&e), n)
	})
	if !ok {
		return nil, false
	}
	return &list[i], true
}

// Parse reads a base file and returns the configuration of a site without an
// overlay. The name stands for the file in errors.
func Parse(name string, base []byte) (*Config, error) {
	e, err := Compose(File{Name: name, Text: base}, nil)
	if err != nil {
		return nil, err
	}
	return &e.Config, nil
}
