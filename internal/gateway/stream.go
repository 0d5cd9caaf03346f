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
	// maxEventSize bounds one event.
	maxEventSize = 256 << 10
)

// eventReader splits a stream into whole events.
type eventReader struct {
	reader   *bufio.Reader
	event    []byte
	id       string
	held     *held
	reserved int // that was taken for an event above heldStep
}

// close gives back the room that was taken.
func (e *eventReader) close() {
	e.held.give(e.reserved)
	e.event, e.reserved = nil, 0
}

// reserve takes room for an event that has grown long, and reports whether there is any.
func (e *eventReader) reserve() bool {
	size := cap(e.event)
	if size <= max(heldStep, e.reserved) {
		return true
	}
	if !e.held.take(size - e.reserved) {
		return false
	}
	e.reserved = size
	return true
}

// next returns the next event with its empty line, as it came. io.EOF means that the stream ended between two events;
// any other error that it broke off.
func (e *eventReader) next() ([]byte, error) {
	if e.reserved > 0 {
		e.close() // the next ones are as short as ever
	}
	e.event = e.event[:0]
	for {
		part, err := e.reader.ReadSlice('\n')
		e.event = append(e.event, part...)
		switch {
		case !e.reserve():
			return nil, errHeld
		case err == bufio.ErrBufferFull && len(e.event) < maxEventSize:
			continue
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

// isComplete reports whether the event read so far ends with an empty line, and notes its id.
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

// relayStream passes events on as they come. A stream that breaks off is taken up at another back end where the route
// allows it; otherwise the caller's connection is closed, so that it never looks complete.
func (a *attempt) relayStream(response *http.Response) result {
	x := a.exchange
	if !strings.HasPrefix(response.Header.Get("Content-Type"), eventStream) && !x.headRelayed {
		return a.relayBuffered(response)
	}
	stream := &eventReader{reader: bufio.NewReaderSize(response.Body, readBufferSize), held: &x.gateway.buffered}
	defer stream.close()
	controller := http.NewResponseController(x.writer)
	for {
		event, err := stream.next()
		if err == io.EOF {
			return a.finishStream(response)
		}
		if err != nil {
			return a.connectionFailed(err)
		}
		x.gateway.table.recordBytes(x.gateway.now(), a)
		if stream.id != "" && !followsEvent(stream.id, x.lastEvent) {
			return a.invalidResponse("event out of order")
		}
		a.streamStarted.Store(true)
		if a.silenceTimer != nil {
			a.silenceTimer.Reset(max(minResumeTimeout, resumeGapFactor*x.route.MaxEventGap))
		}
		if !x.relayEvent(controller, response, event) {
			a.cancel(nil)
			x.abandon()
		}
		x.lastEvent = stream.id
	}
}

// relayEvent writes one event to the caller, with the head before the first.
func (x *exchange) relayEvent(controller *http.ResponseController, response *http.Response, event []byte) bool {
	if !x.headRelayed {
		x.relayHead(response, -1)
	}
	_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := x.writer.Write(event); err != nil {
		return false
	}
	x.recordEvent()
	return controller.Flush() == nil
}

// recordEvent keeps what the log tells of a stream's pace.
func (x *exchange) recordEvent() {
	now := x.gateway.now()
	if x.firstEventAt == 0 {
		x.firstEventAt, x.latestEventAt = now, now
		x.gateway.metrics.firstEvent.Observe((now - x.arrived).Seconds())
	}
	x.longestGap = max(x.longestGap, now-x.latestEventAt)
	x.latestEventAt = now
}

// finishStream ends a stream that the back end ended between two events.
func (a *attempt) finishStream(response *http.Response) result {
	x := a.exchange
	if !x.headRelayed {
		x.relayHead(response, -1) // a stream without any event
	}
	a.grade = gradeGood
	a.releaseConnection(response, nil)
	x.finish(a, response.StatusCode)
	return result{kind: resultAnswered}
}

// followsEvent reports whether an event id follows another one. Ids are numbers that rise; an empty one precedes all.
func followsEvent(id, previous string) bool {
	if len(id) != len(previous) {
		return len(id) > len(previous)
	}
	return id > previous
}

func splitTokens(line string) []string {
	tokens := strings.Split(line, ",")
	for i := range tokens {
		tokens[i] = strings.TrimSpace(tokens[i])
	}
	return tokens
}
