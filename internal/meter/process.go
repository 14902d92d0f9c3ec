package meter

import (
	"context"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"go.opentelemetry.io/otel/metric"
)

// observeProcess reports CPU time and memory, with names from the OpenTelemetry
// semantic conventions.
func (r *instrumentBuilder) observeProcess() {
	cpu := r.total("process.cpu.time", "s", "Processor time of the process by mode.")
	memory := r.gauge("process.memory.usage", "By", "Physical memory in use by the process.")
	r.callback(func(_ context.Context, o metric.Observer) error {
		var usage syscall.Rusage
		if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
			return err
		}
		o.ObserveFloat64(cpu, time.Duration(usage.Utime.Nano()).Seconds(), label("cpu.mode", "user"))
		o.ObserveFloat64(cpu, time.Duration(usage.Stime.Nano()).Seconds(), label("cpu.mode", "system"))
		o.ObserveFloat64(memory, float64(residentBytes()))
		return nil
	}, cpu, memory)
}

// residentBytes returns the size of the resident memory, or 0 if the system does not
// provide it in /proc.
func residentBytes() int64 {
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}
