package dispatcher

import (
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/juju/errors"
	"github.com/oklog/run"
)

// Limits of the HTTP servers.
const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 16 << 10
)

func (e *Entry) listen() error {
	for _, l := range []struct {
		addr netip.AddrPort
		into *net.Listener
	}{
		{e.settings.CallerListen, &e.caller},
		{e.settings.PeerListen, &e.peer},
		{e.settings.AdminListen, &e.admin},
	} {
		ln, err := net.Listen("tcp", l.addr.String())
		if err != nil {
			return &Error{Op: "start", Kind: KindListen, Err: err}
		}
		*l.into = ln
	}
	return nil
}

func (e *Entry) closeListeners() {
	for _, l := range []net.Listener{e.caller, e.peer, e.admin} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// addServer serves a listener until the server is shut down and the entry ends.
func (e *Entry) addServer(g *run.Group, l net.Listener, h http.Handler) *http.Server {
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	g.Add(func() error {
		err := s.Serve(l)
		if errors.Is(err, http.ErrServerClosed) {
			<-e.background.Done()
			return nil
		}
		return &Error{Op: "serve", Kind: KindServe, Err: err}
	}, func(error) { _ = s.Close() })
	return s
}

func boundAddr(l net.Listener) netip.AddrPort {
	return l.Addr().(*net.TCPAddr).AddrPort()
}
