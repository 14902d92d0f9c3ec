package cmd

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"

	"sardinelock.dev/sardinelock/internal/authenticator"
	"sardinelock.dev/sardinelock/internal/certifier"
	"sardinelock.dev/sardinelock/internal/issuer"
	"sardinelock.dev/sardinelock/internal/launcher"
	"sardinelock.dev/sardinelock/pkg/submitter"
)

// transcript collects the output of a system. It can be written concurrently.
type transcript struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (s *transcript) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

func (s *transcript) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.String()
}

// TestSecrets checks that logs, answers, errors and metrics contain no tokens, hashes
// or keys. It runs a system with TLS and tokens that logs at trace level, sends good,
// bad and misplaced tokens to many paths, and lets the renewal of a certificate fail.
func TestSecrets(t *testing.T) {
	const good, bad, operator = "good-token-7f3a", "bad-token-91bc", "operator-token-c05d"
	files := issuer.New(t).Issue(t.TempDir(), time.Now().Add(time.Hour))
	cert, err := certifier.New(files)
	if err != nil {
		t.Fatal(err)
	}
	key, err := os.ReadFile(files.Key)
	if err != nil {
		t.Fatal(err)
	}
	out := new(transcript)
	system := newSystem(t, launcher.Options{
		Entries:  2,
		Agents:   2,
		BaseFile: baseWithTokens(t, good, operator),
		TLS:      cert,
		Logger:   &log.Logger{Level: log.TraceLevel, Writer: &log.IOWriter{Writer: out}},
	})
	options := submitter.Options{Entries: system.CallerAddrs(), TLS: true, HTTP: cert.HTTPClient()}
	options.Token = good
	if n := submitAll(t, options, 3)[submitter.OutcomeComplete]; n != 3 {
		t.Errorf("%d of 3 jobs are complete", n)
	}
	options.Token = bad
	_, err = submitter.New(options).Submit(t.Context(), "quote", "", submitter.Job{})
	if submitter.KindOf(err) != submitter.KindRejected {
		t.Errorf("the wrong token led to the error %v, want a rejection", err)
	}
	_, _ = io.WriteString(out, err.Error())
	sendTokens(t, out, system, cert.HTTPClient(), good, bad, operator)
	reloadTruncatedKey(t, out, cert, files, key)

	lines := strings.Split(strings.TrimSpace(string(key)), "\n")
	for name, secret := range map[string]string{
		"token":        good,
		"wrong token":  bad,
		"operator's":   operator,
		"its hash":     authenticator.Hash(operator),
		"hash":         authenticator.Hash(good),
		"hash's start": authenticator.Hash(good)[:16],
		"key":          lines[1],
	} {
		if i := strings.Index(out.String(), secret); i >= 0 {
			t.Errorf("the %s was leaked: %s", name, excerpt(out.String(), i))
		}
	}
	if !strings.Contains(out.String(), "sardinelock_job_answers_total") {
		t.Error("the collected output does not contain the metrics")
	}
}

// sendTokens sends each token to many paths, in valid and invalid Authorization
// headers.
func sendTokens(t *testing.T, out io.Writer, system *launcher.System, client *http.Client, tokens ...string) {
	t.Helper()
	caller, admin := system.Entries[0].CallerAddr().String(), system.Entries[0].AdminAddr().String()
	paths := []string{"/metrics", "/burn", "/readyz", "/healthz"}
	for _, list := range []string{"entries", "upstreams", "partitions", "services", "teams", "jobs", "burn", "changes/x", "jobs/x"} {
		paths = append(paths, "/v1/admin/"+list)
	}
	for _, token := range tokens {
		for _, header := range []string{"Bearer " + token, "Basic " + token, token} {
			fetch(t, out, client, http.MethodGet, "https://"+caller+"/v1/jobs/x", header)
			fetch(t, out, client, http.MethodPost, "https://"+caller+"/v1/services/quote/jobs", header)
			for _, path := range paths {
				fetch(t, out, client, http.MethodGet, "https://"+admin+path, header)
			}
		}
	}
}

// fetch sends a request and writes the answer, with its headers, to out.
func fetch(t *testing.T, out io.Writer, client *http.Client, method, url, authorization string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", authorization)
	resp, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if err := resp.Write(out); err != nil {
		t.Fatal(err)
	}
}

// reloadTruncatedKey truncates the key file, reloads the files and writes the error to
// out.
func reloadTruncatedKey(t *testing.T, out io.Writer, cert *certifier.Certifier, files certifier.Files, key []byte) {
	t.Helper()
	if err := os.WriteFile(files.Key, key[:len(key)-20], 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := cert.Reload()
	if err == nil {
		t.Error("a truncated key was accepted")
		return
	}
	_, _ = io.WriteString(out, err.Error())
}

func baseWithTokens(t *testing.T, team, operator string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "base.yaml")
	text := `services:
  - name: quote
    path: /quote
    timeout: 30s
    default-run-time: 200ms
    default-memory-bytes: 67108864
    objective: {latency: 2s, latency-ratio: 0.99, success-ratio: 0.999}
teams:
  - name: order-desk
    slots: 0
    starts-per-second: 0
    token-hashes: [` + authenticator.Hash(team) + `]
operators:
  - name: bob
    role: operator
    token-hashes: [` + authenticator.Hash(operator) + `]
`
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

func excerpt(text string, at int) string {
	return text[max(0, at-80):min(len(text), at+80)]
}
