package meter

import (
	"sync"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// optionCache caches the options with the attributes of each series, so that a
// measurement need not build them again. Nothing is evicted, so the set of keys must
// be bounded: services, outcomes, routes and the like.
type optionCache[K comparable] struct {
	mu     sync.RWMutex
	cached map[K]seriesOptions
}

// seriesOptions has the options of one series as the two option types that instruments
// accept.
type seriesOptions struct {
	record []metric.RecordOption
	add    []metric.AddOption
}

// get returns the options of a key. It builds the attributes at the first call for the
// key.
func (s *optionCache[K]) get(key K, attributes func(K) []attribute.KeyValue) seriesOptions {
	s.mu.RLock()
	m, ok := s.cached[key]
	s.mu.RUnlock()
	if ok {
		return m
	}
	option := metric.WithAttributeSet(attribute.NewSet(attributes(key)...))
	m = seriesOptions{record: []metric.RecordOption{option}, add: []metric.AddOption{option}}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cached == nil {
		s.cached = make(map[K]seriesOptions)
	}
	s.cached[key] = m
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

// jobAttributes omits the reason, which would multiply the number of histograms.
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

func outcomeAttributes(outcome string) []attribute.KeyValue {
	return []attribute.KeyValue{attribute.String("outcome", outcome)}
}
