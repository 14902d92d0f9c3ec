package meter

import (
	"time"

	"go.opentelemetry.io/otel/metric"

	"sardinelock.dev/sardinelock/internal/evacuator"
)

// StateOfEvacuations returns what an evacuator knows; nil if the deployment has no evacuations.
func StateOfEvacuations(e *evacuator.Evacuator, now time.Duration) *EvacuationState {
	if e == nil {
		return nil
	}
	return &EvacuationState{Version: e.Version(), Age: e.Age(now), DataCentres: e.DataCentres()}
}

// evacuationGauges report what a process knows of the evacuation of data centres.
type evacuationGauges struct{ evacuated, version, age metric.Float64ObservableGauge }

func (r *instrumentBuilder) evacuationGauges() evacuationGauges {
	return evacuationGauges{
		evacuated: r.gauge("sardinelock.evacuation.active", "", "1 for each data centre that is being evacuated."),
		version:   r.gauge("sardinelock.evacuation.version", "{version}", "Version of the evacuations in force; 0 if none is known."),
		age:       r.gauge("sardinelock.evacuation.age", "s", "Time since the version of the evacuations was last known to be the latest."),
	}
}

func (g *evacuationGauges) all() []metric.Observable {
	return []metric.Observable{g.evacuated, g.version, g.age}
}

func (g *evacuationGauges) observe(o metric.Observer, s *EvacuationState) {
	if s == nil {
		return
	}
	for _, name := range s.DataCentres {
		o.ObserveFloat64(g.evacuated, 1, label("data-centre", name))
	}
	o.ObserveFloat64(g.version, float64(s.Version))
	o.ObserveFloat64(g.age, s.Age.Seconds())
}
