package surveyor

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/juju/errors"
)

// listingTime is how long listings are asked for at one size, one after the other;
// the kernel counts processor time in steps of [clockTick].
const listingTime = 2 * time.Second

// listing is the cost of one call of the administration API.
type listing struct {
	time  float64 // time is the processor time of the entry in microseconds.
	bytes float64 // bytes is the size of the answer.
}

// measureListing asks an entry for its upstreams again and again and returns the
// cost of one call, less what the process uses at rest.
func measureListing(ctx context.Context, admin netip.AddrPort, pid int, idleCores float64) (listing, error) {
	before, err := ReadUsage(pid)
	if err != nil {
		return listing{}, err
	}
	calls, size, begun := 0, 0, time.Now()
	for time.Since(begun) < listingTime {
		n, err := list(ctx, admin)
		if err != nil {
			return listing{}, err
		}
		calls, size = calls+1, n
	}
	took := time.Since(begun)
	after, err := ReadUsage(pid)
	if err != nil {
		return listing{}, err
	}
	used := (after.ProcessorTime - before.ProcessorTime).Seconds() - idleCores*took.Seconds()
	return listing{time: used / float64(calls) * 1e6, bytes: float64(size)}, nil
}

// list asks for the upstreams once and returns the size of the answer in bytes.
func list(ctx context.Context, admin netip.AddrPort) (int, error) {
	const op = "list-upstreams"
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin.String()+"/v1/admin/upstreams", nil)
	if err != nil {
		return 0, &Error{Op: op, Kind: KindSystem, Err: err}
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, &Error{Op: op, Kind: KindSystem, Err: err}
	}
	defer resp.Body.Close()
	n, err := io.Copy(io.Discard, resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = errors.New(resp.Status)
	}
	if err != nil {
		return 0, &Error{Op: op, Kind: KindSystem, Err: err}
	}
	return int(n), nil
}
