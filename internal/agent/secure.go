package agent

import (
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"time"

	"sardinelock.dev/sardinelock/internal/connector"
)

// certificateCheckInterval is the interval at which the TLS files are reloaded.
const certificateCheckInterval = 5 * time.Second

// secure wraps the listener for announcements in TLS if there are TLS settings and the
// listener is not on the loopback interface. An upstream on the same machine needs no
// certificates.
func (a *Agent) secure(l net.Listener) net.Listener {
	if a.settings.TLS == nil || a.settings.Listen.Addr().IsLoopback() {
		return l
	}
	return tls.NewListener(l, a.settings.TLS.Server())
}

func (a *Agent) entryURL(addr netip.AddrPort) string {
	if a.settings.TLS != nil {
		return "wss://" + addr.String() + connector.Path
	}
	return "ws://" + addr.String() + connector.Path
}

// entryClient returns the client that dials entries; nil without TLS.
func (a *Agent) entryClient() *http.Client {
	if a.settings.TLS == nil {
		return nil
	}
	return a.settings.TLS.HTTPClient()
}

// watchCertificates reloads the TLS files periodically.
func (a *Agent) watchCertificates() {
	if a.settings.TLS == nil {
		return
	}
	a.timers.Subscribe(certificateCheckInterval, func(time.Time) {
		changed, err := a.settings.TLS.Reload()
		switch {
		case err != nil:
			a.settings.Logger.Warn().Err(err).Msg("cannot reload the TLS files; the previous certificates stay in use")
		case changed:
			a.settings.Logger.Info().Str("event", "tls-reloaded").Time("expiry", a.settings.TLS.Expiry()).Msg("reloaded the TLS files")
		}
	})
}
