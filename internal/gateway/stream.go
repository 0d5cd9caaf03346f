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
	idField = "id:"
	// maximumEvent bounds one event.
	maximumEvent = 256 << 10
)

// eventReader splits a stream into whole events.
type eventReader struct {
	reader *bufio.Reader
	event  []byte
	id     string
	held   *bufferBudget
	room   int // that was taken for an event above heldStep
}

// close gives back the room that was taken.
func (e *eventReader) close() {
	e.held.release(e.room)
	e.event, e.room = nil, 0
}

// count takes room for an event that has grown long, and reports whether there is any.
func (e *eventReader) count() bool {
	grown := cap(e.event)
	if grown <= max(bufferStep, e.room) {
		return true
	}
	if !e.held.reserve(grown - e.room) {
		return false
	}
	e.room = grown
	return true
}

// next returns the next event with its empty line, as it came. io.EOF means that the stream ended between two events;
// any other error that it broke off.
func (e *eventReader) next() ([]byte, error) {
	if e.room > 0 {
		e.close() // the next ones are as short as ever
	}
	e.event = e.event[:0]
	for {
		part, err := e.reader.ReadSlice('\n')
		e.event = append(e.event, part...)
		switch {
		case !e.count():
			return nil, errBufferLimit
		case err == bufio.ErrBufferFull && len(e.event) < maximumEvent:
			continue
		case err == io.EOF && len(e.event) > 0:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
		if e.ended() {
			return e.event, nil
		}
	}
}

// ended reports whether the event read so far ends with an empty line, and notes its id.
func (e *eventReader) ended() bool {
	body := bytes.TrimSuffix(e.event, []byte("\n"))
	body = bytes.TrimSuffix(body, []byte("\r"))
	at := bytes.LastIndexByte(body, '\n')
	last := body[at+1:]
	if value, found := bytes.CutPrefix(last, []byte(idField)); found {
		e.id = string(bytes.TrimSpace(value))
	}
	return len(last) == 0
}

// relayStream passes events on as they come. A stream that breaks off is taken up at another back end where the route
// allows it; otherwise the caller's connection is closed, so that it never looks complete.
func (a *attempt) relayStream(answer *http.Response) result {
	x := a.exchange
	if !strings.HasPrefix(answer.Header.Get("Content-Type"), eventStream) && !x.relayed {
		return a.relayWhole(answer)
	}
	stream := &eventReader{reader: bufio.NewReaderSize(answer.Body, readBuffer), held: &x.gateway.held}
	defer stream.close()
	controller := http.NewResponseController(x.writer)
	for {
		event, err := stream.next()
		if err == io.EOF {
			return a.streamEnded(answer)
		}
		if err != nil {
			return a.failed(err)
		}
		x.gateway.table.recordBytes(x.gateway.now(), a)
		if stream.id != "" && !later(stream.id, x.lastEvent) {
			return a.broken("event out of order")
		}
		a.begun.Store(true)
		if a.silence != nil {
			a.silence.Reset(max(resumeMinimum, resumePauses*x.route.MaxEventGap))
		}
		if !x.passEvent(controller, answer, event) {
			a.cancel(nil)
			x.abandon()
		}
		x.lastEvent = stream.id
	}
}

// passEvent writes one event to the caller, with the head before the first.
func (x *exchange) passEvent(controller *http.ResponseController, answer *http.Response, event []byte) bool {
	if !x.relayed {
		x.passHead(answer, -1)
	}
	_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := x.writer.Write(event); err != nil {
		return false
	}
	x.noteEvent()
	return controller.Flush() == nil
}

// noteEvent keeps what the log tells of a stream's pace.
func (x *exchange) noteEvent() {
	now := x.gateway.now()
	if x.firstAt == 0 {
		x.firstAt, x.eventAt = now, now
		x.gateway.metrics.first.Observe((now - x.arrived).Seconds())
	}
	x.pause = max(x.pause, now-x.eventAt)
	x.eventAt = now
}

// streamEnded ends a stream that the back end ended between two events.
func (a *attempt) streamEnded(answer *http.Response) result {
	x := a.exchange
	if !x.relayed {
		x.passHead(answer, -1) // a stream without any event
	}
	a.grade = outcomeSuccess
	a.release(answer, nil)
	x.finish(a, answer.StatusCode)
	return result{kind: resultAnswered}
}

// later reports whether an event id follows another one. Ids are numbers that rise; an empty one precedes all.
func later(id, before string) bool {
	if len(id) != len(before) {
		return len(id) > len(before)
	}
	return id > before
}

func splitTokens(line string) []string {
	tokens := strings.Split(line, ",")
	for i := range tokens {
		tokens[i] = strings.TrimSpace(tokens[i])
	}
	return tokens
}
