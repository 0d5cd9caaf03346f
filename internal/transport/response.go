package transport

import (
	"net/http"
	"regexp"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

var (
	// ErrJoinedHeads is returned for a response head that goes on with the status line of another response.
	ErrJoinedHeads = eris.New("the head of the response was cut off by another response")
	// ErrContradiction is returned for a response head with different values of a field that stands once at most.
	ErrContradiction = eris.New("the head of the response has different values of one field")
)

// statusLine matches a status line within a line of a head. "HTTP/1.1" alone may stand in a field such as Via.
var statusLine = regexp.MustCompile(`HTTP/[0-9]\.[0-9] [0-9]{3}(\s|$)`)

// singleFields have one value in the head of any response.
var singleFields = []string{"Content-Type", "Content-Length", "Content-Encoding"}

// CheckHead returns an error unless the head of a response can be that of a single response. A back end that stops within a
// head may send another response in the same connection, and http.ReadResponse reads both heads as one. single are the names
// of fields that stand once, besides those that HTTP defines. It rejects what http.ReadResponse takes although it is no head; a
// HeadReader also sees what that doesn't show.
func CheckHead(response *http.Response, single ...string) error {
	if response.StatusCode < minStatus || response.StatusCode > maxStatus {
		return ErrStatusCode
	}
	if hasStatusLine(response.Status) {
		return ErrJoinedHeads
	}
	for name, values := range response.Header {
		if strings.ContainsAny(name, " \t") {
			return ErrFieldName
		}
		if slices.ContainsFunc(values, hasStatusLine) {
			return ErrJoinedHeads
		}
	}
	if hasContradiction(response.Header, singleFields) || hasContradiction(response.Header, single) {
		return ErrContradiction
	}
	return nil
}

func hasStatusLine(text string) bool {
	return strings.Contains(text, "HTTP/") && statusLine.MatchString(text)
}

// hasContradiction reports whether a header has different values of one of the named fields.
func hasContradiction(header http.Header, names []string) bool {
	for _, name := range names {
		if values := header.Values(name); len(values) > 1 && len(slices.Compact(slices.Clone(values))) > 1 {
			return true
		}
	}
	return false
}

// HasFraming reports whether a response states where its body ends. Otherwise the end of the connection ends it, which a
// process that is killed brings about as well.
func HasFraming(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// CheckHeads returns a round tripper that fails on responses that CheckHead rejects.
func CheckHeads(next http.RoundTripper) http.RoundTripper { return headChecker{next} }

type headChecker struct{ next http.RoundTripper }

// RoundTrip sends a request and checks the head of the response.
func (c headChecker) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := c.next.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	if err := CheckHead(response); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}
