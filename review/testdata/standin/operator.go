package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// route is a rule of the desired state.
type route struct {
	name, host, prefix, kind, service string
	slo, timeout                      float64
	attempts                          int
	// plain routes have no sticky objects.
	plain bool
}

// desiredState returns the body of PUT /config.
func desiredState(version, base int, services []string, routes []route) []byte {
	var listeners []any
	for _, r := range routes {
		listeners = append(listeners, map[string]any{"host": r.host, "rules": []any{map[string]any{
			"name": r.name, "kind": r.kind, "sloS": r.slo, "priority": 1, "sticky": !r.plain,
			"match":  map[string]any{"pathPrefix": r.prefix},
			"action": map[string]any{"service": r.service, "timeoutS": r.timeout, "attempts": r.attempts, "allowedRegions": []string{}},
		}}})
	}
	var clusters []any
	for _, s := range services {
		clusters = append(clusters, map[string]any{
			"name": s, "healthPath": "/health", "maxConns": 390, "protocol": "h1", "tls": false, "coldS": 3.0, "coldPerS": 16.0,
		})
	}
	text, err := json.Marshal(map[string]any{
		"version": fmt.Sprintf("r%d", version), "baseVersion": fmt.Sprintf("r%d", base),
		"limits":    map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": maxBodyBytes, "headerTimeoutS": 3, "idleTimeoutS": 15},
		"listeners": listeners, "clusters": clusters,
	})
	must(err)
	return text
}

// maxBodyBytes is the limit in the example of PROTOCOL.md.
const maxBodyBytes = 67108864

// once sends an order to one daemon. It gives up after operatorPatience, or more
// for a large body, and closes the connection. The status is 0 without an answer.
func once(d *daemon, method, path string, body []byte) (status int, text string) {
	patience := operatorPatience + time.Duration(len(body)/1000)*time.Millisecond
	c := http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequest(method, "http://"+d.address(controlPort)+path, bytes.NewReader(body))
	must(err)
	if len(body) > 0 {
		r.Header.Set("Content-Type", "application/json")
	}
	answer, err := c.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = answer.Body.Close() }()
	content, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, err.Error()
	}
	return answer.StatusCode, string(content)
}

// order sends an order to the control daemons in turn, beginning with the one at
// index first, until one accepts it or the time is over. It returns whether one
// did.
func (f *fleet) order(first int, limit time.Duration, method, path string, body []byte) bool {
	end := time.Now().Add(limit)
	pause := 50 * time.Millisecond
	for n := first; ; n++ {
		d := f.controls[n%len(f.controls)]
		status, text := once(d, method, path, body)
		if status == 0 {
			f.run.say("operator: %s %s (%d bytes) at %s: no answer (%s)", method, path, len(body), d.name, text)
		} else {
			f.run.say("operator: %s %s (%d bytes) at %s: %d", method, path, len(body), d.name, status)
		}
		switch {
		case status == http.StatusOK:
			return true
		case status == 400 || status == 409 || status == 412 || status == 413 || status == 422:
			return false
		case time.Now().After(end):
			return false
		}
		time.Sleep(pause)
		pause = min(2*pause, time.Second)
	}
}
