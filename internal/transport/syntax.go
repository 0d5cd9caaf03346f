package transport

import (
	"net/http"
	"strings"

	"github.com/rotisserie/eris"
)

// Errors of heads that are none by RFC 9112. Parts of them http.ReadResponse takes, or skips.
var (
	// ErrStatusLine: the head doesn't begin with a status line.
	ErrStatusLine = eris.New("the head of the response has a malformed status line")
	// ErrStatusCode: the status code is not one from 100 to 599.
	ErrStatusCode = eris.New("the head of the response has a status code that HTTP doesn't define")
	// ErrFieldName: the name of a field is empty, or holds something else than the characters of a token.
	ErrFieldName = eris.New("the head of the response has a malformed field name")
	// ErrFoldedLine: a line begins with a blank, as if it continued the one before.
	ErrFoldedLine = eris.New("the head of the response has a folded line")
	// ErrControlByte: a value or the reason phrase holds a control byte.
	ErrControlByte = eris.New("the head of the response has a control byte")
	// ErrInformational: an informational response announces content, or switches the protocol.
	ErrInformational = eris.New("an informational response announces content or another protocol")
)

const (
	minStatus, maxStatus = 100, 599
	// statusPrefix is the length of "HTTP/1.1 200".
	statusPrefix = len("HTTP/1.1 ") + 3
	// maxKnownName is the length of the longest field name that matters to the syntax.
	maxKnownName = len("Transfer-Encoding")
)

// headPart is the part of a head that a byte belongs to.
type headPart uint8

const (
	partStatus headPart = iota
	partLineStart
	partName
	partValue
	partDone // the head has ended; what follows is its response's content
)

// headSyntax checks the bytes of a head, and of informational ones before it, as they arrive. The zero value expects a status line.
type headSyntax struct {
	part       headPart
	sawCR      bool // the byte before was a carriage return
	length     int  // of the status line so far
	status     int
	name       [maxKnownName]byte // beginning of the field name in lower case
	nameLength int
	switches   bool // a switch of protocols was asked for
}

// check checks the next bytes. Once the head has ended, it takes any.
func (s *headSyntax) check(p []byte) error {
	for _, b := range p {
		if s.part == partDone {
			return nil
		}
		if err := s.checkByte(b); err != nil {
			return err
		}
	}
	return nil
}

func (s *headSyntax) checkByte(b byte) error {
	if s.sawCR && b != '\n' {
		return ErrControlByte // a carriage return that ends no line
	}
	s.sawCR = b == '\r'
	switch {
	case b == '\n':
		return s.endLine()
	case s.sawCR && s.part != partName:
		return nil
	}
	switch s.part {
	case partStatus:
		return s.checkStatusByte(b)
	case partLineStart:
		if b == ' ' || b == '\t' {
			return ErrFoldedLine
		}
		s.part, s.nameLength = partName, 0
		return s.checkNameByte(b)
	case partName:
		return s.checkNameByte(b)
	}
	if isControl(b) {
		return ErrControlByte
	}
	return nil
}

// checkStatusByte checks a byte of the status line.
func (s *headSyntax) checkStatusByte(b byte) error {
	const pattern = "HTTP/#.# ###"
	at := s.length
	s.length++
	switch {
	case at == statusPrefix && b != ' ':
		return ErrStatusLine
	case at >= statusPrefix:
		if isControl(b) {
			return ErrControlByte
		}
		return nil
	case pattern[at] == '#' && b >= '0' && b <= '9':
		if at >= statusPrefix-3 {
			s.status = 10*s.status + int(b-'0')
		}
		return nil
	case pattern[at] != b:
		return ErrStatusLine
	}
	return nil
}

// checkNameByte checks a byte of a field name, or the colon after it.
func (s *headSyntax) checkNameByte(b byte) error {
	if b == ':' && s.nameLength > 0 {
		s.part = partValue
		if s.isInformational() && s.announcesContent() {
			return ErrInformational
		}
		return nil
	}
	if !isTokenByte(b) {
		return ErrFieldName
	}
	if s.nameLength < maxKnownName {
		s.name[s.nameLength] = b | 0x20 // letters in lower case
	}
	s.nameLength++
	return nil
}

// endLine checks what a line end ends.
func (s *headSyntax) endLine() error {
	s.sawCR = false
	switch s.part {
	case partStatus:
		switch {
		case s.length < statusPrefix:
			return ErrStatusLine
		case s.status < minStatus || s.status > maxStatus:
			return ErrStatusCode
		case s.status == http.StatusSwitchingProtocols && !s.switches:
			return ErrInformational
		}
	case partName:
		return ErrFieldName // a line without a colon
	case partLineStart:
		if s.isInformational() {
			*s = headSyntax{switches: s.switches}
			return nil
		}
		s.part = partDone
		return nil
	}
	s.part = partLineStart
	return nil
}

// isInformational reports whether another response follows the head.
func (s *headSyntax) isInformational() bool {
	return s.status < http.StatusOK && s.status != http.StatusSwitchingProtocols
}

// announcesContent reports whether the field that was named states how a body ends.
func (s *headSyntax) announcesContent() bool {
	if s.nameLength > maxKnownName {
		return false
	}
	name := string(s.name[:s.nameLength])
	return strings.EqualFold(name, "Content-Length") || strings.EqualFold(name, "Transfer-Encoding")
}

// isControl reports whether a byte may stand neither in a value nor in a reason phrase.
func isControl(b byte) bool { return b < ' ' && b != '\t' || b == 0x7f }

// isTokenByte reports whether a byte may stand in the name of a field.
func isTokenByte(b byte) bool {
	switch {
	case b >= '0' && b <= '9', b >= 'a' && b <= 'z', b >= 'A' && b <= 'Z':
		return true
	}
	return strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}
