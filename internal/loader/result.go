package loader

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"

	"sardinelock.dev/sardinelock/pkg/submitter"
)

// Count is the number of requests with one kind of answer.
type Count struct {
	Answer string `json:"answer"`
	Count  int    `json:"count"`
}

// Latency is a distribution of response times, measured from the scheduled time of
// sending.
type Latency struct {
	Count int64              `json:"count"`
	P50   submitter.Duration `json:"p50"`
	P90   submitter.Duration `json:"p90"`
	P99   submitter.Duration `json:"p99"`
	P999  submitter.Duration `json:"p999"`
	Max   submitter.Duration `json:"max"`
}

// Result holds the measurements and checks of a run.
type Result struct {
	Experiment string             `json:"experiment"`
	Seed       uint64             `json:"seed"`
	Elapsed    submitter.Duration `json:"took"`
	Jobs       int                `json:"jobs"`
	Requests   int                `json:"requests"`
	// Shed counts arrivals that were not sent because MaxOutstanding requests were in
	// flight.
	Shed    int     `json:"shed"`
	Answers []Count `json:"answers"`
	// CompleteLatency is the latency of complete jobs, OtherLatency that of all other
	// requests. Both exclude resubmissions.
	CompleteLatency Latency `json:"complete-latency"`
	OtherLatency    Latency `json:"other-latency"`
	// MeanRatio is the ratio of the mean response time of complete jobs to the ideal
	// mean.
	MeanRatio float64 `json:"mean-ratio-to-ideal"`
	// RatioP50 and RatioP99 are quantiles, over complete jobs, of the ratio of the
	// response time to the ideal one.
	RatioP50 float64 `json:"p50-ratio-to-ideal"`
	RatioP99 float64 `json:"p99-ratio-to-ideal"`
	// Starts is the number of task starts in the start records.
	Starts          int     `json:"starts"`
	StartsPerSecond float64 `json:"starts-per-second"`
	// MessagesPerTask and BytesPerTask are zero if messages cannot be counted.
	MessagesPerTask float64      `json:"messages-per-task"`
	BytesPerTask    float64      `json:"bytes-per-task"`
	Checks          []Check      `json:"checks"`
	Steps           []StepResult `json:"steps,omitempty"`

	points []point
}

// point is a complete job in the plot.
type point struct{ arrival, latency, ideal time.Duration }

const (
	histogramMax    = int64(time.Hour / time.Microsecond)
	histogramDigits = 3
)

// Valid reports whether no check was violated and every arrival was sent.
func (r *Result) Valid() bool {
	return r.Shed == 0 && !slices.ContainsFunc(r.Checks, func(c Check) bool { return c.Violations > 0 })
}

// result computes the result from the recorded requests.
func (r *runner) result(m PeerTraffic) (*Result, error) {
	elapsed := time.Since(r.started)
	out := &Result{
		Experiment: r.experiment.Name,
		Seed:       r.experiment.Seed,
		Elapsed:    submitter.Duration(elapsed),
		Jobs:       len(r.jobs),
		Requests:   len(r.requests),
		Shed:       r.notSent,
		Answers:    r.countAnswers(),
		Checks:     r.checkAnswers(),
		Steps:      r.steps,
	}
	checks, starts, err := r.checkStarts()
	if err != nil {
		return nil, err
	}
	out.Checks = append(out.Checks, checks...)
	out.Starts = starts
	if starts > 0 {
		out.StartsPerSecond = float64(starts) / r.lastEnd().Seconds()
		out.MessagesPerTask = float64(m.Count) / float64(starts)
		out.BytesPerTask = float64(m.Bytes) / float64(starts)
	}
	r.addLatency(out)
	slices.SortFunc(out.Steps, func(a, b StepResult) int { return cmp.Compare(a.At, b.At) })
	return out, nil
}

func (r *runner) lastEnd() time.Duration {
	last := time.Duration(1)
	for i := range r.requests {
		last = max(last, r.requests[i].end)
	}
	return last
}

func (r *runner) countAnswers() []Count {
	counts := make(map[string]int)
	for i := range r.requests {
		counts[r.requests[i].answerKind()]++
	}
	var out []Count
	for answer, n := range counts {
		out = append(out, Count{answer, n})
	}
	slices.SortFunc(out, func(a, b Count) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Answer, b.Answer))
	})
	return out
}

// answerKind names the kind of answer that a request got, as in Count.Answer.
func (q *request) answerKind() string {
	switch {
	case q.unanswered:
		return "none"
	case q.rejected != "":
		return q.rejected
	case q.answer.Reason != "":
		return string(q.answer.Outcome) + " " + string(q.answer.Reason)
	}
	return string(q.answer.Outcome)
}

