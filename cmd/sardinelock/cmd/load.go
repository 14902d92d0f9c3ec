package cmd

import (
	"context"
	"io"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"sardinelock.dev/sardinelock/internal/launcher"
	"sardinelock.dev/sardinelock/internal/loader"
)

// loadFlags are the flags of the load command.
type loadFlags struct {
	file      string
	dev       bool
	entries   []netip.AddrPort
	metrics   []netip.AddrPort
	startLogs []string
	slots     int
	token     string
	output    string
	plot      string
	quiet     bool
	// If set, the flags below override the values of the experiment.
	seed     uint64
	duration time.Duration
	rate     float64
	process  string
}

func newLoadCommand() *cobra.Command {
	var l loadFlags
	c := &cobra.Command{
		Use:   "load",
		Short: "Load a system with jobs, inject faults and check its answers",
		Long: `Load a system with jobs, inject faults and check its answers.

The load is open-loop: jobs arrive at the times that the experiment defines, whether
or not earlier ones have been answered, and latency counts from the intended start.
With --dev, the system runs in this process on loopback, and the experiment's steps
inject faults. Without --dev, --entry names a running system on this machine. The
start logs of its stand-in upstreams let the loader check starts, and its metrics
addresses let the loader count messages.

The exit code is 1 if a check is violated or a job could not be sent.`,
		Example: `  sardinelock load --dev --experiment examples/tuul/experiment.yaml --plot tuul.svg
  sardinelock load --entry 127.0.0.1:7400 --rate 50 --duration 30s --output json`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			x, err := l.experiment(c)
			if err != nil {
				return err
			}
			result, err := l.run(c, x)
			if err != nil {
				return err
			}
			return l.write(c, result)
		},
	}
	f := c.Flags()
	f.StringVar(&l.file, "experiment", "", "file with the experiment (default: small jobs on a system of the current size)")
	f.BoolVar(&l.dev, "dev", false, "run the system in this process")
	f.Var(addrsFlag{&l.entries}, "entry", "caller addresses of entries of a running system, on loopback")
	f.Var(addrsFlag{&l.metrics}, "metrics", "metrics addresses of the processes of a running system")
	f.StringSliceVar(&l.startLogs, "start-log", nil, "files with the standard output of dev upstreams")
	f.IntVar(&l.slots, "slots", 0, "total slots of the upstreams of a running system (default: from the experiment)")
	f.StringVar(&l.token, "token", "", "bearer token of the callers")
	f.StringVar(&l.output, "output", "table", "format of the result: table or json")
	f.StringVar(&l.plot, "plot", "", "file to write a plot of the response times to, .png or .svg")
	f.BoolVar(&l.quiet, "quiet", false, "do not print progress")
	f.Uint64Var(&l.seed, "seed", 0, "seed of the load (default: from the experiment)")
	f.DurationVar(&l.duration, "duration", 0, "duration of the arrivals (default: from the experiment)")
	f.Float64Var(&l.rate, "rate", 0, "jobs per second (default: from the experiment)")
	f.StringVar(&l.process, "process", "", "arrival process: steady, poisson or burst (default: from the experiment)")
	return c
}

// experiment reads the experiment, applies the flags and validates the result.
func (l *loadFlags) experiment(c *cobra.Command) (loader.Experiment, error) {
	var problems []string
	if l.dev == (len(l.entries) > 0) {
		problems = append(problems, "either --dev or --entry must be set")
	}
	if l.output != "table" && l.output != "json" {
		problems = append(problems, "--output must be table or json, not "+l.output)
	}
	switch filepath.Ext(l.plot) {
	case "", ".png", ".svg":
	default:
		problems = append(problems, "--plot must end in .png or .svg")
	}
	x := loader.DefaultExperiment()
	if l.file != "" {
		text, err := os.ReadFile(l.file)
		if err != nil {
			return x, errors.Trace(err)
		}
		if x, err = loader.ParseExperiment(l.file, text); err != nil {
			return x, &usageError{err}
		}
	}
	l.override(c, &x)
	if err := x.Complete(); err != nil {
		problems = append(problems, err.Error())
	}
	return x, usageErrors(problems)
}

func (l *loadFlags) override(c *cobra.Command, x *loader.Experiment) {
	if c.Flags().Changed("seed") {
		x.Seed = l.seed
	}
	if l.duration != 0 {
		x.Duration = l.duration
	}
	if l.rate != 0 {
		x.Arrival.Rate = l.rate
	}
	if l.process != "" {
		x.Arrival.Process = loader.ArrivalProcess(l.process)
	}
}

func (l *loadFlags) run(c *cobra.Command, x loader.Experiment) (*loader.Result, error) {
	var progress io.Writer = c.ErrOrStderr()
	if l.quiet {
		progress = nil
	}
	if !l.dev {
		return loader.Run(c.Context(), x, l.runningTarget(&x), progress)
	}
	ctx, cancel := context.WithCancel(c.Context())
	system, err := launcher.Start(ctx, launcher.Options{
		Entries:     x.System.Entries,
		Agents:      x.System.Agents,
		Slots:       x.System.Slots,
		BaseFile:    l.basePath(&x),
		Limits:      entryLimits(),
		AgentLimits: agentLimits(),
		Logger:      newLogger("error"),
	})
	if err != nil {
		cancel()
		return nil, err
	}
	defer system.Wait()
	defer cancel()
	if err := system.AwaitReady(ctx); err != nil {
		return nil, err
	}
	return loader.Run(ctx, x, loader.EmbeddedTarget(system, &x), progress)
}

// basePath returns the path of the base configuration. The experiment gives it
// relative to its own file.
func (l *loadFlags) basePath(x *loader.Experiment) string {
	if x.System.Base == "" {
		return ""
	}
	return filepath.Join(filepath.Dir(l.file), x.System.Base)
}

// runningTarget returns the target for a system that is already running.
func (l *loadFlags) runningTarget(x *loader.Experiment) loader.Target {
	t := loader.Target{Entries: l.entries, Slots: l.slots, Token: l.token}
	if t.Slots == 0 {
		t.Slots = x.System.Agents * x.System.Slots
	}
	if len(l.startLogs) > 0 {
		t.Starts = loader.ReadStartLogs(l.startLogs)
	}
	if len(l.metrics) > 0 {
		t.PeerTraffic = loader.ScrapePeerTraffic(l.metrics)
	}
	return t
}

func (l *loadFlags) write(c *cobra.Command, r *loader.Result) error {
	if l.plot != "" {
		if err := r.Plot(l.plot); err != nil {
			return err
		}
	}
	write := r.WriteTable
	if l.output == "json" {
		write = r.WriteJSON
	}
	if err := write(c.OutOrStdout()); err != nil {
		return err
	}
	if !r.Valid() {
		return errors.New("a check is violated or a job could not be sent")
	}
	return nil
}
