package meter

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"sardinelock.dev/sardinelock/internal/connector"
	"sardinelock.dev/sardinelock/internal/messenger"
)

// Sources are read at each collection. The functions are called on the goroutine of
// the collection and may wait for an answer of the control thread.
type Sources struct {
	// Traffic counts the messages and bytes on connections to peers; it must not be
	// nil.
	Traffic *connector.Counts
	// Busy returns the busy time of the control thread and the number of events that
	// it has applied.
	Busy func() (time.Duration, uint64)
	// Entry returns the state of an entry; nil in other roles.
	Entry func() EntryState
	// Agent returns the state of an agent; nil in other roles.
	Agent func() AgentState
	// CertificateExpiry returns the expiry time of the process's certificate, or the
	// zero time without TLS. It may be nil.
	CertificateExpiry func() time.Time
}

// EntryState has the values of the metrics of an entry.
type EntryState struct {
	// OpenJobs is the number of jobs without an answer. KeptJobs is the number of all
	// jobs in memory, open or answered.
	OpenJobs, KeptJobs int
	// QueuedTasks is the number of tasks that wait to be scheduled on an upstream.
	QueuedTasks int
	// Upstreams counts the upstreams by state.
	Upstreams []StateCount
	// CreditLimit is the number of starts that agents allow this entry;
	// CreditUsed is the number of them that are outstanding.
	CreditLimit, CreditUsed int
	// Ejections is the total number of ejections of upstreams.
	Ejections uint64
	// Partitions are the partitions that this entry owns.
	Partitions []messenger.PartitionEpoch
	// Peers counts the connections to peers by role.
	Peers []StateCount
	// ConfigVersion is the configuration version in force; 0 if there is none.
	ConfigVersion uint64
	// ConfigAge is the time since a source last confirmed the version; negative if
	// none ever did.
	ConfigAge time.Duration
	// ConfigStates counts this entry and its agents by the state of their
	// configuration relative to the current version.
	ConfigStates []StateCount
	Draining     bool
	// Evacuations is what the process knows of the evacuation of data centres; nil if there is none in the
	// deployment.
	Evacuations *EvacuationState
	// Objectives are the objectives of all services in the configuration in force.
	Objectives []ObjectiveState
}

// ObjectiveState has the settings of one objective of a service that alarms use.
type ObjectiveState struct {
	Service, Objective string
	// Budget is the share of jobs that may be bad.
	Budget float64
	// MinBadJobs is the number of jobs that must be bad in the short window before the
	// burn rate raises an alarm.
	MinBadJobs int
}

// EvacuationState is what a process knows of the evacuation of data centres.
type EvacuationState struct {
	Version uint64
	// Age is the time since the version was last known to be the latest.
	Age         time.Duration
	DataCentres []string // DataCentres are being evacuated.
}

// StateCount is the number of items in a state.
type StateCount struct {
	State string
	Count int
}

// AgentState has the values of the metrics of an agent.
type AgentState struct {
	Running, Waiting, Slots int
	Records                 int
	State                   messenger.UpstreamState
	// UpstreamCrashes counts the crashes of the upstream.
	UpstreamCrashes uint64
	// HighestEpoch is the highest epoch seen of any partition.
	HighestEpoch uint64
	// Entries is the number of connected entries.
	Entries int
	// ConfigVersion is the configuration version in force; 0 if there is none.
	// ConfigCurrent is set if that version is the latest and the agent would be
	// notified of a later one.
	ConfigVersion uint64
	ConfigCurrent bool
	// Evacuations is as in [EntryState].
	Evacuations *EvacuationState
}

// instrumentBuilder creates instruments and records the first error.
type instrumentBuilder struct {
	meter metric.Meter
	err   error
}

func (r *instrumentBuilder) recordError(err error) {
	if r.err == nil {
		r.err = err
	}
}

