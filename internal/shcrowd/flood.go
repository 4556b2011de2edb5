package shcrowd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Flood is an answer that fills the memory of who reads it: Begin, and then Piece over and
// over or, without a Piece, silence.
type Flood struct {
	Begin, Piece string
	// Burst, unless zero, is how many bytes are sent at full rate. What the peer does not
	// read fills buffers of the operating system, whose bound all tests share: beyond it
	// connections of other tests lose data.
	Burst int
}

// Floods returns floods by name. Fields is what an answer to the request has, as whole field
// lines; in it {id} stands for the request ID.
func Floods(fields string) map[string]Flood {
	const (
		// longHead is more than the head of an answer may have, and allowedHead less.
		longHead    = 200 << 10
		allowedHead = 60 << 10
		longBody    = 1 << 20
	)
	head := "HTTP/1.1 200 OK\r\n" + fields
	chunks := head + "Transfer-Encoding: chunked\r\n\r\n"
	interim := "HTTP/1.1 103 Early Hints\r\n"
	short := ShortFields(longHead)
	return map[string]Flood{
		"no answer":                  {Piece: "garbage"},
		"status line":                {Begin: "HTTP/1.1 200 ", Piece: "x"},
		"field line":                 {Begin: head + "A: ", Piece: "x"},
		"equal fields":               {Begin: head, Piece: "A: b\r\n"},
		"interim answers":            {Piece: interim + "A: b\r\n\r\n"},
		"answers to another one":     {Piece: "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"},
		"body":                       {Begin: head + "\r\n", Piece: "x"},
		"chunks":                     {Begin: chunks, Piece: "1\r\nx\r\n"},
		"size of a chunk":            {Begin: chunks, Piece: "1"},
		"extension of a chunk":       {Begin: chunks + "1;", Piece: "x"},
		"trailer":                    {Begin: chunks + "0\r\n", Piece: "A: b\r\n"},
		"fields, then silence":       {Begin: head + short},
		"short fields, then silence": {Begin: head + ShortFields(allowedHead)},
		"field, then silence":        {Begin: head + "A: " + strings.Repeat("x", longHead)},
		"interim, then silence":      {Begin: interim + short + "\r\n" + head + short},
		"trailer, then silence":      {Begin: chunks + "0\r\n" + short},
		"body, then silence":         {Begin: head + "\r\n" + strings.Repeat("x", longBody)},

		"allowed field, then silence":  {Begin: head + "A: " + strings.Repeat("x", allowedHead)},
		"allowed fields, then silence": {Begin: head + strings.Repeat("A: "+strings.Repeat("b", allowedHead/500)+"\r\n", 490)},
	}
}

// ShortFields returns field lines of about size bytes in all, as short as possible.
func ShortFields(size int) string {
	var b strings.Builder
	for i := 0; b.Len() < size; i++ {
		fmt.Fprintf(&b, "x%x:\r\n", i)
	}
	return b.String()
}

// StartFlood starts a backend server that answers each request with f, and returns its
// address. The header named idHeader of a request has its ID. Each answer goes on until the
// peer closes.
func StartFlood(t testing.TB, f Flood, idHeader string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	if f.Piece != "" {
		f.Piece = strings.Repeat(f.Piece, 1+(16<<10)/len(f.Piece))
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go f.serve(c, idHeader)
		}
	}()
	return l.Addr().String()
}

// slowPause is the time between pieces behind a Burst.
const slowPause = 100 * time.Millisecond

func (f Flood) serve(c net.Conn, idHeader string) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	sent := len(f.Begin)
	_, err = io.WriteString(c, strings.ReplaceAll(f.Begin, "{id}", r.Header.Get(idHeader)))
	for err == nil && f.Piece != "" {
		if sent += len(f.Piece); f.Burst > 0 && sent > f.Burst {
			time.Sleep(slowPause)
		}
		_, err = io.WriteString(c, f.Piece)
	}
	_, _ = io.Copy(io.Discard, c)
}
