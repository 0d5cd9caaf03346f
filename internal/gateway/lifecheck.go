package gateway

import (
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// lifeCheckTimeout bounds the question which incarnation answers on a connection, and maxLifeReply its reply.
	lifeCheckTimeout = 250 * time.Millisecond
	maxLifeReply     = 64 << 10
	// maxLifeChecks is how many connections are tried if the back end ends each with its reply.
	maxLifeChecks = 3
)

var (
	// errOtherIncarnation: another incarnation of the back end answers than the one that was chosen.
	errOtherIncarnation = eris.New("other incarnation")
	// errConnectionEnds: the back end ends the connection with its reply.
	errConnectionEnds = eris.New("the connection ends with the question for the incarnation")
)

// needsLifeCheck reports whether it matters which incarnation gets the request, although the back end itself can't tell: one
// that restarts under its earlier name may have another software version. Only engines state when they started.
func (a *attempt) needsLifeCheck() bool {
	x := a.exchange
	return a.row.incarnation.StartedMS > 0 && x.service.Engine && x.route.Streaming && (x.route.Resumable || x.origin.takesUp)
}

// checkLife makes sure that the connection is one to the chosen incarnation. A connection never changes its incarnation, so
// each is checked once.
func (a *attempt) checkLife() error {
	if a.conn.lifeChecked || !a.needsLifeCheck() {
		return nil
	}
	startedMS, err := a.askStartTime()
	if err != nil && err != errConnectionEnds {
		return err
	}
	if startedMS != a.row.incarnation.StartedMS {
		a.exchange.gateway.table.recordUnreachable(a.exchange.gateway.now(), a.row) // until control names the new one
		return errOtherIncarnation
	}
	a.conn.lifeChecked = true
	return err
}

// askStartTime asks on the attempt's connection when the back end started. With errConnectionEnds the reply is valid.
func (a *attempt) askStartTime() (startedMS int64, err error) {
	d := a.exchange.gateway.dialect
	_ = a.conn.SetDeadline(time.Now().Add(lifeCheckTimeout))
	defer func() { _ = a.conn.SetDeadline(time.Time{}) }()
	question := "GET " + d.StatePath() + " HTTP/1.1\r\nHost: " + a.row.entry.Address + "\r\n\r\n"
	if _, err := io.WriteString(a.conn, question); err != nil {
		return 0, eris.Wrap(err, "ask for the incarnation")
	}
	response, err := a.conn.readResponse(http.MethodGet, d.SingleHeaders())
	if err != nil {
		return 0, eris.Wrap(err, "ask for the incarnation")
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxLifeReply))
	_ = response.Body.Close()
	if err != nil || response.StatusCode != http.StatusOK {
		return 0, eris.Errorf("ask for the incarnation: %s, %v", response.Status, err)
	}
	if startedMS, err = d.ReadStartTime(body); err != nil {
		return 0, err
	}
	if !a.conn.readKeepAlive(response) {
		return startedMS, errConnectionEnds
	}
	return startedMS, nil
}
