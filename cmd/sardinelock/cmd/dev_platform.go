package cmd

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"sardinelock.dev/sardinelock/internal/emulator"
	"sardinelock.dev/sardinelock/internal/launcher"
)

const standInHeaderTimeout = 5 * time.Second

func newDevPlatformCommand() *cobra.Command {
	var (
		listen  = netip.MustParseAddrPort("127.0.0.1:7500")
		faults  emulator.Faults
		latency time.Duration
		seed    uint64
		base    string
		config  bool
	)
	c := &cobra.Command{
		Use:   "platform",
		Short: "Run a stand-in for the platform's table service and object store",
		Long: `Run a stand-in for the platform's table service and object store.

GET /faults returns the faults in force and PUT /faults replaces them:
  {"down": false, "latency": "20ms", "lose-answer-ratio": 0.1}`,
		Example: `  sardinelock dev platform --listen 127.0.0.1:7500 --lose-answer-ratio 0.1`,
		Args:    cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var problems []string
			if faults.LoseAnswerRatio < 0 || faults.LoseAnswerRatio > 1 {
				problems = append(problems, "--lose-answer-ratio must be from 0 to 1")
			}
			if latency < 0 {
				problems = append(problems, "--latency must not be negative")
			}
			if err := usageErrors(problems); err != nil {
				return err
			}
			faults.Latency = latency.String()
			platform := emulator.NewPlatform(seed, faults)
			if config || base != "" {
				if _, err := launcher.StoreConfig(platform, base, nil); err != nil {
					return err
				}
			}
			return serveStandIn(c, listen, "platform", platform.Handler())
		},
	}
	f := c.Flags()
	f.Var(addrFlag{&listen}, "listen", "address to serve on")
	f.BoolVar(&faults.Down, "down", false, "answer every call with status 503")
	f.DurationVar(&latency, "latency", 0, "delay of every call")
	f.Float64Var(&faults.LoseAnswerRatio, "lose-answer-ratio", 0, "share of writes whose answer is lost after they took effect")
	f.StringVar(&base, "base", "", "base configuration to start with (default: none)")
	f.BoolVar(&config, "shipped-base", false, "start with the shipped base configuration")
	f.Uint64Var(&seed, "seed", 1, "seed of the faults")
	return c
}

// serveStandIn serves a stand-in until the command's context ends.
func serveStandIn(c *cobra.Command, listen netip.AddrPort, role string, h http.Handler) error {
	l, err := net.Listen("tcp", listen.String())
	if err != nil {
		return errors.Trace(err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: standInHeaderTimeout}
	context.AfterFunc(c.Context(), func() { _ = server.Shutdown(context.Background()) })
	printReady(c, role, l.Addr())
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Trace(err)
	}
	return nil
}

// printReady writes the JSON line that announces that a stand-in is serving.
func printReady(c *cobra.Command, role string, addr net.Addr) {
	fmt.Fprintf(c.ErrOrStderr(), "{\"event\":\"ready\",\"role\":%q,\"address\":%q}\n", role, addr.String())
}
