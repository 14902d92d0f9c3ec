package surveyor

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/juju/errors"
)

// listingDuration is how long listings are requested, one after the other, at one
// size. It spans many steps of [clockTick], in which the kernel counts processor time.
const listingDuration = 2 * time.Second

// listing is the cost of one request that lists the upstreams.
type listing struct {
	cpuTime float64 // processor time of the entry in microseconds
	bytes   float64 // size of the response body
}

// measureListing requests an entry's list of upstreams repeatedly and returns the mean
// cost of one request. The processor time that the process uses when idle is
// subtracted.
func measureListing(ctx context.Context, admin netip.AddrPort, pid int, idleCores float64) (listing, error) {
	before, err := ReadUsage(pid)
	if err != nil {
		return listing{}, err
	}
	calls, size, started := 0, 0, time.Now()
	for time.Since(started) < listingDuration {
		n, err := list(ctx, admin)
		if err != nil {
			return listing{}, err
		}
		calls, size = calls+1, n
	}
	elapsed := time.Since(started)
	after, err := ReadUsage(pid)
	if err != nil {
		return listing{}, err
	}
	used := (after.ProcessorTime - before.ProcessorTime).Seconds() - idleCores*elapsed.Seconds()
	return listing{cpuTime: used / float64(calls) * 1e6, bytes: float64(size)}, nil
}

// list requests the list of upstreams once and returns the size of the response body
// in bytes.
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
