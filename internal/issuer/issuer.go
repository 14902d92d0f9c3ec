// Package issuer creates certificates for tests. They can be valid or expired, and signed
// by different authorities.
package issuer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"sardinelock.dev/sardinelock/internal/certifier"
)

// Name is the name that every issued certificate carries.
const Name = "sardinelock.test"

// Authority signs certificates.
type Authority struct {
	t           testing.TB
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      int64
}

// New returns a new authority with a key of its own.
func New(t testing.TB) *Authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "authority"},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return &Authority{t: t, certificate: certificate, key: key, serial: 1}
}

// Issue creates a certificate that expires at the given time. It writes the certificate,
// its key and the authority's certificate to files in the directory and returns their
// names.
func (a *Authority) Issue(dir string, expires time.Time) certifier.Files {
	a.t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	a.serial++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.serial),
		Subject:      pkix.Name{CommonName: Name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     expires,
		DNSNames:     []string{Name},
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	files := certifier.Files{
		Certificate: filepath.Join(dir, "certificate.pem"),
		Key:         filepath.Join(dir, "key.pem"),
		Authorities: filepath.Join(dir, "authorities.pem"),
	}
	a.write(files.Certificate, "CERTIFICATE", der)
	a.write(files.Key, "PRIVATE KEY", keyDER)
	a.write(files.Authorities, "CERTIFICATE", a.certificate.Raw)
	return files
}

// PEM returns the certificate of the authority.
func (a *Authority) PEM() []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: a.certificate.Raw})
}

func (a *Authority) write(name, kind string, der []byte) {
	a.t.Helper()
	text := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(name, text, 0o600); err != nil {
		a.t.Fatal(err)
	}
}
