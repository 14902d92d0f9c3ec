package prober

import (
	"context"
	"net"
	"testing"
	"time"
)

// TestEnded ends a connection in each way, and checks that this is known before anything is read.
func TestEnded(t *testing.T) {
	for _, test := range []struct {
		name string
		end  func(client, server *net.TCPConn) error
		want bool
	}{
		{"open", func(_, _ *net.TCPConn) error { return nil }, false},
		{"closed", func(client, _ *net.TCPConn) error { return client.Close() }, true},
		{"half closed", func(client, _ *net.TCPConn) error { return client.CloseWrite() }, true},
		{"reset", func(client, _ *net.TCPConn) error {
			if err := client.SetLinger(0); err != nil {
				return err
			}
			return client.Close()
		}, true},
		{"closed by the server", func(_, server *net.TCPConn) error { return server.Close() }, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			client, server := connect(t)
			ended := Ended(WithConn(t.Context(), server))
			if _, err := client.Write([]byte("unread")); err != nil {
				t.Fatal(err)
			}
			if ended() {
				t.Fatal("the connection has ended before")
			}
			if err := test.end(client, server); err != nil {
				t.Fatal(err)
			}
			deadline := time.Now().Add(time.Second)
			for !ended() && test.want && time.Now().Before(deadline) {
				time.Sleep(time.Millisecond)
			}
			if got := ended(); got != test.want {
				t.Errorf("ended: %v, want %v", got, test.want)
			}
		})
	}
}

// TestNoConnection checks that a context without a connection counts as open.
func TestNoConnection(t *testing.T) {
	if Ended(context.Background())() {
		t.Error("a context without a connection has ended")
	}
}

// connect returns both sides of a connection.
func connect(t *testing.T) (client, server *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	s, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = c.Close(), s.Close() })
	return c.(*net.TCPConn), s.(*net.TCPConn)
}
