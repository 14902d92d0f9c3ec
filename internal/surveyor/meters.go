package surveyor

import (
	"context"
	"time"

	"sardinelock.dev/sardinelock/internal/connector"
	"sardinelock.dev/sardinelock/internal/timer"
)

// meter is the name and the unit of a measured cost.
type meter struct{ name, unit string }

// meterSet collects samples of several costs at the same sizes.
type meterSet struct {
	per     string
	meters  []meter
	samples [][]Sample // one list for each meter
}

func newMeters(per string, list ...meter) *meterSet {
	return &meterSet{per: per, meters: list, samples: make([][]Sample, len(list))}
}

// add adds one sample to each meter; values are in the order of the meters.
func (m *meterSet) add(size float64, values ...float64) {
	for i, v := range values {
		m.samples[i] = append(m.samples[i], Sample{size, v})
	}
}

func (m *meterSet) slopes() []Slope {
	var out []Slope
	for i, mt := range m.meters {
		out = append(out, NewSlope(mt.name, mt.unit, m.per, m.samples[i]))
	}
	return out
}

// reading is the resource usage of a process, and the traffic of the system, during
// one measurement.
type reading struct {
	elapsed  time.Duration
	cores    float64
	resident float64
	messages float64 // messages sent and received per second
	bytes    float64 // bytes sent and received per second
}

// measure measures the process and the traffic for o.MeasurementDuration, without
// changing the system.
func measure(ctx context.Context, o Options, traffic func() connector.Totals) (reading, error) {
	before, err := ReadUsage(o.PID)
	if err != nil {
		return reading{}, err
	}
	trafficBefore, started := traffic(), time.Now()
	timer.Sleep(ctx, o.MeasurementDuration)
	trafficAfter, elapsed := traffic(), time.Since(started)
	after, err := ReadUsage(o.PID)
	if err != nil {
		return reading{}, err
	}
	seconds := elapsed.Seconds()
	return reading{
		elapsed:  elapsed,
		cores:    (after.ProcessorTime - before.ProcessorTime).Seconds() / seconds,
		resident: float64(after.ResidentBytes),
		messages: float64(trafficAfter.MessagesSent+trafficAfter.MessagesRead-trafficBefore.MessagesSent-trafficBefore.MessagesRead) / seconds,
		bytes:    float64(trafficAfter.BytesSent+trafficAfter.BytesRead-trafficBefore.BytesSent-trafficBefore.BytesRead) / seconds,
	}, nil
}
