package administrator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"sardinelock.dev/sardinelock/internal/configurer"
	"sardinelock.dev/sardinelock/internal/versioner"
)

const configVersions = "/v1/admin/config/versions"

// configRetryDelay is the delay before the next attempt after all addresses have
// failed.
const configRetryDelay = 250 * time.Millisecond

// ConfigHistory returns the heads of the latest versions, newest first.
func (c *Client) ConfigHistory(ctx context.Context, limit int) ([]configurer.Head, error) {
	var l Listing[configurer.Head]
	err := c.Get(ctx, configVersions+"?limit="+strconv.Itoa(limit), &l)
	return l.Items, err
}

// ConfigVersion returns the version with the number; 0 selects the current version.
func (c *Client) ConfigVersion(ctx context.Context, number uint64) (*configurer.Version, error) {
	name := "current"
	if number > 0 {
		name = strconv.FormatUint(number, 10)
	}
	v := new(configurer.Version)
	return v, c.Get(ctx, configVersions+"/"+name, v)
}

// ApplyConfig makes a change of the configuration. It retries until the outcome is
// known or the context ends. It returns an error only if an entry rejects the request
// or the response cannot be read; otherwise the report has the verdict.
func (c *Client) ApplyConfig(ctx context.Context, id string, change ConfigChange) (versioner.Report, error) {
	last := noEntryReached(id, &change)
	for {
		for _, addr := range c.o.Addrs {
			report, sent, err := c.applyConfigOnce(ctx, request{method: http.MethodPost, path: configVersions, changeID: id}, addr, &change)
			switch {
			case err == nil && report.Reason != versioner.ReasonUnavailable:
				return report, nil
			case err == nil:
				last = report
				change.Repeated = change.Repeated || report.Verdict == versioner.VerdictUnknown
			case KindOf(err) != KindUnreachable:
				return versioner.Report{}, err
			default:
				change.Repeated = change.Repeated || sent
				last = noEntryReached(id, &change)
				last.Detail += ": " + err.Error()
			}
		}
		select {
		case <-ctx.Done():
			return last, nil
		case <-time.After(configRetryDelay):
		}
	}
}

// applyConfigOnce sends the change to one entry. sent reports whether there was a
// connection over which the change may have been sent. Without a connection it was
// certainly not sent, whatever the error is, even if the context had ended.
func (c *Client) applyConfigOnce(ctx context.Context, r request, addr netip.AddrPort, change *ConfigChange) (report versioner.Report, sent bool, err error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	r.body = encode(change)
	text, err := c.callOne(ctx, addr, r)
	if err != nil {
		return report, connected.Load(), err
	}
	if err := json.Unmarshal(text, &report); err != nil {
		return report, true, &Error{Op: "apply-config", Kind: KindAnswer, Err: err}
	}
	return report, true, nil
}

// noEntryReached is the result of a change that no entry has answered.
func noEntryReached(id string, change *ConfigChange) versioner.Report {
	return change.unavailableReport(id, "no entry was reached; nothing was written", "no entry said what became of the change")
}
