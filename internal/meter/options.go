package meter

import (
	"sync"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// series has the options of measurements that were made before, so that a
// measurement need not build its attributes anew. Keys must be bounded: services,
// outcomes, routes and the like.
type series[K comparable] struct {
	mu    sync.RWMutex
	known map[K]measurement
}

// measurement has the options of one series in the forms that instruments take.
type measurement struct {
	record []metric.RecordOption
	add    []metric.AddOption
}

// get returns the options of a key, whose attributes are made the first time.
func (s *series[K]) get(key K, attributes func(K) []attribute.KeyValue) measurement {
	s.mu.RLock()
	m, ok := s.known[key]
	s.mu.RUnlock()
	if ok {
		return m
	}
	option := metric.WithAttributeSet(attribute.NewSet(attributes(key)...))
	m = measurement{record: []metric.RecordOption{option}, add: []metric.AddOption{option}}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.known == nil {
		s.known = make(map[K]measurement)
	}
	s.known[key] = m
	return m
}

// The keys of the series.
type (
	answerKey  struct{ service, outcome, reason string }
	verdictKey struct{ service, objective, verdict string }
	requestKey struct {
		method, route string
		status        int
	}
	storeKey struct{ operation, errorKind string }
)

func (k answerKey) attributes() []attribute.KeyValue {
	return []attribute.KeyValue{
		attribute.String("service", k.service),
		attribute.String("outcome", k.outcome),
		attribute.String("reason", k.reason),
	}
}

// jobAttributes leaves out the reason, which would multiply the histograms.
func (k answerKey) jobAttributes() []attribute.KeyValue { return k.attributes()[:2] }

func (k verdictKey) attributes() []attribute.KeyValue {
	return []attribute.KeyValue{
		attribute.String("service", k.service),
		attribute.String("objective", k.objective),
		attribute.String("verdict", k.verdict),
	}
}

func (k requestKey) attributes() []attribute.KeyValue {
	return []attribute.KeyValue{
		attribute.String("http.request.method", k.method),
		attribute.String("http.route", k.route),
		attribute.Int("http.response.status_code", k.status),
	}
}

func (k storeKey) attributes() []attribute.KeyValue {
	return []attribute.KeyValue{
		attribute.String("operation", k.operation),
		attribute.String("error.type", k.errorKind),
	}
}

func serviceAttributes(service string) []attribute.KeyValue {
	return []attribute.KeyValue{attribute.String("service", service)}
}
