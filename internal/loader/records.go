package loader

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// The metrics that count the messages and bytes that a process sent to its peers.
const (
	messagesMetric = "sardinelock_peer_messages"
	bytesMetric    = "sardinelock_peer_bytes"
	scrapeTimeout  = 2 * time.Second
)

// startLogLine holds the fields that are read from a log line of an emulated upstream.
type startLogLine struct {
	Event        string `json:"event"`
	SubmissionID string `json:"submission-id"`
	Task         int    `json:"task"`
}

// ReadStartLogs returns a function that counts task starts in log files; they hold the
// standard output of "dev upstream" processes.
func ReadStartLogs(names []string) func(into map[TaskRef]int) error {
	return func(into map[TaskRef]int) error {
		for _, name := range names {
			text, err := os.ReadFile(name)
			if err != nil {
				return &Error{Op: "read-start-log", Kind: KindTarget, Err: err}
			}
			if err := addStarts(into, text); err != nil {
				return &Error{Op: "read-start-log " + name, Kind: KindTarget, Err: err}
			}
		}
		return nil
	}
}

func addStarts(into map[TaskRef]int, text []byte) error {
	lines := bufio.NewScanner(bytes.NewReader(text))
	for lines.Scan() {
		var l startLogLine
		if err := json.Unmarshal(lines.Bytes(), &l); err != nil {
			return errors.Trace(err)
		}
		if l.Event == "start" {
			into[TaskRef{l.SubmissionID, l.Task}]++
		}
	}
	return lines.Err()
}

// ScrapePeerTraffic returns a function that sums the traffic that processes sent to
// their peers, read from their metrics. A process whose metrics cannot be read counts
// as zero.
func ScrapePeerTraffic(processes []netip.AddrPort) func() PeerTraffic {
	client := &http.Client{Timeout: scrapeTimeout}
	return func() PeerTraffic {
		var sum PeerTraffic
		for _, p := range processes {
			m := scrape(client, p)
			sum.Count += m.Count
			sum.Bytes += m.Bytes
		}
		return sum
	}
}

func scrape(client *http.Client, process netip.AddrPort) PeerTraffic {
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+process.String()+"/metrics", nil)
	if err != nil {
		return PeerTraffic{}
	}
	resp, err := client.Do(req)
	if err != nil {
		return PeerTraffic{}
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return PeerTraffic{}
	}
	return PeerTraffic{Count: sumMetric(string(text), messagesMetric), Bytes: sumMetric(string(text), bytesMetric)}
}

// sumMetric sums the samples of a counter over all its label sets.
func sumMetric(text, name string) uint64 {
	sum := 0.0
	for line := range strings.Lines(text) {
		rest, found := strings.CutPrefix(line, name)
		if !found {
			continue
		}
		rest = strings.TrimPrefix(rest, "_total")
		if !strings.HasPrefix(rest, "{") && !strings.HasPrefix(rest, " ") {
			continue
		}
		fields := strings.Fields(rest[strings.LastIndexByte(rest, '}')+1:])
		if len(fields) == 0 {
			continue
		}
		if v, err := strconv.ParseFloat(fields[0], 64); err == nil {
			sum += v
		}
	}
	return uint64(sum)
}
