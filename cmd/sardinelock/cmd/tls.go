package cmd

import (
	"net/http"
	"net/netip"
	"os"
	"strings"

	"github.com/juju/errors"
	"github.com/spf13/pflag"

	"sardinelock.dev/sardinelock/internal/certifier"
)

// serverTLSFlags are the settings of a process that listens.
type serverTLSFlags struct {
	files          certifier.Files
	allowPlaintext bool
}

func (t *serverTLSFlags) register(f *pflag.FlagSet) {
	f.StringVar(&t.files.Certificate, "tls-certificate", "", "file with the certificate of this process, as PEM")
	f.StringVar(&t.files.Key, "tls-key", "", "file with the private key of the certificate, as PEM")
	f.StringVar(&t.files.Authorities, "tls-ca", "", "file with the CA certificates of the system's processes, as PEM")
	f.StringVar(&t.files.ServerName, "tls-server-name", "", "server name in the system's certificates (default: the dialled address)")
	f.BoolVar(&t.allowPlaintext, "allow-plaintext", false, "listen without TLS on addresses other than loopback")
}

// validate returns the problems of the settings for the listeners.
func (t *serverTLSFlags) validate(listeners ...netip.AddrPort) []string {
	given := 0
	for _, name := range []string{t.files.Certificate, t.files.Key, t.files.Authorities} {
		if name != "" {
			given++
		}
	}
	switch given {
	case 3:
		return nil
	case 0:
	default:
		return []string{"--tls-certificate, --tls-key and --tls-ca must be set together"}
	}
	var problems []string
	for _, l := range listeners {
		if !t.allowPlaintext && !l.Addr().IsLoopback() {
			problems = append(problems, l.String()+" is not loopback: set --tls-certificate, --tls-key and --tls-ca, or --allow-plaintext")
		}
	}
	return problems
}

// certifier loads the files. It returns nil if TLS is not configured.
func (t *serverTLSFlags) certifier() (*certifier.Certifier, error) {
	if t.files.Certificate == "" {
		return nil, nil
	}
	return certifier.New(t.files)
}

// clientFlags are the credentials and TLS settings with which a command calls an
// entry.
type clientFlags struct {
	tokenFile   string
	authorities string
	serverName  string
}

func (c *clientFlags) register(f *pflag.FlagSet) {
	f.StringVar(&c.tokenFile, "token-file", "", "file with the bearer token")
	f.StringVar(&c.authorities, "tls-ca", "", "file with the CA certificates of the entries, as PEM; enables TLS")
	f.StringVar(&c.serverName, "tls-server-name", "", "server name in the entries' certificates (default: the dialled address)")
}

// token reads the token. Its errors never contain the content of the file.
func (c *clientFlags) token() (string, error) {
	if c.tokenFile == "" {
		return "", nil
	}
	text, err := os.ReadFile(c.tokenFile)
	if err != nil {
		return "", errors.Trace(err)
	}
	token := strings.TrimSpace(string(text))
	if token == "" {
		return "", errors.Errorf("%s: the file has no token", c.tokenFile)
	}
	return token, nil
}

func (c *clientFlags) tls() bool { return c.authorities != "" }

func (c *clientFlags) client() (*http.Client, error) {
	if !c.tls() {
		return &http.Client{}, nil
	}
	cert, err := certifier.New(certifier.Files{Authorities: c.authorities, ServerName: c.serverName})
	if err != nil {
		return nil, err
	}
	return cert.HTTPClient(), nil
}
