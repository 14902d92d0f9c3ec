package cmd

import (
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/phuslu/log"
	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"sardinelock.dev/sardinelock/internal/coordinator"
	"sardinelock.dev/sardinelock/internal/enroller"
	"sardinelock.dev/sardinelock/internal/guard"
	"sardinelock.dev/sardinelock/internal/leaser"
	"sardinelock.dev/sardinelock/internal/messenger"
	"sardinelock.dev/sardinelock/internal/owner"
	"sardinelock.dev/sardinelock/internal/placer"
	"sardinelock.dev/sardinelock/internal/reclaimer"
	"sardinelock.dev/sardinelock/internal/recoverer"
	"sardinelock.dev/sardinelock/internal/registrar"
	"sardinelock.dev/sardinelock/internal/timer"
)

// The values of limits that no flag sets.
const (
	dedupWindow               = 5 * time.Minute
	maxJobBytes               = 512 << 20
	maxAnswerBytes            = 512 << 20
	abandonGrace              = 5 * time.Second
	maxClockSkew              = time.Second
	maxRecordBytes            = 64 << 20
	maxWaiting                = 1024
	retainFor                 = 30 * time.Second
	retainBytes               = 8 << 20
	agentLossTimeout          = 2 * time.Second
	maxReschedules            = 16
	startTimeout              = 5 * time.Second
	pollInterval              = time.Second
	retryInterval             = 250 * time.Millisecond
	leaseDuration             = 3 * time.Second
	maxEchoDelay              = 250 * time.Millisecond
	leaseMargin               = 100 * time.Millisecond
	unreachableTimeout        = 30 * time.Second
	witnessUnreachableTimeout = 5 * time.Second
	witnesses                 = 15
	suspicionTimeout          = time.Second
	entryHeartbeatInterval    = 250 * time.Millisecond
	minConnectionAge          = time.Second
	answerGracePeriod         = 50 * time.Millisecond
	drainTimeout              = 30 * time.Second
	// drainNotice lets a balancer that probes every second see two refusals.
	drainNotice = 2 * time.Second
)

// environmentName returns the name of the environment variable that sets a flag.
func environmentName(flag string) string {
	return "SARDINELOCK_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// environmentAnnotation marks a flag that was set by its environment variable.
const environmentAnnotation = "environment"

// applyEnvironment sets flags that were not given on the command line from their
// environment variables. Its error lists all invalid values.
func applyEnvironment(c *cobra.Command) error {
	var problems []string
	c.Flags().VisitAll(func(f *pflag.Flag) {
		value, ok := os.LookupEnv(environmentName(f.Name))
		if f.Changed || !ok || f.Name == "help" {
			return
		}
		if err := c.Flags().Set(f.Name, value); err != nil {
			problems = append(problems, environmentName(f.Name)+": "+err.Error())
		}
		_ = c.Flags().SetAnnotation(f.Name, environmentAnnotation, []string{"true"})
	})
	return usageErrors(problems)
}

// usageErrors returns all problems as one error, or nil if there are none.
func usageErrors(problems []string) error {
	if len(problems) == 0 {
		return nil
	}
	return &usageError{errors.New(strings.Join(problems, "\n"))}
}

// addrFlag is a flag that holds an IP:port.
type addrFlag struct{ to *netip.AddrPort }

func (f addrFlag) String() string {
	if f.to == nil || !f.to.IsValid() {
		return ""
	}
	return f.to.String()
}

func (f addrFlag) Set(text string) error {
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		return errors.Errorf("%q is not IP:port", text)
	}
	*f.to = addr
	return nil
}

func (addrFlag) Type() string { return "IP:port" }

// addrsFlag is a flag that holds a list of IP:port.
type addrsFlag struct{ to *[]netip.AddrPort }

func (f addrsFlag) String() string {
	if f.to == nil {
		return ""
	}
	var parts []string
	for _, addr := range *f.to {
		parts = append(parts, addr.String())
	}
	return strings.Join(parts, ",")
}

