package cmd

import (
	"io"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sardinelock.dev/sardinelock/internal/certifier"
	"sardinelock.dev/sardinelock/internal/emulator"
	"sardinelock.dev/sardinelock/internal/issuer"
	"sardinelock.dev/sardinelock/internal/launcher"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// metricsFile lists the metrics that a running system exports, one per line, each with
// its labels. .ci/alarms checks the alarms against it.
const metricsFile = "testdata/metrics.txt"

// TestMetricsAreListed runs a system with TLS, complete and failed jobs and then a
// platform that is down. It compares the exported metrics with metricsFile, and checks
// that the operators' page documents each of them.
func TestMetricsAreListed(t *testing.T) {
	cert, err := certifier.New(issuer.New(t).Issue(t.TempDir(), time.Now().Add(time.Hour)))
	if err != nil {
		t.Fatal(err)
	}
	system := newSystem(t, launcher.Options{Entries: 2, Agents: 1, TLS: cert})
	options := submitter.Options{Entries: system.CallerAddrs(), TLS: true, HTTP: cert.HTTPClient()}
	submitAll(t, options, 1)
	if err := system.FailUpstream(0, 1); err != nil {
		t.Fatal(err)
	}
	submitAll(t, options, 1)
	system.Platform.SetFaults(emulator.Faults{Down: true})

	urls := []string{"http://" + system.Agents[0].Addr().String() + "/metrics"}
	for _, addr := range system.AdminAddrs() {
		urls = append(urls, "https://"+addr.String()+"/metrics")
	}
	update := os.Getenv("SARDINELOCK_UPDATE") != ""
	want := readLines(t, metricsFile)
	var got []string
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		got = exported(t, cert.HTTPClient(), urls)
		if slices.Equal(want, got) {
			break
		}
	}
	if update {
		if err := os.WriteFile(metricsFile, []byte(strings.Join(got, "\n")+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
	} else if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("%s and the exported metrics (-want +got):\n%s", metricsFile, diff)
	}
	page := strings.Join(readLines(t, "../../../docs/ADMIN.md"), "\n")
	for _, line := range got {
		name, _, _ := strings.Cut(line, " ")
		if name = histogramSuffix.ReplaceAllString(name, ""); !strings.Contains(page, "`"+name+"`") {
			t.Errorf("docs/ADMIN.md lacks the metric %s", name)
		}
	}
}

func readLines(t *testing.T, name string) []string {
	t.Helper()
	text, err := os.ReadFile(name)
	if err != nil && !os.IsNotExist(err) {
		t.Fatal(err)
	}
	return strings.Split(strings.TrimSuffix(string(text), "\n"), "\n")
}

var (
	samplePattern   = regexp.MustCompile(`(?m)^([a-z_]+)(?:\{(.*)\})? \S+$`)
	labelPattern    = regexp.MustCompile(`([a-z_]+)="(?:[^"\\]|\\.)*"`)
	histogramSuffix = regexp.MustCompile(`_(bucket|sum|count)$`)
)

// exported returns the sorted metrics of all addresses, each with its labels. It leaves
// out the metrics and labels that the exporter itself adds.
func exported(t *testing.T, client *http.Client, urls []string) []string {
	labels := make(map[string][]string)
	for _, url := range urls {
		for _, m := range samplePattern.FindAllStringSubmatch(scrapeText(t, client, url), -1) {
			names := labels[m[1]]
			for _, l := range labelPattern.FindAllStringSubmatch(m[2], -1) {
				if !strings.HasPrefix(l[1], "otel_scope_") && !slices.Contains(names, l[1]) {
					names = append(names, l[1])
				}
			}
			labels[m[1]] = names
		}
	}
	delete(labels, "target_info")
	var out []string
	for name, names := range labels {
		slices.Sort(names)
		out = append(out, strings.Join(append([]string{name}, names...), " "))
	}
	slices.Sort(out)
	return out
}

func scrapeText(t *testing.T, client *http.Client, url string) string {
	t.Helper()
	resp, err := client.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}
