package shanswer_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
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

// readHeld reads the head of an answer with a reservation of at most bound bytes, and
// returns the most that was reserved.
func readHeld(text string, bound int64) (int64, error) {
	near, far := net.Pipe()
	defer near.Close()
	go func() {
		defer far.Close()
		_, _ = io.WriteString(far, text)
	}()
	reserved := int64(0)
	c := &shanswer.Conn{Conn: near}
	if err := c.Expect(nil, func(n int64) error {
		if reserved+n > bound {
			return errNoMemory
		}
		reserved += n
		return nil
	}); err != nil {
		return reserved, err
	}
	_, err := http.ReadResponse(bufio.NewReader(c), nil)
	return reserved, err
}

var errNoMemory = errors.New("no memory")

// Guards against a head that takes memory without a bound, or memory that was not
// reserved.
func TestHeadBounds(t *testing.T) {
	const (
		plenty = 1 << 20
		begin  = "HTTP/1.1 200 OK\r\n"
		end    = "Content-Length: 0\r\n\r\n"
		// common is a head that needs no reservation.
		common = 3 << 10
	)
	field := func(size int) string { return "A: " + strings.Repeat("x", size) + "\r\n" }
	for name, c := range map[string]struct {
		text   string
		bound  int64
		taken  int64 // at least
		refuse string
	}{
		"common":              {text: begin + field(common) + end},
		"long":                {text: begin + field(60<<10) + end, bound: plenty, taken: 60 << 10},
		"long, no memory":     {text: begin + field(60<<10) + end, refuse: errNoMemory.Error()},
		"too long":            {text: begin + field(64<<10) + end, bound: plenty, refuse: "head of more than 65536 bytes"},
		"too long in fields":  {text: begin + strings.Repeat(field(1<<10), 64) + end, bound: plenty, refuse: "head of more than 65536 bytes"},
		"fields":              {text: begin + strings.Repeat("A: b\r\n", 499) + end, bound: plenty, taken: 100 << 10},
		"fields, no memory":   {text: begin + strings.Repeat("A: b\r\n", 499) + end, refuse: errNoMemory.Error()},
		"too many fields":     {text: begin + strings.Repeat("A: b\r\n", 500) + end, bound: plenty, refuse: "head of more than 500 fields"},
		"interim, no memory":  {text: "HTTP/1.1 103 Early Hints\r\n" + field(60<<10) + "\r\n" + begin + end, refuse: errNoMemory.Error()},
		"line without an end": {text: begin + "A: " + strings.Repeat("x", 60<<10), refuse: errNoMemory.Error()},
	} {
		t.Run(name, func(t *testing.T) {
			taken, err := readHeld(c.text, c.bound)
			if c.refuse != "" {
				assert.ErrorContains(t, err, c.refuse)
				return
			}
			assert.NilError(t, err)
			assert.Assert(t, taken >= c.taken, "%d bytes", taken)
		})
	}
}

// Guards against a long answer to a request of a Transport whose memory is not reserved.
func TestTransportReserves(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("A", strings.Repeat("x", 60<<10))
	}))
	defer s.Close()
	client := http.Client{Transport: &shanswer.Transport{}}
	for _, want := range []error{errNoMemory, nil} {
		ctx := shanswer.WithReserve(context.Background(), func(int64) error { return want })
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, s.URL, nil)
		assert.NilError(t, err)
		response, err := client.Do(r)
		assert.ErrorIs(t, err, want)
		if err == nil {
			assert.NilError(t, response.Body.Close())
		}
	}
}
