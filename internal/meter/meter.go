// Package meter records metrics of a process with OpenTelemetry and serves them in
// the Prometheus text format.
//
// Events that occur about once per job are recorded as they occur
// ([Meter.Answered], [Meter.Started], [Meter.Request]). More frequent events are
// counted in atomics by the component in which they occur. Each collection reads
// these counts through the functions of [Sources], so that the traffic does not pay
// for it.
package meter

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/resource"
)

// instrumentationScope is the OpenTelemetry instrumentation scope of all metrics.
const instrumentationScope = "sardinelock.dev/sardinelock"

// durationBounds are the bucket boundaries of all duration histograms, in seconds.
var durationBounds = []float64{
	0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 5, 10, 30,
}

// Meter holds the instruments of one process.
type Meter struct {
	provider *sdk.MeterProvider
	handler  http.Handler

	requestDurations metric.Float64Histogram
	jobDurations     metric.Float64Histogram
	queueTimes       metric.Float64Histogram
	answers          metric.Int64Counter
	verdicts         metric.Int64Counter
	storeCalls       metric.Int64Counter
	crashedRuns      metric.Int64Counter
	rejectedFree     metric.Int64Counter
	recalls          metric.Int64Counter
	inquiries        metric.Int64Counter

	answerOptions  optionCache[answerKey]
	jobOptions     optionCache[answerKey]
	verdictOptions optionCache[verdictKey]
	queueOptions   optionCache[string]
	recallOptions  optionCache[string]
	requestOptions optionCache[requestKey]
	storeOptions   optionCache[storeKey]
}

// Identity identifies the process in its metrics.
type Identity struct {
	Role       string
	Peer       string
	Region     string
	DataCentre string
}

// New returns a meter that reads the sources at each collection. It returns an error
// of kind [KindExporter] or [KindInstrument] if the exporter or an instrument cannot
// be created.
func New(id Identity, s Sources) (*Meter, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprometheus.New(
		otelprometheus.WithRegisterer(registry),
		otelprometheus.WithoutScopeInfo(),
	)
	if err != nil {
		return nil, &Error{Op: "new", Kind: KindExporter, Err: err}
	}
	m := &Meter{
		provider: sdk.NewMeterProvider(sdk.WithReader(exporter), sdk.WithResource(id.resource())),
		handler:  promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
	}
	if err := m.register(s); err != nil {
		return nil, &Error{Op: "new", Kind: KindInstrument, Err: err}
	}
	return m, nil
}

func (id Identity) resource() *resource.Resource {
	return resource.NewSchemaless(
		attribute.String("service.name", "sardinelock-"+id.Role),
		attribute.String("service.instance.id", id.Peer),
		attribute.String("sardinelock.region", id.Region),
		attribute.String("sardinelock.data-centre", id.DataCentre),
	)
}

// Handler returns a handler that serves the values of all instruments.
func (m *Meter) Handler() http.Handler { return m.handler }

// Close shuts down the meter's provider and exporter.
func (m *Meter) Close(ctx context.Context) error {
	if err := m.provider.Shutdown(ctx); err != nil {
		return &Error{Op: "close", Kind: KindExporter, Err: err}
	}
	return nil
}

// Answered records the answer to a job.
func (m *Meter) Answered(service, outcome, reason string, took time.Duration) {
	ctx := context.Background()
	key := answerKey{service, outcome, reason}
	m.answers.Add(ctx, 1, m.answerOptions.get(key, answerKey.attributes).add...)
	key.reason = ""
	m.jobDurations.Record(ctx, took.Seconds(), m.jobOptions.get(key, answerKey.jobAttributes).record...)
}

// Judged records the verdict on an answer for one objective of its service.
func (m *Meter) Judged(service, objective, verdict string) {
	key := verdictKey{service, objective, verdict}
	m.verdicts.Add(context.Background(), 1, m.verdictOptions.get(key, verdictKey.attributes).add...)
}

// Started records the time that a job waited before its first task was sent.
func (m *Meter) Started(service string, waited time.Duration) {
	m.queueTimes.Record(context.Background(), waited.Seconds(), m.queueOptions.get(service, serviceAttributes).record...)
}

// RejectedWhileFree records a job that was rejected although an upstream had free capacity for one of its tasks.
func (m *Meter) RejectedWhileFree(service string) {
	m.rejectedFree.Add(context.Background(), 1, m.queueOptions.get(service, serviceAttributes).add...)
}

// Crashed records a run that ended because its upstream crashed.
func (m *Meter) Crashed(service string) {
	m.crashedRuns.Add(context.Background(), 1, m.queueOptions.get(service, serviceAttributes).add...)
}

// Recalled records the end of a recall: a job that was submitted here while another entry had it
// open.
func (m *Meter) Recalled(outcome string) {
	m.recalls.Add(context.Background(), 1, m.recallOptions.get(outcome, outcomeAttributes).add...)
}

// Inquired records the end of an inquiry: the other entries were asked about a job whose request was
// read late.
func (m *Meter) Inquired(outcome string) {
	m.inquiries.Add(context.Background(), 1, m.recallOptions.get(outcome, outcomeAttributes).add...)
}

// knownMethods are the HTTP methods with a series of their own. Any other method
// counts as otherMethod, so that clients cannot create new series.
var knownMethods = []string{
	http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch,
	http.MethodDelete, http.MethodConnect, http.MethodOptions, http.MethodTrace,
}

const otherMethod = "_OTHER"

// Request records one HTTP request. The route is a pattern, not a path.
func (m *Meter) Request(method, route string, status int, took time.Duration) {
	if !slices.Contains(knownMethods, method) {
		method = otherMethod
	}
	key := requestKey{method, route, status}
	m.requestDurations.Record(context.Background(), took.Seconds(), m.requestOptions.get(key, requestKey.attributes).record...)
}

// StoreCall records one attempt of a call to the platform. errorKind is empty if the
// attempt succeeded.
func (m *Meter) StoreCall(operation, errorKind string) {
	key := storeKey{operation, errorKind}
	m.storeCalls.Add(context.Background(), 1, m.storeOptions.get(key, storeKey.attributes).add...)
}

func (m *Meter) register(s Sources) error {
	r := &instrumentBuilder{meter: m.provider.Meter(instrumentationScope)}
	bounds := metric.WithExplicitBucketBoundaries(durationBounds...)
	m.requestDurations = r.histogram("http.server.request.duration", "Duration of HTTP server requests.", bounds)
	m.jobDurations = r.histogram("sardinelock.job.duration", "Time from the arrival of a job to its answer.", bounds)
	m.queueTimes = r.histogram("sardinelock.job.queue-time", "Time from the arrival of a job at its owner to its first start.", bounds)
	m.answers = r.counter("sardinelock.job.answers", "Answers by kind and reason.")
	m.verdicts = r.counter("sardinelock.objective.events", "Answers by what they are for each objective of their service.")
	m.storeCalls = r.counter("sardinelock.store.calls", "Tries of calls of the platform's services.")
	m.crashedRuns = r.counter("sardinelock.task.crashes", "Runs of tasks that ended because their upstream crashed.")
	m.rejectedFree = r.counter("sardinelock.job.rejections-while-free", "Jobs rejected although an upstream had free capacity for a task.")
	m.recalls = r.counter("sardinelock.job.recalls", "Jobs that were submitted here while another entry had them open.")
	m.inquiries = r.counter("sardinelock.job.inquiries", "Jobs whose requests were read late, and about which the other entries were asked.")
	r.observe(s)
	return r.err
}
