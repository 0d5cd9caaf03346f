package transport

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"
)

// readHead reads a response as gateways do, in pieces of a size.
func readHead(text string, piece int) (*http.Response, error) {
	head := NewHeadReader(&pieces{strings.NewReader(text), piece})
	head.BeginHead()
	reader := bufio.NewReader(head)
	for {
		response, err := http.ReadResponse(reader, nil)
		if err == nil {
			err = CheckHead(response)
		}
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
	}
}

// pieces returns a few bytes with each read.
type pieces struct {
	io.Reader
	size int
}

func (p *pieces) Read(b []byte) (int, error) { return p.Reader.Read(b[:min(len(b), p.size)]) }

// drawHead draws a head of a response that RFC 9112 allows, with its lines.
func drawHead(t *rapid.T, status int) (lines []string) {
	lines = append(lines, fmt.Sprintf("HTTP/1.%d %d %s", rapid.IntRange(0, 1).Draw(t, "minor"), status, rapid.StringMatching(`[ -~\x80-\xff\t]{0,12}`).Draw(t, "reason")))
	for i := range rapid.IntRange(0, 6).Draw(t, "fields") {
		name := rapid.StringMatching("X-[!#$%&'*+.^_`|~0-9A-Za-z-]{1,12}").Draw(t, fmt.Sprint("name ", i))
		lines = append(lines, name+":"+rapid.StringMatching(`[ \t]{0,2}[!-~\x80-\xff]{0,20}[ \t]{0,2}`).Draw(t, fmt.Sprint("value ", i)))
	}
	return lines
}

func joinLines(lines []string) string { return strings.Join(lines, "\r\n") + "\r\n\r\n" }

// Heads that RFC 9112 allows are taken, however they arrive, and what follows them is not looked at.
func TestValidHeadsAreTaken(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var text string
		for range rapid.IntRange(0, 2).Draw(t, "informational") {
			text += joinLines(drawHead(t, rapid.SampledFrom([]int{100, 102, 103, 199}).Draw(t, "code")))
		}
		lines := append(drawHead(t, rapid.IntRange(200, 599).Draw(t, "status")), "Content-Length: 6")
		text += joinLines(lines) + "a b\x00\n\n"
		if strings.Contains(text, "HTTP/1.1 200 HTTP/") {
			t.Skip("the reason looks like a status line")
		}
		response, err := readHead(text, rapid.IntRange(1, 200).Draw(t, "piece"))
		if err != nil {
			t.Fatalf("%q: %v", text, err)
		}
		_ = response.Body.Close()
	})
}

// A head with one flaw is an error, wherever the flaw is and however the head arrives.
func TestFlawedHeadsAreErrors(t *testing.T) {
	flaws := map[string]func(t *rapid.T, line string) string{
		"blank in a name":      func(_ *rapid.T, line string) string { return line[:1] + " " + line[1:] },
		"blank before a colon": func(_ *rapid.T, line string) string { return strings.Replace(line, ":", " :", 1) },
		"folded": func(t *rapid.T, line string) string {
			return rapid.SampledFrom([]string{" ", "\t"}).Draw(t, "blank") + line
		},
		"control byte": func(t *rapid.T, line string) string {
			at := rapid.IntRange(0, len(line)).Draw(t, "at")
			return line[:at] + string(rapid.SampledFrom([]byte{0, 1, 8, 11, 31, 127}).Draw(t, "byte")) + line[at:]
		},
		"carriage return": func(_ *rapid.T, line string) string { return line + "\rx" },
		"no colon":        func(_ *rapid.T, line string) string { return strings.ReplaceAll(line, ":", "") },
		"no name":         func(_ *rapid.T, line string) string { return line[strings.Index(line, ":"):] },
	}
	for name, flaw := range flaws {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				lines := append(drawHead(t, http.StatusOK), "Content-Length: 0")
				at := rapid.IntRange(1, len(lines)-1).Draw(t, "line")
				lines[at] = flaw(t, lines[at])
				if response, err := readHead(joinLines(lines), rapid.IntRange(1, 200).Draw(t, "piece")); err == nil {
					t.Fatalf("%q is taken as %v", lines, response.Header)
				}
			})
		})
	}
}

// Only status codes from 100 to 599 are taken, and no informational one instead of a response.
func TestStatusCodes(t *testing.T) {
	for status := range 1000 {
		text := fmt.Sprintf("HTTP/1.1 %03d Reason\r\nX-A: b\r\n\r\n", status)
		_, err := readHead(text, len(text))
		switch {
		case status >= http.StatusOK && status <= maxStatus:
			if err != nil {
				t.Errorf("%03d: %v", status, err)
			}
		case status < minStatus || status > maxStatus:
			if !errors.Is(err, ErrStatusCode) {
				t.Errorf("%03d: %v, want ErrStatusCode", status, err)
			}
		case err == nil:
			t.Errorf("%03d is taken as a response", status)
		}
	}
}

// An error that bufio meets while it looks ahead isn't forgotten.
func TestFlawInAPieceOfItsOwnIsAnError(t *testing.T) {
	head := NewHeadReader(iotest.OneByteReader(strings.NewReader("HTTP/1.1 200 OK\r\nX-A : b\r\nContent-Length: 0\r\n\r\n")))
	head.BeginHead()
	_, err := http.ReadResponse(bufio.NewReader(head), nil)
	if err == nil || !errors.Is(head.Explain(err), ErrFieldName) {
		t.Errorf("got %v, want ErrFieldName", err)
	}
}

func FuzzHeadSyntax(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n", 7)
	f.Add("HTTP/1.1 103 Early\r\nLink : b\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", 1)
	f.Fuzz(func(t *testing.T, text string, piece int) {
		whole, wholeErr := readHead(text, len(text)+1)
		_, err := readHead(text, max(1, piece%64))
		if (err == nil) != (wholeErr == nil) {
			t.Fatalf("whole: %v, in pieces: %v", wholeErr, err)
		}
		if wholeErr == nil && (whole.StatusCode < http.StatusOK || whole.StatusCode > maxStatus) {
			t.Fatalf("status %d", whole.StatusCode)
		}
	})
}
