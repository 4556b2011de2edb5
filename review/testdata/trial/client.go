package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"time"
)

// request is one attempt of a client.
type request struct {
	id, method, path, body string
	key                    string // of the object, may be empty
	wait                   time.Duration
}

var requestNumber atomic.Int64

func newID() string { return fmt.Sprintf("%08x%08x", requestNumber.Add(1), rand.Uint32()) }

// text returns the request as it is sent.
func (q request) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", q.method, q.path, hostName, q.id, q.wait.Milliseconds())
	if q.key != "" {
		fmt.Fprintf(&b, "Cookie: X-Affinity-Key=%s\r\n", q.key)
	}
	if q.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n" + q.body)
	return b.String()
}

// resolve asks the directory of an entry VM where to connect.
func resolve(ctx context.Context, m *machine, zone string) ([]string, error) {
	query := url.Values{"name": {hostName}, "region": {regionOf[zone]}, "zone": {zone}}
	status, text, err := call(ctx, http.MethodGet, "http://"+m.address(directoryPort)+"/resolve?"+query.Encode(), nil)
	if err != nil {
		return nil, err
	}
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	if err := json.Unmarshal(text, &answer); err != nil || status != http.StatusOK || len(answer.Addresses) == 0 {
		return nil, fmt.Errorf("directory: status %d, error %w", status, errors.Join(err, errors.New("no addresses")))
	}
	return answer.Addresses, nil
}

// send sends a request on a new connection and reads the whole answer. The status is
// zero if the connection ended without one.
func (q request) send(ctx context.Context, address string) (status int, answer *http.Response, body []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, q.wait)
	defer cancel()
	d := net.Dialer{Timeout: callerWait}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return 0, nil, nil, err
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	defer stop()
	if _, err := io.WriteString(c, q.text()); err != nil {
		return 0, nil, nil, err
	}
	answer, err = http.ReadResponse(bufio.NewReader(c), &http.Request{Method: q.method})
	if err != nil {
		return 0, nil, nil, err
	}
	body, err = io.ReadAll(answer.Body)
	return answer.StatusCode, answer, body, err
}
