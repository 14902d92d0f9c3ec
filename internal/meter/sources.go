package meter

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"sardinelock.dev/sardinelock/internal/connector"
	"sardinelock.dev/sardinelock/internal/messenger"
)

// Sources are read at each collection. They are called on the goroutine of the
// collection and may take a round trip through the control thread.
type Sources struct {
	// Traffic has the totals of the connections to peers; it must not be nil.
	Traffic *connector.Counts
	// Busy returns the time spent on the control thread and the events applied.
	Busy func() (time.Duration, uint64)
	// Entry returns the state of an entry; nil in other roles.
	Entry func() EntryState
	// Agent returns the state of an agent; nil in other roles.
	Agent func() AgentState
	// CertificateExpiry returns when the process's certificate expires; zero
	// without TLS. It may be nil.
	CertificateExpiry func() time.Time
}

// EntryState is what an entry publishes.
type EntryState struct {
	// OpenJobs have no answer yet; KeptJobs are all that are remembered.
	OpenJobs, KeptJobs int
	// QueuedTasks wait for a place.
	QueuedTasks int
	// Upstreams has the number of upstreams in each state.
	Upstreams []StateCount
	// CreditLimit is the number of starts that agents allow this entry;
	// CreditUsed is the number that is outstanding.
	CreditLimit, CreditUsed int
	// Ejections is the total of ejections of upstreams.
	Ejections uint64
	// Partitions are those that this entry owns.
	Partitions []messenger.PartitionEpoch
	// Peers has the number of connections by role.
	Peers []StateCount
	// ConfigVersion is the version in force; 0 if none is known.
	ConfigVersion uint64
	// ConfigAge is the time since the version was last confirmed by a source;
	// negative if it never was.
	ConfigAge time.Duration
	// ConfigStates counts this entry and its agents by how they stand to the
	// current version of the configuration.
	ConfigStates []StateCount
	Draining     bool
	// Objectives are those of the services of the configuration in force.
	Objectives []ObjectiveState
}

// ObjectiveState is what alarms need to know of one objective of a service.
type ObjectiveState struct {
	Service, Objective string
	// Budget is the share of jobs that may be bad.
	Budget float64
	// MinBadJobs is how many jobs must be bad in the short window before the burn
	// rate counts.
	MinBadJobs int
}

// StateCount is how many things are in a state.
type StateCount struct {
	State string
	Count int
}

// AgentState is what an agent publishes.
type AgentState struct {
	Running, Waiting, Slots int
	Records                 int
	State                   messenger.UpstreamState
	// HighestEpoch is the highest epoch seen of any partition.
	HighestEpoch uint64
	// Entries is the number of connected entries.
	Entries int
	// ConfigVersion is the version in force; 0 if there is none. ConfigCurrent is
	// set if it is the latest and a later one would be learned.
	ConfigVersion uint64
	ConfigCurrent bool
}

// registrar makes instruments and keeps the first error.
type registrar struct {
	meter metric.Meter
	err   error
}

func (r *registrar) keep(err error) {
	if r.err == nil {
		r.err = err
	}
}

func (r *registrar) histogram(name, description string, bounds metric.HistogramOption) metric.Float64Histogram {
	h, err := r.meter.Float64Histogram(name, metric.WithUnit("s"), metric.WithDescription(description), bounds)
	r.keep(err)
	return h
}

func (r *registrar) counter(name, description string) metric.Int64Counter {
	c, err := r.meter.Int64Counter(name, metric.WithDescription(description))
	r.keep(err)
	return c
}

func (r *registrar) total(name, unit, description string) metric.Float64ObservableCounter {
	c, err := r.meter.Float64ObservableCounter(name, metric.WithUnit(unit), metric.WithDescription(description))
	r.keep(err)
	return c
}

func (r *registrar) gauge(name, unit, description string) metric.Float64ObservableGauge {
	g, err := r.meter.Float64ObservableGauge(name, metric.WithUnit(unit), metric.WithDescription(description))
	r.keep(err)
	return g
}

func (r *registrar) callback(f metric.Callback, instruments ...metric.Observable) {
	_, err := r.meter.RegisterCallback(f, instruments...)
	r.keep(err)
}

// observe registers the instruments that read the sources.
func (r *registrar) observe(s Sources) {
	r.observeTraffic(s.Traffic)
	r.observeControl(s.Busy)
	r.observeProcess()
	if s.Entry != nil {
		r.observeEntry(s.Entry)
	}
	if s.Agent != nil {
		r.observeAgent(s.Agent)
	}
	if s.CertificateExpiry != nil {
		r.observeCertificate(s.CertificateExpiry)
	}
}

func label(name, value string) metric.MeasurementOption {
	return metric.WithAttributes(attribute.String(name, value))
}

// observeTraffic reports messages and bytes. Messages by kind are counted by
// their sender only; the receiver reports totals.
func (r *registrar) observeTraffic(c *connector.Counts) {
	messages := r.total("sardinelock.peer.messages", "{message}", "Messages sent to peers by kind.")
	bytes := r.total("sardinelock.peer.bytes", "By", "Bytes sent to peers by the leading kind of their frame.")
	writes := r.total("sardinelock.peer.io", "By", "Bytes on connections to peers by direction.")
	batches := r.total("sardinelock.peer.batches", "{message}", "WebSocket messages by direction.")
	control := r.total("sardinelock.control.bytes", "By", "Bytes sent to peers in frames without tasks or results.")
	r.callback(func(_ context.Context, o metric.Observer) error {
		var sum uint64
		for i, kind := range messenger.MessageKinds {
			n := c.SentKinds[i].Bytes.Load()
			if !messenger.CarriesWork(i) {
				sum += n
			}
			o.ObserveFloat64(messages, float64(c.SentKinds[i].Messages.Load()), label("type", string(kind)))
			o.ObserveFloat64(bytes, float64(n), label("type", string(kind)))
		}
		o.ObserveFloat64(control, float64(sum))
		o.ObserveFloat64(writes, float64(c.BytesSent.Load()), label("direction", "sent"))
		o.ObserveFloat64(writes, float64(c.BytesRead.Load()), label("direction", "read"))
		o.ObserveFloat64(batches, float64(c.MessagesSent.Load()), label("direction", "sent"))
		o.ObserveFloat64(batches, float64(c.MessagesRead.Load()), label("direction", "read"))
		return nil
	}, messages, bytes, control, writes, batches)
}

func (r *registrar) observeControl(busy func() (time.Duration, uint64)) {
	spent := r.total("sardinelock.control.busy-time", "s", "Time spent on the control thread.")
	events := r.total("sardinelock.control.events", "{event}", "Events applied on the control thread.")
	r.callback(func(_ context.Context, o metric.Observer) error {
		d, n := busy()
		o.ObserveFloat64(spent, d.Seconds())
		o.ObserveFloat64(events, float64(n))
		return nil
	}, spent, events)
}

func (r *registrar) observeCertificate(expiry func() time.Time) {
	until := r.gauge("sardinelock.certificate.expiry", "s", "Unix time at which the certificate in use expires.")
	r.callback(func(_ context.Context, o metric.Observer) error {
		if at := expiry(); !at.IsZero() {
			o.ObserveFloat64(until, float64(at.Unix()))
		}
		return nil
	}, until)
}
