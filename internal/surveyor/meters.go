package surveyor

import (
	"context"
	"time"

	"sardinelock.dev/sardinelock/internal/connector"
	"sardinelock.dev/sardinelock/internal/timer"
)

// meter names one cost.
type meter struct{ name, unit string }

// meters gathers samples of several costs at the same sizes.
type meters struct {
	per     string
	meters  []meter
	samples [][]Sample // samples has one list a meter.
}

func newMeters(per string, list ...meter) *meters {
	return &meters{per: per, meters: list, samples: make([][]Sample, len(list))}
}

// add takes one value a meter, in the order of the meters.
func (m *meters) add(size float64, values ...float64) {
	for i, v := range values {
		m.samples[i] = append(m.samples[i], Sample{size, v})
	}
}

func (m *meters) slopes() []Slope {
	var out []Slope
	for i, mt := range m.meters {
		out = append(out, NewSlope(mt.name, mt.unit, m.per, m.samples[i]))
	}
	return out
}

// reading is what a process used while it was held at a size.
type reading struct {
	took     time.Duration
	cores    float64
	resident float64
	messages float64 // messages is a rate a second, sent and read.
	bytes    float64 // bytes is a rate a second, sent and read.
}

// measure holds the system as it is and reads what was used.
func measure(ctx context.Context, o Options, traffic func() connector.Totals) (reading, error) {
	before, err := ReadUsage(o.PID)
	if err != nil {
		return reading{}, err
	}
	from, begun := traffic(), time.Now()
	timer.Sleep(ctx, o.MeasurementDuration)
	to, took := traffic(), time.Since(begun)
	after, err := ReadUsage(o.PID)
	if err != nil {
		return reading{}, err
	}
	seconds := took.Seconds()
	return reading{
		took:     took,
		cores:    (after.ProcessorTime - before.ProcessorTime).Seconds() / seconds,
		resident: float64(after.ResidentBytes),
		messages: float64(to.MessagesSent+to.MessagesRead-from.MessagesSent-from.MessagesRead) / seconds,
		bytes:    float64(to.BytesSent+to.BytesRead-from.BytesSent-from.BytesRead) / seconds,
	}, nil
}
