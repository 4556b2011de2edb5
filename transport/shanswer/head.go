package shanswer

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
)

const (
	// maxHeadBytes bounds the head of an answer, as callers' heads are bounded.
	maxHeadBytes = 64 << 10
	// maxFields bounds the fields of a head. Many short fields take far more memory than
	// their text: 64 KiB of them took 3 MB.
	maxFields = 500
	// headFactor is the memory that a head takes for each byte: the byte itself and the
	// copies of a line that grows. fieldBytes is what each line takes beside, and freeHead
	// the part of a head that is not reserved: nearly all heads fit it.
	headFactor = 4
	fieldBytes = 256
	freeHead   = 16 << 10
)

// headCheck checks the heads of answers line by line while they arrive. The zero value
// waits for a head. It is stricter than net/http, which folds lines, takes a blank at the
// end of a field name, and ignores fields that contradict the framing in use.
type headCheck struct {
	// passed says that the head is complete. What follows is not checked.
	passed bool
	err    error
	line   []byte // begin of a line that has not arrived whole
	size   int    // bytes of the present head
	// reserve takes memory, nil without a bound. reserved is what it took for the
	// present head.
	reserve  func(n int64) error
	reserved int64

	// What the lines of the present head have said.
	begun     bool
	fields    int
	version   byte // minor version, a digit
	status    int
	hasLength bool
	length    string // of the last Content-Length
	encoding  bool   // there is a Transfer-Encoding
}

// add checks the next bytes.
func (h *headCheck) add(p []byte) error {
	for len(p) > 0 && !h.passed && h.err == nil {
		end := bytes.IndexByte(p, '\n') + 1
		whole := end > 0
		if !whole {
			end = len(p)
		}
		line := p[:end]
		p = p[end:]
		if h.err = h.hold(len(line)); h.err != nil {
			break
		}
		if !whole {
			h.line = append(h.line, line...)
			break
		}
		if len(h.line) > 0 {
			h.line = append(h.line, line...)
			line = h.line
		}
		h.err = h.addLine(line)
		h.line = h.line[:0]
	}
	return h.err
}

// hold reserves the memory of n more bytes of the present head.
func (h *headCheck) hold(n int) error {
	if h.size += n; h.size > maxHeadBytes {
		return newError(fmt.Sprintf("head of more than %d bytes", maxHeadBytes))
	}
	more := int64(h.size)*headFactor + int64(h.fields)*fieldBytes - freeHead - h.reserved
	if h.reserve == nil || more <= 0 {
		return nil
	}
	h.reserved += more
	return h.reserve(more)
}

func (h *headCheck) addLine(line []byte) error {
	text, ok := bytes.CutSuffix(line, []byte("\r\n"))
	switch {
	case !ok:
		return malformed("line without CRLF", line)
	case !h.begun:
		h.begun = true
		return h.addStatus(text)
	case len(text) > 0:
		return h.addField(text)
	}
	if err := h.checkFraming(); err != nil {
		return err
	}
	// The head of another answer follows that of an interim one.
	*h = headCheck{passed: !isInterim(h.status), reserve: h.reserve}
	return nil
}

// isInterim reports whether a status precedes an answer.
func isInterim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK && status != http.StatusSwitchingProtocols
}

// Lengths of the parts of a status line, "HTTP/1.1 200 OK".
const (
	versionPrefix = "HTTP/1."
	statusAt      = len("HTTP/1.1 ")
	reasonAt      = len("HTTP/1.1 200 ")
)

// addStatus checks a status line (RFC 9112, section 4).
func (h *headCheck) addStatus(line []byte) error {
	if len(line) < reasonAt || !bytes.HasPrefix(line, []byte(versionPrefix)) || line[statusAt-1] != ' ' || line[reasonAt-1] != ' ' {
		return malformed("status line", line)
	}
	h.version = line[len(versionPrefix)]
	for _, digit := range line[statusAt : reasonAt-1] {
		h.status = 10*h.status + int(digit-'0')
		if !isDigit(digit) {
			return malformed("status line", line)
		}
	}
	if !isDigit(h.version) || !isText(line[reasonAt:]) {
		return malformed("status line", line)
	}
	return nil
}

// addField checks a field line (RFC 9112, section 5). A line that continues the one before
// could hide a field from another reader.
func (h *headCheck) addField(line []byte) error {
	if h.fields++; h.fields > maxFields {
		return newError(fmt.Sprintf("head of more than %d fields", maxFields))
	}
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || !isToken(name) || !isText(value) {
		return malformed("field line", line)
	}
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		h.hasLength, h.length = true, string(bytes.Trim(value, " \t"))
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		h.encoding = true
	}
	return nil
}

// checkFraming checks that the fields don't contradict each other on where the answer ends
// (RFC 9112, section 6). The values themselves are read by net/http. A 204 that states a
// length of 0 is common, and true.
func (h *headCheck) checkFraming() error {
	noBody := isInterim(h.status) || h.status == http.StatusNoContent
	switch {
	case h.encoding && h.hasLength:
		return newError("Transfer-Encoding beside Content-Length")
	case h.encoding && h.version == '0':
		return newError("Transfer-Encoding in HTTP/1.0")
	case h.encoding && noBody:
		return newError(fmt.Sprintf("Transfer-Encoding with status %d", h.status))
	case noBody && strings.Trim(h.length, "0") != "":
		return newError(fmt.Sprintf("Content-Length with status %d", h.status))
	}
	return nil
}

// CheckTrailer makes the body of an answer end with an error of type *Error, in place of
// io.EOF, if the name of a trailer field is none.
func CheckTrailer(answer *http.Response) {
	if len(answer.TransferEncoding) > 0 {
		answer.Body = &trailerBody{ReadCloser: answer.Body, answer: answer}
	}
}

// trailerBody is the body of an answer in chunks, which may have a trailer.
type trailerBody struct {
	io.ReadCloser
	answer *http.Response
}

// Read implements io.Reader.
func (b *trailerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		for name := range b.answer.Trailer {
			if !isToken([]byte(name)) {
				return n, malformed("trailer field", []byte(name))
			}
		}
	}
	return n, err
}

// isToken reports whether a text is a token (RFC 9110, section 5.6.2).
func isToken(text []byte) bool {
	for _, c := range text {
		letter := 'a' <= c|0x20 && c|0x20 <= 'z'
		if !letter && !isDigit(c) && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return len(text) > 0
}

// isText reports whether a text has no control characters but tabs, as field values and
// reason phrases.
func isText(text []byte) bool {
	for _, c := range text {
		if c != '\t' && (c < ' ' || c == 0x7f) {
			return false
		}
	}
	return true
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// maxQuoted bounds how much of a line an error quotes, in bytes.
const maxQuoted = 80

func malformed(what string, line []byte) error {
	return newError(fmt.Sprintf("%s %q", what, line[:min(len(line), maxQuoted)]))
}

func newError(reason string) error {
	return &Error{Op: "read head", Kind: KindMalformed, Err: errors.New(reason)}
}
