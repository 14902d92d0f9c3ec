package configurer

import "time"

// The tables below are the only definition of the keys, the values that they accept, and
// which of them an overlay may set. An overlay may set values that tune a site, but none
// that are visible to callers, teams or operators: services, quotas, objectives and the
// limits on requests must be the same at every site.

// Limits of the system that no configuration can exceed. A body must fit into a message
// between entries, and records are kept for the longest deadline.
const (
	MaxBodyBytes = 32 << 20
	MaxDeadline  = 10 * time.Minute
)

// baseOnly and tunable are values of [field.tunable].
const (
	baseOnly = false
	tunable  = true
)

var configFields = []field[Config]{
	namedList("services", required, serviceFields, serviceName, defaultService, func(c *Config) *[]Service { return &c.Services }),
	namedList("teams", optional, teamFields, teamName, zero[Team], func(c *Config) *[]Team { return &c.Teams }),
	namedList("operators", optional, operatorFields, operatorName, zero[Operator], func(c *Config) *[]Operator { return &c.Operators }),
	section("limits", limitsFields, func(c *Config) *Limits { return &c.Limits }),
	section("queue", queueFields, func(c *Config) *Queue { return &c.Queue }),
	section("ejection", ejectionFields, func(c *Config) *Ejection { return &c.Ejection }),
}

var serviceFields = []field[Service]{
	name("name", serviceName),
	path("path", baseOnly, "HTTP path of the service at its upstreams",
		func(s *Service) *string { return &s.Path }),
	capped(duration("timeout", baseOnly, required, "deadline of jobs that bring none; at most 10m",
		func(s *Service) *time.Duration { return &s.Timeout }),
		"10m", func(s *Service) bool { return s.Timeout > MaxDeadline }),
	duration("default-run-time", tunable, optional, "run time taken for tasks that declare none",
		func(s *Service) *time.Duration { return &s.DefaultRunTime }),
	count("default-memory-bytes", tunable, 0, "memory taken for tasks that declare none",
		func(s *Service) *int64 { return &s.DefaultMemoryBytes }),
	section("objective", objectiveFields, func(s *Service) *Objective { return &s.Objective }),
}

var objectiveFields = []field[Objective]{
	duration("latency", baseOnly, required, "response time that counts as good",
		func(o *Objective) *time.Duration { return &o.Latency }),
	ratio("latency-ratio", baseOnly, required, "share of jobs that must be as fast",
		func(o *Objective) *float64 { return &o.LatencyRatio }),
	ratio("success-ratio", baseOnly, required, "share of jobs that must be complete",
		func(o *Objective) *float64 { return &o.SuccessRatio }),
	count("min-bad-jobs", baseOnly, 1, "bad jobs in the short window below which the burn report raises no level",
		func(o *Objective) *int { return &o.MinBadJobs }),
}

var teamFields = []field[Team]{
	name("name", teamName),
	count("slots", baseOnly, 0, "tasks that may run at one time over all entries; 0 is no bound",
		func(t *Team) *int { return &t.Slots }),
	number("starts-per-second", baseOnly, 0, "task starts a second over all entries; 0 is no bound",
		func(t *Team) *float64 { return &t.StartsPerSecond }),
	hashes("token-hashes", "SHA-256 of each valid bearer token",
		func(t *Team) *[]string { return &t.TokenHashes }),
}

var operatorFields = []field[Operator]{
	name("name", operatorName),
	choice("role", []Role{RoleViewer, RoleOperator}, "what the operator may do",
		func(o *Operator) *Role { return &o.Role }),
	hashes("token-hashes", "SHA-256 of each valid bearer token",
		func(o *Operator) *[]string { return &o.TokenHashes }),
}

var limitsFields = []field[Limits]{
	capped(count("max-body-bytes", baseOnly, 1, "largest body of a request; at most 32 MiB",
		func(l *Limits) *int64 { return &l.MaxBodyBytes }),
		"33554432", func(l *Limits) bool { return l.MaxBodyBytes > MaxBodyBytes }),
	duration("body-timeout", tunable, optional, "how long a caller may take to send a body",
		func(l *Limits) *time.Duration { return &l.BodyTimeout }),
	capped(duration("max-deadline", baseOnly, optional, "longest deadline that a job may bring; at most 10m",
		func(l *Limits) *time.Duration { return &l.MaxDeadline }),
		"10m", func(l *Limits) bool { return l.MaxDeadline > MaxDeadline }),
	count("waiting-per-agent", tunable, 1, "tasks that may wait at one agent",
		func(l *Limits) *int { return &l.WaitingPerAgent }),
}

var queueFields = []field[Queue]{
	count("max-tasks", tunable, 1, "tasks that may wait at one entry",
		func(q *Queue) *int { return &q.MaxTasks }),
	number("ageing", tunable, 0, "how much a second of waiting counts against a second of remaining work; 0 is first come, first served",
		func(q *Queue) *float64 { return &q.Ageing }),
	duration("quantum", tunable, optional, "slot time by which one team may be ahead of another before its jobs yield",
		func(q *Queue) *time.Duration { return &q.Quantum }),
	ratio("deadline-ratio", tunable, optional, "share of a deadline that the expected wait and run time may take",
		func(q *Queue) *float64 { return &q.DeadlineRatio }),
	count("min-samples", tunable, 1, "results of a service that replace declared values",
		func(q *Queue) *int { return &q.MinSamples }),
}

var ejectionFields = []field[Ejection]{
	count("failure-streak", tunable, 1, "failures in a row that eject an upstream",
		func(e *Ejection) *int { return &e.FailureStreak }),
	ratio("failure-ratio", tunable, optional, "share of failures among recent results that ejects an upstream",
		func(e *Ejection) *float64 { return &e.FailureRatio }),
	number("slow-factor", tunable, 1, "how many times longer than elsewhere tasks may take before an upstream is ejected",
		func(e *Ejection) *float64 { return &e.SlowFactor }),
	duration("probe-after", tunable, optional, "time of an ejection before the first probe; each failed probe doubles it",
		func(e *Ejection) *time.Duration { return &e.ProbeAfter }),
	duration("max-probe-after", tunable, optional, "longest time between probes",
		func(e *Ejection) *time.Duration { return &e.MaxProbeAfter }),
	ratio("max-ejected-ratio", tunable, optional, "largest share of the serving upstreams that are ejected at one time; one always may be",
		func(e *Ejection) *float64 { return &e.MaxEjectedRatio }),
	count("slow-start", tunable, 1, "tasks that a new upstream may have outstanding",
		func(e *Ejection) *int { return &e.SlowStart }),
}
