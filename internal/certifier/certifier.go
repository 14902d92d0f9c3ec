// Package certifier provides TLS configurations from files that may change while the
// process runs.
//
// A [Certifier] holds the certificate, key and authorities as last read. Every
// handshake uses the files loaded at that time; established connections are not
// affected. [Certifier.Reload] reads the files again. If they cannot be read or are
// invalid, it keeps the previous content in use, so that a half-written renewal is
// harmless.
package certifier

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// Files are the names of the files. Certificate and Key must be set together.
type Files struct {
	Certificate string
	Key         string
	// Authorities has the certificates of the authorities that sign the peers'
	// certificates.
	Authorities string
	// ServerName is the name that the certificate of every server must have. If it is
	// empty, the certificate must have the address that was dialled.
	ServerName string
}

// Certifier holds the key material that is in use.
type Certifier struct {
	files   Files
	current atomic.Pointer[material]
}

// material is the content of the files at one time; it is immutable.
type material struct {
	raw         [3][]byte // Content of the files, to detect changes.
	certificate *tls.Certificate
	authorities *x509.CertPool
}

const dialTimeout = 5 * time.Second

// New reads the files. Its errors are of kind [KindRead] or [KindInvalid]; they
// contain the name of the file but none of its content.
func New(files Files) (*Certifier, error) {
	m, err := read(files)
	if err != nil {
		return nil, err
	}
	c := &Certifier{files: files}
	c.current.Store(m)
	return c, nil
}

// Reload reads the files again and reports whether their content has changed. After
// an error the previous material stays in use.
func (c *Certifier) Reload() (bool, error) {
	m, err := read(c.files)
	if err != nil {
		return false, err
	}
	before := c.current.Load()
	for i := range m.raw {
		if !bytes.Equal(m.raw[i], before.raw[i]) {
			c.current.Store(m)
			return true, nil
		}
	}
	return false, nil
}

// Expiry returns the expiry time of the certificate in use, or the zero time if there
// is none.
func (c *Certifier) Expiry() time.Time {
	if cert := c.current.Load().certificate; cert != nil {
		return cert.Leaf.NotAfter
	}
	return time.Time{}
}

// Server returns the configuration of a listener that does not request client
// certificates.
func (c *Certifier) Server() *tls.Config { return c.server(tls.NoClientCert) }

// PeerServer returns the configuration of a listener that requires a client
// certificate signed by one of the authorities.
func (c *Certifier) PeerServer() *tls.Config { return c.server(tls.RequireAndVerifyClientCert) }

func (c *Certifier) server(auth tls.ClientAuthType) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := c.current.Load()
			config := &tls.Config{
				MinVersion: tls.VersionTLS13,
				ClientAuth: auth,
				ClientCAs:  m.authorities,
				NextProtos: []string{"http/1.1"},
				// Resuming a session with a ticket would accept a client without
				// verifying its certificate against changed authorities.
				SessionTicketsDisabled: true,
			}
			if m.certificate != nil {
				config.Certificates = []tls.Certificate{*m.certificate}
			}
			return config, nil
		},
	}
}

// Client returns a configuration for dialling one connection, with the material in use
// at the time of the call. Callers must request a new one for each connection.
func (c *Certifier) Client() *tls.Config {
	m := c.current.Load()
	config := &tls.Config{
		MinVersion: tls.VersionTLS13,
		RootCAs:    m.authorities,
		ServerName: c.files.ServerName,
		NextProtos: []string{"http/1.1"},
	}
	if m.certificate != nil {
		config.Certificates = []tls.Certificate{*m.certificate}
	}
	return config
}

// HTTPClient returns a client each of whose connections uses the material that is in
// use when the connection is dialled.
func (c *Certifier) HTTPClient() *http.Client {
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		d := tls.Dialer{NetDialer: &net.Dialer{Timeout: dialTimeout}, Config: c.Client()}
		return d.DialContext(ctx, network, addr)
	}
	return &http.Client{Transport: &http.Transport{DialTLSContext: dial}}
}

func read(f Files) (*material, error) {
	m := new(material)
	for i, name := range []string{f.Certificate, f.Key, f.Authorities} {
		if name == "" {
			continue
		}
		text, err := os.ReadFile(name)
		if err != nil {
			return nil, &Error{Op: "read", Kind: KindRead, File: name, Err: err}
		}
		m.raw[i] = text
	}
	if f.Certificate != "" {
		pair, err := tls.X509KeyPair(m.raw[0], m.raw[1])
		if err != nil {
			return nil, &Error{Op: "read", Kind: KindInvalid, File: f.Certificate, Err: errPair}
		}
		m.certificate = &pair
	}
	if f.Authorities != "" {
		m.authorities = x509.NewCertPool()
		if !m.authorities.AppendCertsFromPEM(m.raw[2]) {
			return nil, &Error{Op: "read", Kind: KindInvalid, File: f.Authorities, Err: errAuthorities}
		}
	}
	return m, nil
}

var (
	errPair        = errors.New("the certificate and the key do not form a pair")
	errAuthorities = errors.New("the file has no certificate")
)
