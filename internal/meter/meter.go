// Package meter measures a process with OpenTelemetry and serves the values in
// Prometheus' text format.
//
// What happens once a job is recorded as it happens ([Meter.Answered],
// [Meter.Started], [Meter.Request]). Everything that happens more often is
// counted in atomics by the part that does it, and read at each collection from
// the functions of [Sources]; a collection costs the traffic nothing.
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

// scope names the instrumentation in exported metrics.
const scope = "sardinelock.dev/sardinelock"

// durationBounds are the boundaries of the histograms of times, in seconds.
var durationBounds = []float64{
	0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 5, 10, 30,
}

// Meter holds the instruments of one process.
type Meter struct {
	provider *sdk.MeterProvider
	handler  http.Handler

	requests metric.Float64Histogram
	jobs     metric.Float64Histogram
	queue    metric.Float64Histogram
	answers  metric.Int64Counter
	verdicts metric.Int64Counter
	store    metric.Int64Counter
}

// Identity names the process in its metrics.
type Identity struct {
	Role       string
	Peer       string
	Region     string
	DataCentre string
}

// New returns a meter that reads the sources at each collection. It returns an
// error of kind [KindInstrument] if an instrument cannot be made.
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

// Handler serves the values of all instruments.
func (m *Meter) Handler() http.Handler { return m.handler }

// Close releases what the meter holds.
func (m *Meter) Close(ctx context.Context) error {
	if err := m.provider.Shutdown(ctx); err != nil {
		return &Error{Op: "close", Kind: KindExporter, Err: err}
	}
	return nil
}

// Answered records the answer to a job.
func (m *Meter) Answered(service, outcome, reason string, took time.Duration) {
	ctx := context.Background()
	m.jobs.Record(ctx, took.Seconds(), metric.WithAttributes(
		attribute.String("service", service),
		attribute.String("outcome", outcome),
	))
	m.answers.Add(ctx, 1, metric.WithAttributes(
		attribute.String("service", service),
		attribute.String("outcome", outcome),
		attribute.String("reason", reason),
	))
}

// Judged records what an answer is for one objective of its service.
func (m *Meter) Judged(service, objective, verdict string) {
	m.verdicts.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("service", service),
		attribute.String("objective", objective),
		attribute.String("verdict", verdict),
	))
}

// Started records how long a job waited until its first task was sent.
func (m *Meter) Started(service string, waited time.Duration) {
	m.queue.Record(context.Background(), waited.Seconds(),
		metric.WithAttributes(attribute.String("service", service)))
}

// knownMethods are the HTTP methods that are told apart. Any other counts as
// otherMethod, so that clients cannot make new series.
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
	m.requests.Record(context.Background(), took.Seconds(), metric.WithAttributes(
		attribute.String("http.request.method", method),
		attribute.String("http.route", route),
		attribute.Int("http.response.status_code", status),
	))
}

// StoreCall records one try of a call of the platform. The kind of error is empty
// if the call went well.
func (m *Meter) StoreCall(operation, errorKind string) {
	m.store.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("operation", operation),
		attribute.String("error.type", errorKind),
	))
}

func (m *Meter) register(s Sources) error {
	r := &registrar{meter: m.provider.Meter(scope)}
	bounds := metric.WithExplicitBucketBoundaries(durationBounds...)
	m.requests = r.histogram("http.server.request.duration", "Duration of HTTP server requests.", bounds)
	m.jobs = r.histogram("sardinelock.job.duration", "Time from the arrival of a job to its answer.", bounds)
	m.queue = r.histogram("sardinelock.job.queue-time", "Time from the arrival of a job at its owner to its first start.", bounds)
	m.answers = r.counter("sardinelock.job.answers", "Answers by kind and reason.")
	m.verdicts = r.counter("sardinelock.objective.events", "Answers by what they are for each objective of their service.")
	m.store = r.counter("sardinelock.store.calls", "Tries of calls of the platform's services.")
	r.observe(s)
	return r.err
}