func (r *instrumentBuilder) histogram(name, description string, bounds metric.HistogramOption) metric.Float64Histogram {
	h, err := r.meter.Float64Histogram(name, metric.WithUnit("s"), metric.WithDescription(description), bounds)
	r.recordError(err)
	return h
}

func (r *instrumentBuilder) counter(name, description string) metric.Int64Counter {
	c, err := r.meter.Int64Counter(name, metric.WithDescription(description))
	r.recordError(err)
	return c
}

func (r *instrumentBuilder) total(name, unit, description string) metric.Float64ObservableCounter {
	c, err := r.meter.Float64ObservableCounter(name, metric.WithUnit(unit), metric.WithDescription(description))
	r.recordError(err)
	return c
}

func (r *instrumentBuilder) gauge(name, unit, description string) metric.Float64ObservableGauge {
	g, err := r.meter.Float64ObservableGauge(name, metric.WithUnit(unit), metric.WithDescription(description))
	r.recordError(err)
	return g
}

func (r *instrumentBuilder) callback(f metric.Callback, instruments ...metric.Observable) {
	_, err := r.meter.RegisterCallback(f, instruments...)
	r.recordError(err)
}

// observe registers the instruments that read the sources.
func (r *instrumentBuilder) observe(s Sources) {
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

// observeTraffic reports messages and bytes. Only the sender counts messages by kind;
// the receiver reports totals.
func (r *instrumentBuilder) observeTraffic(c *connector.Counts) {
	messages := r.total("sardinelock.peer.messages", "{message}", "Messages sent to peers by kind.")
	bytes := r.total("sardinelock.peer.bytes", "By", "Bytes sent to peers by the leading kind of their frame.")
	io := r.total("sardinelock.peer.io", "By", "Bytes on connections to peers by direction.")
	batches := r.total("sardinelock.peer.batches", "{message}", "WebSocket messages by direction.")
	control := r.total("sardinelock.control.bytes", "By", "Bytes sent to peers in frames without tasks or results.")
	r.callback(func(_ context.Context, o metric.Observer) error {
		var controlBytes uint64
		for i, kind := range messenger.MessageKinds {
			n := c.SentKinds[i].Bytes.Load()
			if !messenger.CarriesWork(i) {
				controlBytes += n
			}
			o.ObserveFloat64(messages, float64(c.SentKinds[i].Messages.Load()), label("type", string(kind)))
			o.ObserveFloat64(bytes, float64(n), label("type", string(kind)))
		}
		o.ObserveFloat64(control, float64(controlBytes))
		o.ObserveFloat64(io, float64(c.BytesSent.Load()), label("direction", "sent"))
		o.ObserveFloat64(io, float64(c.BytesRead.Load()), label("direction", "read"))
		o.ObserveFloat64(batches, float64(c.MessagesSent.Load()), label("direction", "sent"))
		o.ObserveFloat64(batches, float64(c.MessagesRead.Load()), label("direction", "read"))
		return nil
	}, messages, bytes, control, io, batches)
}

func (r *instrumentBuilder) observeControl(busy func() (time.Duration, uint64)) {
	spent := r.total("sardinelock.control.busy-time", "s", "Time spent on the control thread.")
	events := r.total("sardinelock.control.events", "{event}", "Events applied on the control thread.")
	r.callback(func(_ context.Context, o metric.Observer) error {
		d, n := busy()
		o.ObserveFloat64(spent, d.Seconds())
		o.ObserveFloat64(events, float64(n))
		return nil
	}, spent, events)
}

func (r *instrumentBuilder) observeCertificate(expiry func() time.Time) {
	expirySeconds := r.gauge("sardinelock.certificate.expiry", "s", "Unix time at which the certificate in use expires.")
	r.callback(func(_ context.Context, o metric.Observer) error {
		if at := expiry(); !at.IsZero() {
			o.ObserveFloat64(expirySeconds, float64(at.Unix()))
		}
		return nil
	}, expirySeconds)
}
