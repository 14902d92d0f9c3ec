package certifier_test

import (
	"bufio"
	"crypto/tls"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"sardinelock.dev/sardinelock/internal/certifier"
	"sardinelock.dev/sardinelock/internal/issuer"
)

const ioTimeout = time.Minute

func newCertifier(t *testing.T, files certifier.Files) *certifier.Certifier {
	t.Helper()
	c, err := certifier.New(files)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// serveEcho starts a TLS server that echoes every line, and returns its address.
func serveEcho(t *testing.T, config *tls.Config) string {
	t.Helper()
	l, err := tls.Listen("tcp", "127.0.0.1:0", config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go echo(conn)
		}
	}()
	return l.Addr().String()
}

func echo(conn net.Conn) {
	defer conn.Close()
	lines := bufio.NewScanner(conn)
	for lines.Scan() {
		if _, err := conn.Write([]byte(lines.Text() + "\n")); err != nil {
			return
		}
	}
}

// echoLine sends a line over the connection and reports whether the server echoed it.
func echoLine(conn *tls.Conn) bool {
	if err := conn.SetDeadline(time.Now().Add(ioTimeout)); err != nil {
		return false
	}
	if _, err := conn.Write([]byte("hello\n")); err != nil {
		return false
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	return err == nil && line == "hello\n"
}

// dialAndEcho dials, sends a line and reports whether the server echoed it. A server
// may reject a client after the client has completed its side of the handshake, so
// only an echo proves that the server accepted the client.
func dialAndEcho(addr string, config *tls.Config) bool {
	conn, err := tls.Dial("tcp", addr, config)
	if err != nil {
		return false
	}
	defer conn.Close()
	return echoLine(conn)
}

// TestPeers checks which clients a listener for peers accepts, and which servers a
// client trusts.
func TestPeers(t *testing.T) {
	ours, theirs := issuer.New(t), issuer.New(t)
	later := time.Now().Add(time.Hour)
	past := time.Now().Add(-time.Minute)
	good := newCertifier(t, ours.Issue(t.TempDir(), later))
	expired := newCertifier(t, ours.Issue(t.TempDir(), past))
	foreign := newCertifier(t, theirs.Issue(t.TempDir(), later))
	files := ours.Issue(t.TempDir(), later)
	uncertified := newCertifier(t, certifier.Files{Authorities: files.Authorities})
	named := ours.Issue(t.TempDir(), later)
	named.ServerName = "another.test"

	got := map[string]bool{
		"good client":            dialAndEcho(serveEcho(t, good.PeerServer()), good.Client()),
		"client without":         dialAndEcho(serveEcho(t, good.PeerServer()), uncertified.Client()),
		"expired client":         dialAndEcho(serveEcho(t, good.PeerServer()), expired.Client()),
		"foreign client":         dialAndEcho(serveEcho(t, good.PeerServer()), foreignClient(foreign, good)),
		"expired server":         dialAndEcho(serveEcho(t, expired.PeerServer()), good.Client()),
		"foreign server":         dialAndEcho(serveEcho(t, foreign.Server()), good.Client()),
		"server of another name": dialAndEcho(serveEcho(t, good.Server()), newCertifier(t, named).Client()),
		"caller without":         dialAndEcho(serveEcho(t, good.Server()), uncertified.Client()),
	}
	want := map[string]bool{
		"good client":            true,
		"client without":         false,
		"expired client":         false,
		"foreign client":         false,
		"expired server":         false,
		"foreign server":         false,
		"server of another name": false,
		"caller without":         true,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("accepted (-want +got):\n%s", diff)
	}
}

// foreignClient returns the configuration of a client that trusts the authorities of
// trusting, but has the certificate of foreign, signed by another authority.
func foreignClient(foreign, trusting *certifier.Certifier) *tls.Config {
	config := foreign.Client()
	config.RootCAs = trusting.Client().RootCAs
	return config
}

// TestRenewal renews the server's certificate. The established connection must keep
// working, and the next connection must get the new certificate.
func TestRenewal(t *testing.T) {
	authority := issuer.New(t)
	dir := t.TempDir()
	first := time.Now().Add(time.Hour).Truncate(time.Second).UTC()
	second := first.Add(time.Hour)
	c := newCertifier(t, authority.Issue(dir, first))
	addr := serveEcho(t, c.PeerServer())

	conn, err := tls.Dial("tcp", addr, c.Client())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if !echoLine(conn) {
		t.Fatal("the connection does not work")
	}
	if changed, err := c.Reload(); changed || err != nil {
		t.Errorf("reload without a change: %v, %v", changed, err)
	}
	authority.Issue(dir, second)
	if changed, err := c.Reload(); !changed || err != nil {
		t.Errorf("reload after a change: %v, %v", changed, err)
	}
	if !echoLine(conn) {
		t.Error("the renewal broke an established connection")
	}
	next, err := tls.Dial("tcp", addr, c.Client())
	if err != nil {
		t.Fatal(err)
	}
	defer next.Close()
	got := []time.Time{
		conn.ConnectionState().PeerCertificates[0].NotAfter,
		next.ConnectionState().PeerCertificates[0].NotAfter,
		c.Expiry(),
	}
	if diff := cmp.Diff([]time.Time{first, second, second}, got); diff != "" {
		t.Errorf("expiry (-want +got):\n%s", diff)
	}
}

// TestAuthorityChange replaces the server's authority without interruption: first the
// server trusts the old one, then both, then only the new one.
func TestAuthorityChange(t *testing.T) {
	before, after := issuer.New(t), issuer.New(t)
	later := time.Now().Add(time.Hour)
	serverFiles := before.Issue(t.TempDir(), later)
	server := newCertifier(t, serverFiles)
	addr := serveEcho(t, server.PeerServer())
	old := newCertifier(t, before.Issue(t.TempDir(), later))
	renewed := newCertifier(t, after.Issue(t.TempDir(), later))
	trusting := foreignClient(renewed, old)

	var got []bool
	check := func() { got = append(got, dialAndEcho(addr, old.Client()), dialAndEcho(addr, trusting)) }
	check()
	write(t, serverFiles.Authorities, append(before.PEM(), after.PEM()...))
	reload(t, server)
	check()
	write(t, serverFiles.Authorities, after.PEM())
	reload(t, server)
	check()
	if diff := cmp.Diff([]bool{true, false, true, true, false, true}, got); diff != "" {
		t.Errorf("old and new client accepted (-want +got):\n%s", diff)
	}
}

// TestBrokenFiles checks that the previous material stays in use after a half-written
// renewal, and that errors do not contain the content of the files.
func TestBrokenFiles(t *testing.T) {
	authority := issuer.New(t)
	files := authority.Issue(t.TempDir(), time.Now().Add(time.Hour))
	c := newCertifier(t, files)
	addr := serveEcho(t, c.Server())
	key, err := os.ReadFile(files.Key)
	if err != nil {
		t.Fatal(err)
	}
	for _, broken := range []struct{ name, text string }{
		{files.Key, string(key[:len(key)/2])},
		{files.Certificate, "no certificate"},
		{files.Authorities, ""},
	} {
		whole, err := os.ReadFile(broken.name)
		if err != nil {
			t.Fatal(err)
		}
		write(t, broken.name, []byte(broken.text))
		changed, err := c.Reload()
		if changed || err == nil {
			t.Errorf("%s: reload of a broken file: %v, %v", broken.name, changed, err)
			continue
		}
		if strings.Contains(err.Error(), string(key[30:60])) {
			t.Errorf("the error contains a part of the key: %v", err)
		}
		if !dialAndEcho(addr, c.Client()) {
			t.Errorf("%s: the previous material is not in use", broken.name)
		}
		write(t, broken.name, whole)
	}
}

func write(t *testing.T, name string, text []byte) {
	t.Helper()
	if err := os.WriteFile(name, text, 0o600); err != nil {
		t.Fatal(err)
	}
}

func reload(t *testing.T, c *certifier.Certifier) {
	t.Helper()
	if changed, err := c.Reload(); !changed || err != nil {
		t.Fatalf("reload: %v, %v", changed, err)
	}
}
