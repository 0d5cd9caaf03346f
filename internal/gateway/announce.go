package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"go.uber.org/zap"

	"kitetiller/internal/prefix"
	"kitetiller/internal/transport"
)

const (
	pathSends       = "/internal/v1/sends"
	announceRing    = 2048
	announcePeriod  = 15 * time.Millisecond // how long a send waits for others to be told with it
	announceTimeout = 250 * time.Millisecond
	announceBatch   = 128
)

// send is a request that a gateway sent to an engine, as the others are told: what the engine now has to read, and which
// parts it will hold; the last of them is of use to nobody else, but takes its memory.
type send struct {
	Instance string        `json:"instance"`
	Salt     string        `json:"salt"`
	Parts    []prefix.Part `json:"parts,omitempty"`
	Uncached int           `json:"uncached"`
	Saved    bool          `json:"saved,omitempty"` // the parts go to the store as well
	Age      time.Duration `json:"age_ns"`
}

// newAnnouncer tells the other gateways of sends, so that all see the same queues and holders without asking engines.
func newAnnouncer(client *transport.Client) *transport.Announcer[send] {
	settings := transport.AnnouncerSettings{
		Path: pathSends, Ring: announceRing, Batch: announceBatch, Period: announcePeriod, Timeout: announceTimeout,
	}
	return transport.NewAnnouncer(client, settings, func(batch []transport.Aged[send]) any {
		sends := make([]send, 0, len(batch))
		for _, announced := range batch {
			announced.Item.Age = time.Since(announced.At)
			sends = append(sends, announced.Item)
		}
		return sends
	})
}

// listenPeers serves the other gateways, when there is an address for it.
func (g *Gateway) listenPeers() (*transport.Server, error) {
	if g.settings.Internal == "" {
		return nil, nil
	}
	return transport.Listen(g.settings.Internal, g.settings.Token, g.handlePeer, zap.NewNop())
}

func closePeers(listener *transport.Server) {
	if listener == nil {
		return
	}
	closing, done := context.WithTimeout(context.Background(), announceTimeout)
	defer done()
	_ = listener.Close(closing) // the process ends anyway
}

func (g *Gateway) handlePeer(request transport.Request, respond transport.Respond) {
	var sends []send
	switch {
	case request.Path != pathSends:
		respond(http.StatusNotFound, nil)
	case json.Unmarshal(request.Body, &sends) != nil:
		respond(http.StatusBadRequest, nil)
	default:
		g.table.takeSends(g.now(), sends)
		respond(http.StatusOK, struct{}{})
	}
}