func (f addrsFlag) Set(text string) error {
	var addrs []netip.AddrPort
	for part := range strings.SplitSeq(text, ",") {
		addr, err := netip.ParseAddrPort(part)
		if err != nil {
			return errors.Errorf("%q is not IP:port", part)
		}
		addrs = append(addrs, addr)
	}
	*f.to = addrs
	return nil
}

func (addrsFlag) Type() string { return "IP:port,..." }

// siteFlags are the settings that every role shares.
type siteFlags struct {
	region     string
	dataCentre string
	logLevel   string
}

func (s *siteFlags) register(f *pflag.FlagSet) {
	f.StringVar(&s.region, "region", "default", "region of this process")
	f.StringVar(&s.dataCentre, "data-centre", "default", "data centre of this process")
	f.StringVar(&s.logLevel, "log-level", "info", "minimum log level: debug, info, warn or error")
}

// validate returns the problems of the settings.
func (s *siteFlags) validate() []string {
	var problems []string
	if s.region == "" {
		problems = append(problems, "--region must not be empty")
	}
	if s.dataCentre == "" {
		problems = append(problems, "--data-centre must not be empty")
	}
	return append(problems, validateLogLevel(s.logLevel)...)
}

// validateLogLevel returns the problems of a log level.
func validateLogLevel(level string) []string {
	switch level {
	case "debug", "info", "warn", "error":
		return nil
	}
	return []string{"--log-level must be debug, info, warn or error, not " + level}
}

func newLogger(level string) *log.Logger {
	return &log.Logger{
		Level:      log.ParseLevel(level),
		TimeFormat: time.RFC3339Nano,
		Writer:     &log.IOWriter{Writer: os.Stderr},
	}
}

// newPeer returns a name that is unique to this run of the process.
func newPeer(role messenger.Role) messenger.Peer {
	return messenger.Peer(string(role) + "-" + uuid.NewString())
}

// reclaimGarbage starts a reclaimer that tunes the garbage collector of this process
// until the returned function is called.
func reclaimGarbage() (stop func()) {
	timers := timer.New()
	reclaimer.New().Subscribe(timers)
	return timers.Stop
}

func entryLimits() coordinator.Limits {
	return coordinator.Limits{
		Owner: owner.Limits{
			Window:           dedupWindow,
			MaxClockSkew:     maxClockSkew,
			MaxRecordBytes:   maxJobBytes,
			MaxAnswerBytes:   maxAnswerBytes,
			AbandonGrace:     abandonGrace,
			AgentLossTimeout: agentLossTimeout,
			MaxReschedules:   maxReschedules,
		},
		Placer:    placer.DefaultLimits(),
		Registrar: registrar.Limits{PollInterval: pollInterval, RetryInterval: retryInterval},
		Leaser:    leaser.Limits{LeaseDuration: leaseDuration, Margin: leaseMargin},
		Recoverer: recoverer.Limits{
			LeaseDuration: leaseDuration,
			MaxClockSkew:  maxClockSkew,
			Window:        dedupWindow + 2*maxClockSkew,
		},
		Enroller: enroller.Limits{
			UnreachableTimeout:        unreachableTimeout,
			WitnessUnreachableTimeout: witnessUnreachableTimeout,
			Window:                    dedupWindow + 2*maxClockSkew,
			Witnesses:                 witnesses,
		},
		StartTimeout:           startTimeout,
		SuspicionTimeout:       suspicionTimeout,
		EntryHeartbeatInterval: entryHeartbeatInterval,
		MinConnectionAge:       minConnectionAge,
		AnswerGracePeriod:      answerGracePeriod,
	}
}

func agentLimits() guard.Limits {
	return guard.Limits{
		Window:         dedupWindow + 2*maxClockSkew,
		MaxRecordBytes: maxRecordBytes,
		RetainFor:      retainFor,
		RetainBytes:    retainBytes,
		MaxWaiting:     maxWaiting,
		MaxEchoDelay:   maxEchoDelay,
		MaxResultDelay: guard.DefaultMaxResultDelay,
	}
}