func (r *runner) addLatency(out *Result) {
	complete, other := newHistogram(), newHistogram()
	ideal := idealResponseTimes(r.jobs, r.target.Slots)
	var ratios []float64
	var totalLatency, totalIdeal time.Duration
	for i := range r.requests {
		q := &r.requests[i]
		if q.duplicate {
			continue
		}
		if q.unanswered || q.answer.Outcome != submitter.OutcomeComplete {
			record(other, q.latency)
			continue
		}
		record(complete, q.latency)
		idealLatency := max(ideal[q.jobIndex], time.Microsecond)
		ratios = append(ratios, float64(q.latency)/float64(idealLatency))
		totalLatency += q.latency
		totalIdeal += idealLatency
		out.points = append(out.points, point{r.jobs[q.jobIndex].arrival, q.latency, idealLatency})
	}
	out.CompleteLatency, out.OtherLatency = latencyOf(complete), latencyOf(other)
	if len(ratios) > 0 {
		slices.Sort(ratios)
		out.MeanRatio = float64(totalLatency) / float64(totalIdeal)
		out.RatioP50 = ratios[len(ratios)/2]
		out.RatioP99 = ratios[len(ratios)*99/100]
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, histogramMax, histogramDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// No error is possible: a run is shorter than the histogram's range.
	_ = h.RecordValue(max(1, d.Microseconds()))
}

func latencyOf(h *hdrhistogram.Histogram) Latency {
	at := func(q float64) submitter.Duration {
		return submitter.Duration(time.Duration(h.ValueAtQuantile(q)) * time.Microsecond)
	}
	return Latency{
		Count: h.TotalCount(),
		P50:   at(50), P90: at(90), P99: at(99), P999: at(99.9),
		Max: submitter.Duration(time.Duration(h.Max()) * time.Microsecond),
	}
}

// WriteJSON writes the result as one JSON object.
func (r *Result) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	if err := enc.Encode(r); err != nil {
		return errors.Trace(err)
	}
	return nil
}

// WriteTable writes the result as a human-readable table.
func (r *Result) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "experiment\t%s, seed %d\n", r.Experiment, r.Seed)
	fmt.Fprintf(t, "took\t%s\n", time.Duration(r.Elapsed).Round(time.Millisecond))
	fmt.Fprintf(t, "requests\t%d for %d jobs, %d not sent\n", r.Requests, r.Jobs, r.Shed)
	for _, c := range r.Answers {
		fmt.Fprintf(t, "  %s\t%d\n", c.Answer, c.Count)
	}
	writeLatency(t, "latency of complete jobs", r.CompleteLatency)
	writeLatency(t, "latency of other answers", r.OtherLatency)
	fmt.Fprintf(t, "response against ideal\tmean %.3f, p50 %.3f, p99 %.3f\n", r.MeanRatio, r.RatioP50, r.RatioP99)
	fmt.Fprintf(t, "task starts\t%d, %.0f a second\n", r.Starts, r.StartsPerSecond)
	if r.MessagesPerTask > 0 {
		fmt.Fprintf(t, "messages a task\t%.3f\n", r.MessagesPerTask)
		fmt.Fprintf(t, "bytes a task\t%.0f\n", r.BytesPerTask)
	} else {
		fmt.Fprintf(t, "messages a task\tnot counted\n")
	}
	for _, s := range r.Steps {
		fmt.Fprintf(t, "step at %s\t%s %s\n", s.At.Round(time.Millisecond), s.Do, s.Error)
	}
	for _, c := range r.Checks {
		fmt.Fprintf(t, "check: %s\t%s\n", c.Name, c.verdict())
	}
	if err := t.Flush(); err != nil {
		return errors.Trace(err)
	}
	return nil
}

func writeLatency(w io.Writer, name string, l Latency) {
	if l.Count == 0 {
		return
	}
	fmt.Fprintf(w, "%s\tp50 %s, p90 %s, p99 %s, p99.9 %s, max %s\n", name,
		rounded(l.P50), rounded(l.P90), rounded(l.P99), rounded(l.P999), rounded(l.Max))
}

func rounded(d submitter.Duration) time.Duration {
	return time.Duration(d).Round(10 * time.Microsecond)
}

func (c *Check) verdict() string {
	switch {
	case c.Skipped != "":
		return "not checked: " + c.Skipped
	case c.Violations > 0:
		return fmt.Sprintf("VIOLATED %d times: %s", c.Violations, c.Example)
	}
	return "holds"
}
