package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// call makes one HTTP call on a new connection and gives up after a second, as callers
// of the control VMs do.
func call(ctx context.Context, method, url string, body []byte) (status int, answer []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, callerWait)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if len(body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}

// order sends an order of the operator to one control VM after another until it has a
// clear answer. The first target is given; the others follow in their order.
func (f *fleet) order(ctx context.Context, first int, method, path string, body []byte) error {
	backoff := 50 * time.Millisecond
	for i := first; ; i++ {
		m := f.controls[i%len(f.controls)]
		address := m.address(controlPort)
		if m.operatorLink != nil {
			address = m.operatorLink.address
		}
		status, _, err := call(ctx, method, "http://"+address+path, body)
		f.record.say("operator: %s %s at %s: status %d, error %v", method, path, m.name, status, err)
		switch {
		case err == nil && status == http.StatusOK:
			return nil
		case err == nil && status >= 400 && status < 500 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests:
			return fmt.Errorf("%s %s: status %d", method, path, status)
		}
		if err := pause(ctx, backoff); err != nil {
			return errors.Join(fmt.Errorf("%s %s is not acknowledged", method, path), err)
		}
		backoff = min(2*backoff, time.Second)
	}
}

// route is a rule of the desired state.
type route struct {
	name, kind, prefix, service string
	sloS, timeoutS              float64
	attempts                    int
	sticky                      bool
	homes                       []string
}

// hostName is the host of all routes.
const hostName = "hulo84.example"

// coldPerS is the rate, in requests per second, that a cold backend server tolerates: that
// of the example in PROTOCOL.md.
const coldPerS = 16.0

// desiredState returns the body of PUT /config.
func desiredState(version, base string, services []string, routes []route) []byte {
	rules := []any{}
	for _, r := range routes {
		homes := r.homes
		if homes == nil {
			homes = []string{}
		}
		rules = append(rules, map[string]any{
			"name": r.name, "kind": r.kind, "sloS": r.sloS, "priority": 1, "sticky": r.sticky,
			"match":  map[string]any{"pathPrefix": r.prefix},
			"action": map[string]any{"service": r.service, "timeoutS": r.timeoutS, "attempts": r.attempts, "allowedRegions": homes},
		})
	}
	clusters := []any{}
	for _, s := range services {
		clusters = append(clusters, map[string]any{
			"name": s, "healthPath": "/health", "maxConns": 390, "protocol": "h1", "tls": false, "coldS": 3.0, "coldPerS": coldPerS,
		})
	}
	text, err := json.Marshal(map[string]any{
		"version": version, "baseVersion": base,
		"limits":    map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
		"listeners": []any{map[string]any{"host": hostName, "rules": rules}},
		"clusters":  clusters,
	})
	if err != nil {
		panic(err)
	}
	return text
}
