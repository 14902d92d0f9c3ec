package administrator

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"

	"sardinelock.dev/sardinelock/internal/applier"
	"sardinelock.dev/sardinelock/internal/authenticator"
	"sardinelock.dev/sardinelock/internal/identifier"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// The rows of the API's listings of services and teams.
type (
	// ServiceRow is one service with its current jobs and tasks.
	ServiceRow struct {
		Name         string             `json:"name"`
		Path         string             `json:"path"`
		Timeout      submitter.Duration `json:"timeout"`
		Latency      submitter.Duration `json:"objective-latency"`
		LatencyRatio float64            `json:"objective-latency-ratio"`
		SuccessRatio float64            `json:"objective-success-ratio"`
		OpenJobs     int                `json:"open-jobs"`
		WaitingTasks int                `json:"waiting-tasks"`
		SentTasks    int                `json:"sent-tasks"`
	}
	// TeamRow is one team with its usage against its quota.
	TeamRow struct {
		Name string `json:"name"`
		// Slots and StartsPerSecond are the quota; 0 means unlimited.
		Slots           int     `json:"slots"`
		StartsPerSecond float64 `json:"starts-per-second"`
		// Tokens is the number of valid tokens.
		Tokens   int `json:"tokens"`
		OpenJobs int `json:"open-jobs"`
		// WaitingTasks have not been scheduled on an upstream; SentTasks use slots.
		WaitingTasks int `json:"waiting-tasks"`
		SentTasks    int `json:"sent-tasks"`
	}
)

func (s *Service) entries(r *http.Request, _ authenticator.Principal) (any, *submitter.Problem) {
	parts, silent := gather[Entry](r.Context(), s, CallEntry, nil)
	out := Listing[Entry]{Items: []Entry{}, Silent: silent}
	for _, p := range parts {
		out.Items = append(out.Items, p.part)
	}
	for _, q := range silent {
		out.Items = append(out.Items, Entry{Peer: q.Entry, State: EntrySilent})
	}
	slices.SortFunc(out.Items, func(a, b Entry) int { return cmp.Compare(a.Peer, b.Peer) })
	return out, nil
}

func (s *Service) upstreams(r *http.Request, _ authenticator.Principal) (any, *submitter.Problem) {
	parts, silent := gather[[]Upstream](r.Context(), s, CallUpstreams, nil)
	var all []Upstream
	for _, p := range parts {
		all = append(all, p.part...)
	}
	return Listing[Upstream]{Items: mergeUpstreams(all), Silent: silent}, nil
}

// mergeUpstreams merges the views that the entries have of each upstream.
func mergeUpstreams(all []Upstream) []Upstream {
	out := []Upstream{}
	index := make(map[string]int)
	for _, u := range all {
		i, ok := index[string(u.Peer)]
		if !ok {
			index[string(u.Peer)] = len(out)
			out = append(out, u)
			continue
		}
		into := &out[i]
		into.Credit += u.Credit
		into.Outstanding += u.Outstanding
		into.SeenBy += u.SeenBy
		into.EjectedBy += u.EjectedBy
		into.FailureRatio = max(into.FailureRatio, u.FailureRatio)
		into.Ejected = cmp.Or(into.Ejected, u.Ejected)
		into.Hold = cmp.Or(into.Hold, u.Hold)
	}
	slices.SortFunc(out, func(a, b Upstream) int { return cmp.Compare(a.Peer, b.Peer) })
	return out
}

func (s *Service) partitions(r *http.Request, _ authenticator.Principal) (any, *submitter.Problem) {
	parts, silent := gather[[]Partition](r.Context(), s, CallPartitions, nil)
	return Listing[Partition]{Items: mergePartitions(parts), Silent: silent}, nil
}

// mergePartitions takes for each partition the view with the highest epoch. Among
// views of the same epoch it prefers the owner's own.
func mergePartitions(parts []entryPart[[]Partition]) []Partition {
	out := make([]Partition, identifier.Partitions)
	for i := range out {
		out[i].Partition = identifier.Partition(i)
	}
	for _, p := range parts {
		for _, view := range p.part {
			if int(view.Partition) >= len(out) {
				continue
			}
			into := &out[view.Partition]
			if view.Epoch > into.Epoch || (view.Epoch == into.Epoch && view.Owner == p.peer) {
				*into = view
			}
		}
	}
	return out
}

// config lists the configuration version of every process, compared with the current
// version.
func (s *Service) config(r *http.Request, _ authenticator.Principal) (any, *submitter.Problem) {
	parts, silent := gather[[]ConfigStatus](r.Context(), s, CallConfig, nil)
	var lists [][]ConfigStatus
	for _, p := range parts {
		lists = append(lists, p.part)
	}
	rows := applier.Merge(func(c *ConfigStatus) *applier.Status { return &c.Status }, lists...)
	return Listing[ConfigStatus]{Items: rows, Silent: silent}, nil
}

