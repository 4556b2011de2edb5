package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// answer is what a caller sees of one attempt. The status is 0 if the connection
// ended without a complete answer.
type answer struct {
	status     int
	body       string
	signature  string
	retryAfter time.Duration
}

var lastRequest atomic.Int64

// newRequestID returns an ID that no other request has.
func newRequestID() string { return fmt.Sprintf("q%06d", lastRequest.Add(1)) }

// attempt sends one attempt of a request on a new connection.
func (x *run) attempt(d *daemon, method, host, path, key string, body io.Reader, length int64, limit time.Duration) answer {
	id := newRequestID()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+d.address(frontPort)+path, body)
	must(err)
	r.Host, r.ContentLength = host, length
	r.Header.Set("X-Request-Id", id)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(limit.Milliseconds(), 10))
	if key != "" {
		r.Header.Set("Cookie", "X-Affinity-Key="+key)
	}
	c := http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	x.say("client sends %s %s %s (%d bytes) to %s", id, method, path, length, d.name)
	response, err := c.Do(r)
	if err != nil {
		x.say("client: %s ends without an answer: %v", id, err)
		return answer{}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		x.say("client: the answer to %s ends early: %v", id, err)
		return answer{}
	}
	a := answer{status: response.StatusCode, body: string(content), signature: response.Header.Get("X-Server-Signature")}
	if after, err := strconv.ParseFloat(strings.TrimSpace(response.Header.Get("Retry-After")), 64); err == nil {
		a.retryAfter = time.Duration(after * float64(time.Second))
	}
	x.say("client: %s gets %d (signature %t, %d bytes)", id, a.status, a.signature != "", len(content))
	return a
}

// get sends a lookup as the platform's clients do: after a failure it is sent once
// more within its time limit, after Retry-After if that is stated. It reports
// whether the lookup was served.
func (x *run) get(entries []*daemon, n int, host, path, key string, limit time.Duration) bool {
	end := time.Now().Add(limit)
	for try := range 2 {
		left := time.Until(end)
		if left <= 0 {
			return false
		}
		a := x.attempt(entries[(n+try)%len(entries)], http.MethodGet, host, path, key, nil, 0, left)
		if a.status == http.StatusOK && a.signature != "" {
			return true
		}
		time.Sleep(min(a.retryAfter, time.Until(end)/3))
	}
	return false
}
