package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"kitetiller/internal/transport"
)

// endCheckTimeout bounds the check whether the process of a back end has ended. A timeout proves nothing.
const endCheckTimeout = 300 * time.Millisecond

var (
	errEmptyUnframed = eris.New("the connection ended before the response that its head promises")
	errProcessEnded  = eris.New("the response ended with the process of the back end")
	errResetUnframed = eris.New("the connection was reset, or ended before the back end had received the request")
)

// checkUnframedEnd returns an error if the end of the connection is not taken for the end of a response that states neither a length
// nor chunks: if the connection was reset or the request wasn't received, and for a success also if nothing was received, or if the
// back end's process has ended, which closes its connections in order as well.
func (a *attempt) checkUnframedEnd(response *http.Response, received bool) error {
	if transport.HasFraming(response) || !bodyAllowed(a.exchange.request.Method, response.StatusCode) {
		return nil
	}
	if !a.endedInOrder() {
		return errResetUnframed
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return nil
	}
	if !received {
		return errEmptyUnframed
	}
	ctx, cancel := context.WithTimeout(a.ctx, endCheckTimeout)
	defer cancel()
	refuses := a.exchange.gateway.dialer.RefusesDirectly
	if a.conn.peer != "" {
		refuses = a.exchange.gateway.dialer.Refuses
	}
	if refuses(ctx, a.row.entry.Address) {
		return errProcessEnded
	}
	if !a.endedInOrder() { // it was reset meanwhile
		return errResetUnframed
	}
	return nil
}

// endedInOrder reports whether the back end has received the whole request and ended its side of the connection in order. A peer
// states the end of a back end's stream only if that was so.
func (a *attempt) endedInOrder() bool {
	return a.awaitRequestWritten() && (a.conn.peer != "" || transport.EndedInOrder(a.conn.Conn))
}

// awaitRequestWritten is requestWritten for a connection that the back end has ended: a write in the background that has succeeded or
// can't any more returns soon.
func (a *attempt) awaitRequestWritten() bool {
	select {
	case err := <-a.writeDone:
		a.writeDone <- err
		return err == nil
	case <-time.After(endCheckTimeout):
		return false
	}
}

// relayUnframed keeps a response without length or chunks so for the caller: only its back end could tell that it is whole.
func (x *exchange) relayUnframed(response *http.Response) {
	if !transport.HasFraming(response) && bodyAllowed(x.request.Method, response.StatusCode) {
		x.writer.Header().Set("Transfer-Encoding", "identity") // makes net/http end the response with the connection
		x.unframed = true
	}
}
