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

// TestDataAge checks that the age of a connection's data counts from its arrival, not from the time
// at which it is read, and that later data resets it.
func TestDataAge(t *testing.T) {
	const unread, tolerance = 200 * time.Millisecond, 20 * time.Millisecond
	client, server := connect(t)
	ctx := WithConn(t.Context(), server)
	for range 2 {
		before := time.Now()
		if _, err := client.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		arrived := time.Now()
		time.Sleep(unread)
		if n, err := server.Read(make([]byte, 2)); n != 1 || err != nil {
			t.Fatalf("read %d bytes: %v", n, err)
		}
		atLeast := time.Since(arrived) - tolerance
		age, ok := DataAge(ctx)
		if atMost := time.Since(before) + tolerance; !ok || age < atLeast || age > atMost {
			t.Errorf("age %v, %v, want %v to %v", age, ok, atLeast, atMost)
		}
	}
}

// TestUnknownDataAge checks that the age is unknown without a connection and after its end.
func TestUnknownDataAge(t *testing.T) {
	if age, ok := DataAge(context.Background()); ok {
		t.Errorf("age %v of a context without a connection", age)
	}
	_, server := connect(t)
	if err := server.Close(); err != nil {
		t.Fatal(err)
	}
	if age, ok := DataAge(WithConn(t.Context(), server)); ok {
		t.Errorf("age %v of a closed connection", age)
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
