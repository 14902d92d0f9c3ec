// Package certifier makes TLS configurations from files that may change while
// the process runs.
//
// A [Certifier] holds the certificate, key and authorities as they were last
// read. Every handshake uses what holds at its time; connections that stand are
// not touched. [Certifier.Reload] reads the files again if they have changed and
// keeps what it has if they cannot be read, so that a half-written renewal does
// no harm.
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

// Files are where the material is. Certificate and Key are set together.
type Files struct {
	Certificate string
	Key         string
	// Authorities is a file of certificates that sign the peers'.
	Authorities string
	// ServerName is the name that every certificate of the system carries. If it
	// is empty a certificate must carry the address that was dialled.
	ServerName string
}

// Certifier has the material in force.
type Certifier struct {
	files   Files
	current atomic.Pointer[material]
}

// material is one reading of the files; it does not change.
type material struct {
	raw         [3][]byte // raw has the files' content, to see a change.
	certificate *tls.Certificate
	authorities *x509.CertPool
}

const dialTimeout = 5 * time.Second

// New reads the files. It returns an error of kind [KindRead] or [KindInvalid],
// which names the file but has none of its content.
func New(files Files) (*Certifier, error) {
	m, err := read(files)
	if err != nil {
		return nil, err
	}
	c := &Certifier{files: files}
	c.current.Store(m)
	return c, nil
}

// Reload reads the files and reports whether what is in force has changed. On
// error the former material stays in force.
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

// Expiry returns when the certificate in force expires; zero if there is none.
func (c *Certifier) Expiry() time.Time {
	if cert := c.current.Load().certificate; cert != nil {
		return cert.Leaf.NotAfter
	}
	return time.Time{}
}

// Server returns the configuration of a listener that needs no certificate of
// the client.
func (c *Certifier) Server() *tls.Config { return c.server(tls.NoClientCert) }

// PeerServer returns the configuration of a listener that requires a certificate
// which one of the authorities has signed.
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
				// A ticket would carry a client's verified certificate past a
				// change of the authorities.
				SessionTicketsDisabled: true,
			}
			if m.certificate != nil {
				config.Certificates = []tls.Certificate{*m.certificate}
			}
			return config, nil
		},
	}
}

// Client returns the configuration of one dialled connection. It is made anew
// for each, so that it has the material in force.
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

// HTTPClient returns a client whose connections use the material in force when
// they are dialled.
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
