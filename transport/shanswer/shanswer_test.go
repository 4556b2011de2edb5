package shanswer_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiahollow/transport/shanswer"
	"sequoiahollow/transport/shmalformed"
)

// Example shows a client that sends with net/http and takes only answers that HTTP allows.
func Example() {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, buffer, _ := http.NewResponseController(w).Hijack()
		defer c.Close()
		fmt.Fprint(buffer, "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok")
		buffer.Flush()
	}))
	defer s.Close()
	client := http.Client{Transport: &shanswer.Transport{}}
	_, err := client.Get(s.URL)
	e, ok := errors.AsType[*shanswer.Error](err)
	fmt.Println(ok, e)
	// Output: true read head: malformed: field line "Content-Length : 2"
}

// readAnswer reads an answer of which each read brings one byte.
func readAnswer(text string) error {
	near, far := net.Pipe()
	defer near.Close()
	go func() {
		defer far.Close()
		for i := range text {
			if _, err := io.WriteString(far, text[i:i+1]); err != nil {
				return
			}
		}
	}()
	answer, err := http.ReadResponse(bufio.NewReader(&shanswer.Conn{Conn: near}), nil)
	if err != nil {
		return err
	}
	shanswer.CheckTrailer(answer)
	_, err = io.ReadAll(answer.Body)
	return err
}

// Guards against a malformed answer that passes because it arrives in pieces.
func TestMalformedInPieces(t *testing.T) {
	for name, text := range shmalformed.Answers("X: y\r\n") {
		t.Run(name, func(t *testing.T) { assert.Assert(t, readAnswer(text) != nil) })
	}
	assert.NilError(t, readAnswer("HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 2\r\n\r\nok"))
}
