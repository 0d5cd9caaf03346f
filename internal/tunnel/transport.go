package tunnel

import (
	"context"
	"net"
	"net/http"
)

// Transport sends HTTP requests over connections of a Dialer. It is an http.RoundTripper.
type Transport struct {
	dialer      *Dialer
	base        *http.Transport
	isSuspected func(address string) bool
}

// NewTransport returns a transport that connects through dialer instead of base's own function. isSuspected reports
// whether nothing was received lately on direct connections to an address.
func NewTransport(dialer *Dialer, base *http.Transport, isSuspected func(address string) bool) *Transport {
	base.DialContext = func(ctx context.Context, _, address string) (net.Conn, error) {
		dialed, err := dialer.Dial(ctx, address, isSuspected(address))
		if err != nil {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: err} // nothing was sent
		}
		return dialed.Conn, nil
	}
	return &Transport{dialer: dialer, base: base, isSuspected: isSuspected}
}

// RoundTrip implements http.RoundTripper. A tunnel serves one request, so that the peer that carries it can shut down;
// one that replaces a direct connection which just failed may serve a second one.
func (t *Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	if address := request.URL.Host; t.dialer.MayBypass(address, t.isSuspected(address)) {
		request = request.Clone(request.Context())
		request.Close = true
	}
	return t.base.RoundTrip(request)
}

// CloseIdleConnections closes the connections that no request uses.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
