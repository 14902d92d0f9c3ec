package dispatcher

import (
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"sardinelock.dev/sardinelock/internal/connector"
)

// certificateCheckInterval is the interval at which the TLS files are reloaded.
const certificateCheckInterval = 5 * time.Second

// secure wraps a listener in TLS if the entry has TLS settings. A listener for
// peers requires a certificate of the peer.
func (e *Entry) secure(l net.Listener, peers bool) net.Listener {
	switch {
	case e.settings.TLS == nil:
		return l
	case peers:
		return tls.NewListener(l, e.settings.TLS.PeerServer())
	}
	return tls.NewListener(l, e.settings.TLS.Server())
}

// peerURL returns the URL at which a peer accepts connections.
func (e *Entry) peerURL(addr string) string {
	if e.settings.TLS != nil {
		return "wss://" + addr + connector.Path
	}
	return "ws://" + addr + connector.Path
}

// peerClient returns the client that dials peers; nil without TLS.
func (e *Entry) peerClient() *http.Client {
	if e.settings.TLS == nil {
		return nil
	}
	return e.settings.TLS.HTTPClient()
}

// watchCertificates reloads the TLS files periodically.
func (e *Entry) watchCertificates() {
	if e.settings.TLS == nil {
		return
	}
	e.timers.Subscribe(certificateCheckInterval, func(time.Time) {
		changed, err := e.settings.TLS.Reload()
		switch {
		case err != nil:
			e.settings.Logger.Warn().Err(err).Msg("cannot reload the TLS files; the previous certificates stay in use")
		case changed:
			e.settings.Logger.Info().Str("event", "tls-reloaded").Time("expiry", e.settings.TLS.Expiry()).Msg("reloaded the TLS files")
		}
	})
}
