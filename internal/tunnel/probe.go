package tunnel

import (
	"bufio"
	"context"
	"net"
	"net/http"

	"github.com/rotisserie/eris"

	"kitetiller/internal/transport"
)

// Probe checks whether a back end answers a GET request on a connection of its own. Any answer will do, also a rejection.
// With an empty path it only has to accept the connection.
func Probe(ctx context.Context, dial func(ctx context.Context, address string) (net.Conn, error), address, path string) error {
	conn, err := dial(ctx, address)
	if err != nil {
		return err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if path == "" {
		return nil
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return eris.Wrap(err, "create probe")
	}
	request.Close = true
	if err := request.Write(conn); err != nil {
		return err
	}
	head := transport.NewHeadReader(conn)
	head.BeginHead()
	response, err := http.ReadResponse(bufio.NewReader(head), request)
	if err != nil {
		return err
	}
	return response.Body.Close()
}