// usage sums the usage of all entries by service and team.
func (s *Service) usage(r *http.Request) ([]Usage, []Silent) {
	parts, silent := gather[[]Usage](r.Context(), s, CallUsage, nil)
	out := []Usage{}
	for _, p := range parts {
		for _, u := range p.part {
			i := slices.IndexFunc(out, func(o Usage) bool { return o.Service == u.Service && o.Team == u.Team })
			if i < 0 {
				out = append(out, u)
				continue
			}
			out[i].add(&u)
		}
	}
	slices.SortFunc(out, func(a, b Usage) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Team, b.Team))
	})
	return out, silent
}

// add adds the counts of another service or team.
func (u *Usage) add(o *Usage) {
	u.OpenJobs += o.OpenJobs
	u.AnsweredJobs += o.AnsweredJobs
	u.WaitingTasks += o.WaitingTasks
	u.SentTasks += o.SentTasks
}

// totalUsage sums the usage for which matches is true.
func totalUsage(usage []Usage, matches func(*Usage) bool) Usage {
	var out Usage
	for i := range usage {
		if matches(&usage[i]) {
			out.add(&usage[i])
		}
	}
	return out
}

func (s *Service) jobs(r *http.Request, _ authenticator.Principal) (any, *submitter.Problem) {
	usage, silent := s.usage(r)
	return Listing[Usage]{Items: usage, Silent: silent}, nil
}

func (s *Service) services(r *http.Request, _ authenticator.Principal) (any, *submitter.Problem) {
	config, _ := s.o.Config()
	if config == nil {
		return nil, noConfiguration()
	}
	usage, silent := s.usage(r)
	out := Listing[ServiceRow]{Items: []ServiceRow{}, Silent: silent}
	for _, c := range config.Services {
		work := totalUsage(usage, func(u *Usage) bool { return u.Service == c.Name })
		out.Items = append(out.Items, ServiceRow{
			Name:         c.Name,
			Path:         c.Path,
			Timeout:      submitter.Duration(c.Timeout),
			Latency:      submitter.Duration(c.Objective.Latency),
			LatencyRatio: c.Objective.LatencyRatio,
			SuccessRatio: c.Objective.SuccessRatio,
			OpenJobs:     work.OpenJobs,
			WaitingTasks: work.WaitingTasks,
			SentTasks:    work.SentTasks,
		})
	}
	return out, nil
}

func (s *Service) teams(r *http.Request, _ authenticator.Principal) (any, *submitter.Problem) {
	config, _ := s.o.Config()
	if config == nil {
		return nil, noConfiguration()
	}
	usage, silent := s.usage(r)
	out := Listing[TeamRow]{Items: []TeamRow{}, Silent: silent}
	for _, c := range config.Teams {
		work := totalUsage(usage, func(u *Usage) bool { return u.Team == c.Name })
		out.Items = append(out.Items, TeamRow{
			Name:            c.Name,
			Slots:           c.Slots,
			StartsPerSecond: c.StartsPerSecond,
			Tokens:          len(c.TokenHashes),
			OpenJobs:        work.OpenJobs,
			WaitingTasks:    work.WaitingTasks,
			SentTasks:       work.SentTasks,
		})
	}
	return out, nil
}

func (s *Service) job(r *http.Request, _ authenticator.Principal) (any, *submitter.Problem) {
	return s.askOwner(r, CallJob)
}

// askOwner sends a call to the owner of the job that the path names.
func (s *Service) askOwner(r *http.Request, call Call) (*JobState, *submitter.Problem) {
	id, err := identifier.Parse(r.PathValue("submission"))
	if err != nil {
		return nil, &submitter.Problem{
			Status: http.StatusBadRequest,
			Title:  "the submission id is not valid",
			Detail: err.Error(),
		}
	}
	body, err := json.Marshal(JobQuery{Submission: id, AnyTeam: true})
	if err != nil {
		return nil, &submitter.Problem{Status: http.StatusInternalServerError, Title: "the request cannot be passed on"}
	}
	part := s.o.AskOwner(r.Context(), id, call, body)
	var reply JobReply
	if part.Detail != "" || json.Unmarshal(part.Body, &reply) != nil {
		return nil, &submitter.Problem{
			Status: http.StatusServiceUnavailable,
			Title:  "the owner of the submission cannot be reached",
			Detail: part.Detail,
		}
	}
	if reply.Undecided {
		return nil, UndecidedJob()
	}
	if !reply.Found {
		return nil, &submitter.Problem{Status: http.StatusNotFound, Title: "no such job", Detail: "no job of this id is kept"}
	}
	return reply.State, nil
}

// UndecidedJob is the problem of a request for a job of which the owner cannot yet
// decide whether it exists.
func UndecidedJob() *submitter.Problem {
	return &submitter.Problem{
		Status: http.StatusServiceUnavailable,
		Title:  "the submission is changing its owner",
		Detail: "whether there is such a job is not known yet; nothing was changed, try again in some seconds",
	}
}

func noConfiguration() *submitter.Problem {
	return &submitter.Problem{
		Status: http.StatusServiceUnavailable,
		Title:  "no configuration is in force yet",
		Detail: "the entry has not learned the operators' configuration",
	}
}
