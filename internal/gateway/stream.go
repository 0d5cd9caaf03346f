package gateway

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	eventIDField = "id:"
	// maxEventSize is the event size beyond which lines longer than the read buffer are rejected, and maxLinesSize the size
	// of an event of any lines.
	maxEventSize = 256 << 10
	maxLinesSize = 1 << 20
)

// eventReader splits a stream of server-sent events into complete events.
type eventReader struct {
	reader   *bufio.Reader
	event    []byte
	id       string
	buffered *bufferBudget
	reserved int // buffer bytes reserved for an event larger than bufferStep
}

// close releases the event buffer and its reservation.
func (e *eventReader) close() {
	e.buffered.Release(e.reserved)
	e.event, e.reserved = nil, 0
}

// reserve reserves buffer bytes for an event larger than bufferStep, and reports whether the limit permits it.
func (e *eventReader) reserve() bool {
	size := cap(e.event)
	if size <= max(bufferStep, e.reserved) {
		return true
	}
	if !e.buffered.Reserve(size - e.reserved) {
		return false
	}
	e.reserved = size
	return true
}

// next returns the bytes of the next event, including its final empty line. io.EOF means that the stream ended after a
// complete event, any other error that it broke off.
func (e *eventReader) next() ([]byte, error) {
	if e.reserved > 0 {
		e.close() // long events are rare, so the large buffer is not kept
	}
	e.event = e.event[:0]
	for {
		part, err := e.reader.ReadSlice('\n')
		e.event = append(e.event, part...)
		switch {
		case len(e.event) > maxLinesSize:
			return nil, errEndlessEvent
		case !e.reserve():
			return nil, errBufferLimit
		case err == bufio.ErrBufferFull && len(e.event) < maxEventSize:
			continue
		case err == bufio.ErrBufferFull:
			return nil, errEndlessEvent
		case err == io.EOF && len(e.event) > 0:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
		if e.isComplete() {
			return e.event, nil
		}
	}
}

// isComplete reports whether the line just read is empty, which ends the event. It stores the ID if the line is an id
// field.
func (e *eventReader) isComplete() bool {
	body := bytes.TrimSuffix(e.event, []byte("\n"))
	body = bytes.TrimSuffix(body, []byte("\r"))
	at := bytes.LastIndexByte(body, '\n')
	last := body[at+1:]
	if value, found := bytes.CutPrefix(last, []byte(eventIDField)); found {
		e.id = string(bytes.TrimSpace(value))
	}
	return len(last) == 0
}

// relayStream relays events as they arrive. A stream that breaks off is resumed at another back end if the route
// permits it; otherwise the caller's connection is closed, so that the response does not look complete.
func (a *attempt) relayStream(response *http.Response) result {
	x := a.exchange
	isStream := strings.HasPrefix(response.Header.Get("Content-Type"), eventStream)
	if a.continues && !isStream {
		return a.invalidResponse("continuation is no stream")
	}
	if !isStream && !x.headRelayed.Load() {
		return a.relayBuffered(response)
	}
	head := response
	if a.continues {
		head = x.copied.head // the caller gets the head and signature of the engine that began the run
	}
	stream := &eventReader{reader: bufio.NewReaderSize(response.Body, readBufferSize), buffered: &x.gateway.held.responses}
	defer stream.close()
	controller := http.NewResponseController(x.writer)
	for {
		event, err := stream.next()
		if err == io.EOF {
			if err = a.checkUnframedEnd(response, a.streamStarted.Load()); err == nil {
				return a.finishStream(response)
			}
		}
		if err != nil {
			a.recordStreamBreak(err, stream.event)
			return a.connectionFailed(err)
		}
		now := x.gateway.now()
		x.gateway.table.recordBytes(now, a)
		if stream.id != "" && !followsEvent(stream.id, x.lastEvent) {
			return a.invalidResponse("event out of order")
		}
		if problem := a.recordStreamEvent(stream.id, event); problem != "" {
			return a.invalidResponse(problem)
		}
		a.recordEvent(now)
		a.streamStarted.Store(true)
		if a.silenceTimer != nil {
			a.silenceTimer.Reset(max(minResumeTimeout, resumeGapFactor*x.route.MaxEventGap))
		}
		if x.begunAt == nil {
			x.begunAt = a.row
			x.recordOrigin()
		}
		if !x.relayEvent(controller, head, event) {
			a.cancel(nil)
			x.abandon()
		}
		x.lastEvent = stream.id
	}
}

// relayEvent sends an event to the caller, the first one after the response head, and reports whether that succeeded.
func (x *exchange) relayEvent(controller *http.ResponseController, response *http.Response, event []byte) bool {
	if !x.headRelayed.Load() {
		x.relayHead(response, -1)
	}
	_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := x.writer.Write(event); err != nil {
		return false
	}
	x.recordEvent()
	return controller.Flush() == nil
}

// recordEvent updates the stream timings for logs and metrics.
func (x *exchange) recordEvent() {
	now := x.gateway.now()
	if x.firstEventAt == 0 {
		x.firstEventAt, x.latestEventAt = now, now
		x.gateway.metrics.firstEvent.Observe((now - x.arrived).Seconds())
	}
	x.longestGap = max(x.longestGap, now-x.latestEventAt)
	x.latestEventAt = now
}

// finishStream ends a request whose stream the back end completed.
func (a *attempt) finishStream(response *http.Response) result {
	x := a.exchange
	if a.continues && !x.headRelayed.Load() {
		return a.invalidResponse("continuation without events")
	}
	if !x.headRelayed.Load() {
		x.relayHead(response, -1) // a stream without any event
	}
	a.outcome = outcomeSuccess
	a.releaseConnection(response, nil)
	x.finish(a, response.StatusCode)
	return result{kind: resultAnswered}
}

// followsEvent reports whether an event ID is greater than the previous one. IDs are increasing decimal numbers, and an
// empty one precedes all.
func followsEvent(id, previous string) bool {
	if len(id) != len(previous) {
		return len(id) > len(previous)
	}
	return id > previous
}

// splitTokens splits a comma-separated header value.
func splitTokens(line string) []string {
	tokens := strings.Split(line, ",")
	for i := range tokens {
		tokens[i] = strings.TrimSpace(tokens[i])
	}
	return tokens
}
