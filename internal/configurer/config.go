// Package configurer reads and checks the operators' configuration.
//
// The configuration consists of one base file that all sites share and a small overlay
// for each site, both in YAML with keys in kebab case. The base defines services, teams
// and operators; an overlay tunes limits at its site. A site is a data centre. [Compose]
// applies an overlay to a base and returns the site's [Effective] configuration, which
// records the origin of each value. [CheckAll] checks a base with all overlays. All
// faults of a file are reported together, each with line and column.
//
// The tables of schema.go define all keys, the values that they accept, and which of them
// an overlay may set. Accepted versions are stored as rows of the platform's table
// ([Head], [Version]).
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

// Service is a kind of task that upstreams run.
type Service struct {
	Name string
	// Path is the HTTP path of the service at its upstreams. It begins with "/".
	Path string
	// Timeout is the deadline of jobs that specify none. It is positive and at most
	// [MaxDeadline].
	Timeout time.Duration
	// DefaultRunTime and DefaultMemoryBytes apply to tasks that declare no values of their
	// own.
	DefaultRunTime     time.Duration
	DefaultMemoryBytes int64
	Objective          Objective
}

// Objective is the service level objective of a service.
type Objective struct {
	// Latency is the longest response time that counts as good. It is positive.
	Latency time.Duration
	// LatencyRatio is the share of jobs that must be answered within Latency, from 0 to 1.
	LatencyRatio float64
	// SuccessRatio is the share of jobs that must complete, from 0 to 1.
	SuccessRatio float64
	// MinBadJobs is the number of bad jobs within the short window of a pair below which the
	// burn report does not raise the level, so that a single bad job of a service with
	// little traffic raises no alert. It is positive.
	MinBadJobs int
}

// Team is a group of callers with common quotas.
type Team struct {
	Name string
	// Slots is the maximum number of the team's running tasks over all entries; 0 means
	// unlimited.
	Slots int
	// StartsPerSecond is the maximum rate of the team's task starts over all entries; 0
	// means unlimited.
	StartsPerSecond float64
	// TokenHashes are the SHA-256 hashes of valid bearer tokens, in lower-case
	// hexadecimal. A hash belongs to at most one team or operator.
	TokenHashes []string
}

// Role defines the permissions of an operator.
type Role string

// The roles of operators.
const (
	RoleViewer   Role = "viewer"   // A viewer may read.
	RoleOperator Role = "operator" // An operator may read and make changes.
)

// Operator is a person or program that uses the administration API.
type Operator struct {
	Name string
	Role Role
	// TokenHashes are like [Team.TokenHashes].
	TokenHashes []string
}

// Limits are limits on requests and on the queues of agents.
type Limits struct {
	// MaxBodyBytes is the largest size of the body of a request, from 1 to [MaxBodyBytes].
	MaxBodyBytes int64
	// BodyTimeout is the longest time in which a caller must send a body. It is positive.
	BodyTimeout time.Duration
	// MaxDeadline is the longest deadline that a job may specify. It is positive and at
	// most [MaxDeadline].
	MaxDeadline time.Duration
	// WaitingPerAgent is the maximum number of tasks that wait at one agent. It is positive.
	WaitingPerAgent int
}

// Queue is the policy of the queues of an entry.
type Queue struct {
	// MaxTasks is the maximum number of tasks that wait at an entry. It is positive.
	MaxTasks int
	// Ageing is the weight of one second of waiting relative to one second of remaining
	// work in the order of a team's jobs; 0 means first come, first served.
	Ageing float64
	// Quantum is the slot time by which one team may exceed another before its jobs yield.
	// It is positive.
	Quantum time.Duration
	// DeadlineRatio is the share of a job's deadline, from 0 to 1, that the expected wait
	// and run time may take for the job to be admitted.
	DeadlineRatio float64
	// MinSamples is the number of results of a service after which measured values replace
	// declared ones. It is positive.
	MinSamples int
}

// Ejection is the policy for the ejection of failing and slow upstreams.
type Ejection struct {
	// FailureStreak is the number of consecutive failures that eject an upstream. It is
	// positive.
	FailureStreak int
	// FailureRatio is the share of failures among recent results, from 0 to 1, that ejects
	// an upstream.
	FailureRatio float64
	// SlowFactor is the ratio of the run time of an upstream's tasks to that of the same
	// service's tasks on other upstreams that ejects it. It is at least 1.
	SlowFactor float64
	// ProbeAfter is the time from the ejection of an upstream to the first probe. Each
	// failed probe doubles it, up to MaxProbeAfter. Both are positive.
	ProbeAfter    time.Duration
	MaxProbeAfter time.Duration // MaxProbeAfter is not below ProbeAfter.
	// MaxEjectedRatio is the maximum share of the serving upstreams that are ejected at the
	// same time, from 0 to 1.
	MaxEjectedRatio float64
	// SlowStart is the number of tasks that a new upstream may have outstanding. The limit
	// doubles after as many successes. It is positive.
	SlowStart int
}

// Default returns the configuration that applies where no file sets a value.
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

// DefaultMinBadJobs is the default of [Objective.MinBadJobs]. It is above 2, because two
// bad jobs can be one job and its resubmission.
const DefaultMinBadJobs = 3

// defaultService returns a service with the defaults of its optional values.
func defaultService() Service {
	return Service{Objective: Objective{MinBadJobs: DefaultMinBadJobs}}
}

// zero returns the zero value; it initializes elements without defaults.
func zero[T any]() T {
	var v T
	return v
}

// Service returns the service with the given name.
func (c *Config) Service(name string) (*Service, bool) { return find(c.Services, name, serviceName) }

// Team returns the team with the given name.
func (c *Config) Team(name string) (*Team, bool) { return find(c.Teams, name, teamName) }

// Operator returns the operator with the given name.
func (c *Config) Operator(name string) (*Operator, bool) {
	return find(c.Operators, name, operatorName)
}

func serviceName(s *Service) *string   { return &s.Name }
func teamName(t *Team) *string         { return &t.Name }
func operatorName(o *Operator) *string { return &o.Name }

// find returns the element with the given name of a list that is sorted by name.
func find[T any](list []T, name string, nameOf func(*T) *string) (*T, bool) {
	i, ok := slices.BinarySearchFunc(list, name, func(e T, n string) int {
		return cmp.Compare(*nameOf(&e), n)
	})
	if !ok {
		return nil, false
	}
	return &list[i], true
}

// Parse reads a base file and returns the configuration of a site without an overlay. The
// name identifies the file in errors.
func Parse(name string, base []byte) (*Config, error) {
	e, err := Compose(File{Name: name, Text: base}, nil)
	if err != nil {
		return nil, err
	}
	return &e.Config, nil
}
