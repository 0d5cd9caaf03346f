package gateway

import (
	"errors"
	"io"
	"math"
	"net/http"

	"kitetiller/internal/transport"
)

var (
	errEndlessBody  = errors.New("the response has a body that is too long for what it reports")
	errEndlessEvent = errors.New("an event of the stream is too long")
)

// isEndless reports whether a back end sent more than any response of its kind has, which no end may follow.
func isEndless(err error) bool {
	return errors.Is(err, transport.ErrHeadTooLong) || errors.Is(err, http.ErrLineTooLong) || errors.Is(err, errEndlessBody) || errors.Is(err, errEndlessEvent)
}

// discardBody reads the rest of a response. It returns errEndlessBody for one longer than maxBufferedResponse, whose end would be
// taken for the next response.
func discardBody(response *http.Response) error {
	size, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxBufferedResponse+1))
	if size > maxBufferedResponse {
		return errEndlessBody
	}
	return err
}

// avoidedForLife is the end of the avoidance of a back end that is avoided until it has restarted.
const avoidedForLife = math.MaxInt64

// recordEndless records that a back end sends bytes without an end. Only its restart makes it usable like others.
func (t *table) recordEndless(row *endpoint) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	row.avoidUntil = avoidedForLife
}
