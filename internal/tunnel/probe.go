package tunnel

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"

	"github.com/rotisserie/eris"

	"kitetiller/internal/transport"
)

// ErrConnectionEnds: a back end answered, and ends the connection with its answer.
var ErrConnectionEnds = eris.New("the connection ends with the answer")

// maxReply bounds the size of an answer that is read whole.
const maxReply = 64 << 10

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
	response, _, err := ask(ctx, conn, address, path, true)
	if err != nil {
		return err
	}
	return response.Body.Close()
}

// Ask sends a GET request on a connection and reads the whole answer, so that other requests may follow. Any answer will do, also a
// rejection. It returns ErrConnectionEnds if none may follow.
func Ask(ctx context.Context, conn net.Conn, address, path string) error {
	response, reader, err := ask(ctx, conn, address, path, false)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	length, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxReply+1))
	switch {
	case err != nil:
		return eris.Wrap(err, "read the answer")
	case response.Close || !transport.HasFraming(response) || length > maxReply || reader.Buffered() > 0:
		return ErrConnectionEnds
	}
	return nil
}

// ask sends a GET request and reads the head of the answer.
func ask(ctx context.Context, conn net.Conn, address, path string, last bool) (*http.Response, *bufio.Reader, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, nil, eris.Wrap(err, "create probe")
	}
	request.Close = last
	if err := request.Write(conn); err != nil {
		return nil, nil, err
	}
	head := transport.NewHeadReader(conn)
	head.BeginHead()
	reader := bufio.NewReader(head)
	response, err := http.ReadResponse(reader, request)
	head.EndHead()
	if err == nil {
		err = transport.CheckHead(response)
	}
	return response, reader, head.Explain(err)
}
