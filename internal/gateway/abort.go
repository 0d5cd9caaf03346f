package gateway

import (
	"net/http"
)

// abort ends the caller's connection so that a response that has begun does not look complete. Where the end of the connection
// would end the response, it is reset instead of closed.
func (x *exchange) abort() {
	if x.endsWithConnection() {
		x.reset()
	}
	panic(http.ErrAbortHandler)
}

// endsWithConnection reports whether nothing but the end of the connection ends the response for the caller.
func (x *exchange) endsWithConnection() bool {
	return x.headRelayed.Load() && (x.unframed || !x.request.ProtoAtLeast(1, 1) && x.writer.Header().Get("Content-Length") == "")
}

// reset resets the caller's connection.
func (x *exchange) reset() {
	conn, _, err := http.NewResponseController(x.writer).Hijack()
	if err != nil {
		return // the connection has ended
	}
	if lingering, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = lingering.SetLinger(0)
	}
	_ = conn.Close()
}
