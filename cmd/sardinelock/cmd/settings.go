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

// The defaults of limits that are no flags.
const (
	dedupWindow     = 5 * time.Minute
	maxJobBytes     = 512 << 20
	maxAnswerBytes  = 512 << 20
	abandonGrace    = 5 * time.Second
	clockDifference = time.Second
	maxRecordBytes  = 64 << 20
	maxWaiting      = 1024
	retainFor       = 30 * time.Second
	retainBytes     = 8 << 20
	lostAfter       = 2 * time.Second
	maxReplacements = 16
	startBudget     = 5 * time.Second
	pollEvery       = time.Second
	retryEvery      = 250 * time.Millisecond
	lease           = 3 * time.Second
	echoFor         = 250 * time.Millisecond
	leaseMargin     = 100 * time.Millisecond
	agentGoneAfter  = 30 * time.Second
	witnessGone     = 5 * time.Second
	witnesses       = 15
	suspectAfter    = time.Second
	pingEntries     = 250 * time.Millisecond
	steadyAfter     = time.Second
	answerSlack     = 50 * time.Millisecond
	drainTimeout    = 30 * time.Second
	// drainNotice lets a balancer that probes each second see two refusals; chosen.
	drainNotice = 2 * time.Second
)

// environmentName returns the environment variable of a flag.
func environmentName(flag string) string {
	return "SARDINELOCK_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

// environmentAnnotation marks a flag that the environment has set.
const environmentAnnotation = "environment"

// applyEnvironment sets the flags that were not given from their environment
// variables. It reports every fault.
func applyEnvironment(c *cobra.Command) error {
	var faults []string
	c.Flags().VisitAll(func(f *pflag.Flag) {
		value, ok := os.LookupEnv(environmentName(f.Name))
		if f.Changed || !ok || f.Name == "help" {
			return
		}
		if err := c.Flags().Set(f.Name, value); err != nil {
			faults = append(faults, environmentName(f.Name)+": "+err.Error())
		}
		_ = c.Flags().SetAnnotation(f.Name, environmentAnnotation, []string{"true"})
	})
	return usageFaults(faults)
}

// usageFaults returns all faults as one error, or nil if there are none.
func usageFaults(faults []string) error {
	if len(faults) == 0 {
		return nil
	}
	return &usageError{errors.New(strings.Join(faults, "\n"))}
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
	f.StringVar(&s.logLevel, "log-level", "info", "lowest level that is logged: debug, info, warn or error")
}

// faults reports what is wrong with the settings.
func (s *siteFlags) faults() []string {
	var faults []string
	if s.region == "" {
		faults = append(faults, "--region must not be empty")
	}
	if s.dataCentre == "" {
		faults = append(faults, "--data-centre must not be empty")
	}
	return append(faults, levelFaults(s.logLevel)...)
}

// levelFaults reports what is wrong with a log level.
func levelFaults(level string) []string {
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

// newPeer names one run of a process.
func newPeer(role messenger.Role) messenger.Peer {
	return messenger.Peer(string(role) + "-" + uuid.NewString())
}

// reclaimGarbage bounds the garbage of this process until the returned function is
// called.
func reclaimGarbage() (stop func()) {
	timers := timer.New()
	reclaimer.New().Subscribe(timers)
	return timers.Stop
}

func entryLimits() coordinator.Limits {
	return coordinator.Limits{
		Owner: owner.Limits{
			Window:           dedupWindow,
			MaxClockSkew:     clockDifference,
			MaxRecordBytes:   maxJobBytes,
			MaxAnswerBytes:   maxAnswerBytes,
			AbandonGrace:     abandonGrace,
			AgentLossTimeout: lostAfter,
			MaxReschedules:   maxReplacements,
		},
		Placer:    placer.DefaultLimits(),
		Registrar: registrar.Limits{PollInterval: pollEvery, RetryInterval: retryEvery},
		Leaser:    leaser.Limits{LeaseDuration: lease, Margin: leaseMargin},
		Recoverer: recoverer.Limits{
			LeaseDuration: lease,
			MaxClockSkew:  clockDifference,
			Window:        dedupWindow + 2*clockDifference,
		},
		Enroller: enroller.Limits{
			UnreachableTimeout:        agentGoneAfter,
			WitnessUnreachableTimeout: witnessGone,
			Window:                    dedupWindow + 2*clockDifference,
			Witnesses:                 witnesses,
		},
		StartTimeout:           startBudget,
		SuspicionTimeout:       suspectAfter,
		EntryHeartbeatInterval: pingEntries,
		MinConnectionAge:       steadyAfter,
		AnswerGracePeriod:      answerSlack,
	}
}

func agentLimits() guard.Limits {
	return guard.Limits{
		Window:         dedupWindow + 2*clockDifference,
		MaxRecordBytes: maxRecordBytes,
		RetainFor:      retainFor,
		RetainBytes:    retainBytes,
		MaxWaiting:     maxWaiting,
		MaxEchoDelay:   echoFor,
		MaxResultDelay: guard.DefaultMaxResultDelay,
	}
}
