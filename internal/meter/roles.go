package meter

import (
	"context"
	"strconv"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"sardinelock.dev/sardinelock/internal/messenger"
)

func (r *instrumentBuilder) observeEntry(state func() EntryState) {
	jobs := r.gauge("sardinelock.jobs", "{job}", "Jobs at their owner by state.")
	queued := r.gauge("sardinelock.tasks.queued", "{task}", "Tasks that wait for a place.")
	upstreams := r.gauge("sardinelock.upstreams", "{upstream}", "Upstreams known by state.")
	credits := r.gauge("sardinelock.credits", "{start}", "Starts that agents allow this entry, and those outstanding.")
	ejections := r.total("sardinelock.upstream.ejections", "{ejection}", "Ejections of upstreams.")
	owned := r.gauge("sardinelock.partitions.owned", "{partition}", "Partitions that this entry owns.")
	epochs := r.gauge("sardinelock.partition.epoch", "{epoch}", "Epoch of each partition that this entry owns.")
	peers := r.gauge("sardinelock.peer.connections", "{connection}", "Connections to peers by role.")
	version := r.gauge("sardinelock.config.version", "{version}", "Version of the configuration in force.")
	age := r.gauge("sardinelock.config.age", "s", "Time since a source last confirmed the version in force; -1 if none did.")
	configs := r.gauge("sardinelock.config.processes", "{process}", "This entry and its agents by how they stand to the current version of the configuration.")
	draining := r.gauge("sardinelock.draining", "", "1 while the entry takes no new work.")
	budget := r.gauge("sardinelock.objective.budget", "1", "Share of a service's jobs that an objective lets be bad.")
	minBad := r.gauge("sardinelock.objective.min-bad-jobs", "{job}", "Bad jobs in the short window below which a burn rate raises nothing.")
	evacuations := r.evacuationGauges()
	r.callback(func(_ context.Context, o metric.Observer) error {
		s := state()
		evacuations.observe(o, s.Evacuations)
		for _, v := range s.Objectives {
			labels := metric.WithAttributes(attribute.String("service", v.Service), attribute.String("objective", v.Objective))
			o.ObserveFloat64(budget, v.Budget, labels)
			o.ObserveFloat64(minBad, float64(v.MinBadJobs), labels)
		}
		o.ObserveFloat64(jobs, float64(s.OpenJobs), label("state", "open"))
		o.ObserveFloat64(jobs, float64(s.KeptJobs-s.OpenJobs), label("state", "answered"))
		o.ObserveFloat64(queued, float64(s.QueuedTasks))
		observeStates(o, upstreams, "state", s.Upstreams)
		observeStates(o, peers, "role", s.Peers)
		o.ObserveFloat64(credits, float64(s.CreditLimit), label("kind", "limit"))
		o.ObserveFloat64(credits, float64(s.CreditUsed), label("kind", "outstanding"))
		o.ObserveFloat64(ejections, float64(s.Ejections))
		o.ObserveFloat64(owned, float64(len(s.Partitions)))
		for _, p := range s.Partitions {
			o.ObserveFloat64(epochs, float64(p.Epoch), label("partition", strconv.Itoa(int(p.Partition))))
		}
		o.ObserveFloat64(version, float64(s.ConfigVersion))
		if s.ConfigAge < 0 {
			o.ObserveFloat64(age, -1)
		} else {
			o.ObserveFloat64(age, s.ConfigAge.Seconds())
		}
		observeStates(o, configs, "state", s.ConfigStates)
		o.ObserveFloat64(draining, float64(boolToInt(s.Draining)))
		return nil
	}, append(evacuations.all(), jobs, queued, upstreams, credits, ejections, owned, epochs, peers, version, age, configs, draining, budget, minBad)...)
}

func (r *instrumentBuilder) observeAgent(state func() AgentState) {
	tasks := r.gauge("sardinelock.agent.tasks", "{task}", "Tasks at the agent by state.")
	slots := r.gauge("sardinelock.agent.slots", "{slot}", "Slots that the upstream announced.")
	records := r.gauge("sardinelock.agent.records", "{record}", "Submissions of which a task started within the window.")
	serving := r.gauge("sardinelock.agent.upstream", "", "1 for the state that the upstream is in.")
	epoch := r.gauge("sardinelock.agent.epoch", "{epoch}", "Highest epoch seen of any partition.")
	entries := r.gauge("sardinelock.peer.connections", "{connection}", "Connections to peers by role.")
	crashes := r.total("sardinelock.agent.upstream-crashes", "{crash}", "Crashes of the upstream.")
	version := r.gauge("sardinelock.config.version", "{version}", "Version of the configuration in force.")
	current := r.gauge("sardinelock.config.current", "", "1 if the latest version is in force and a later one would be learned.")
	evacuations := r.evacuationGauges()
	r.callback(func(_ context.Context, o metric.Observer) error {
		s := state()
		evacuations.observe(o, s.Evacuations)
		o.ObserveFloat64(tasks, float64(s.Running), label("state", "running"))
		o.ObserveFloat64(tasks, float64(s.Waiting), label("state", "waiting"))
		o.ObserveFloat64(slots, float64(s.Slots))
		o.ObserveFloat64(records, float64(s.Records))
		for _, u := range []messenger.UpstreamState{
			messenger.UpstreamAbsent, messenger.UpstreamServing, messenger.UpstreamLeaving,
		} {
			o.ObserveFloat64(serving, float64(boolToInt(s.State == u)), label("state", string(u)))
		}
		o.ObserveFloat64(epoch, float64(s.HighestEpoch))
		o.ObserveFloat64(crashes, float64(s.UpstreamCrashes))
		o.ObserveFloat64(entries, float64(s.Entries), label("role", string(messenger.RoleEntry)))
		o.ObserveFloat64(version, float64(s.ConfigVersion))
		o.ObserveFloat64(current, float64(boolToInt(s.ConfigCurrent)))
		return nil
	}, append(evacuations.all(), tasks, slots, records, serving, crashes, epoch, entries, version, current)...)
}

func observeStates(o metric.Observer, g metric.Float64Observable, name string, states []StateCount) {
	for _, s := range states {
		o.ObserveFloat64(g, float64(s.Count), label(name, s.State))
	}
}

func boolToInt(v bool) int {
	if v {
		return 1
	}
	return 0
}
