package shfront

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"sequoiahollow/coordination/shbalance"
	"sequoiahollow/coordination/shfleet"
	"sequoiahollow/transport/shorigin"
)

// observeStatements takes what the head of an answer says of the backend server, for
// the requests to come. It reports whether the answer turned the request away with a
// time for which the backend server wants no others.
func (x *exchange) observeStatements(c shbalance.Choice, r shorigin.Response) bool {
	if r.Header == nil {
		return false
	}
	h := x.handler
	leaving := h.Dialect.Leaving != nil && h.Dialect.Leaving(r.Header)
	wait := time.Duration(0)
	if r.Status == http.StatusServiceUnavailable {
		wait = retryAfter(r.Header, time.Now())
	}
	if !leaving && wait <= 0 {
		return false
	}
	i, ok := x.answerer(c, r)
	if !ok {
		return wait > 0
	}
	now := time.Now()
	if leaving && h.Balancer.ObserveLeaving(now, i) {
		x.logStatement("backend server leaves", "leaving", i, "status", r.Status)
	}
	if wait > 0 {
		if until, changed := h.Balancer.ObserveWait(now, i, wait); changed {
			x.logStatement("backend server wants no requests", "wait", i, "statedMs", wait.Milliseconds(), "until", until)
		}
	}
	return wait > 0
}

// answerer returns the instance that made an answer. Each request names the backend
// server that it is for, and any other one answers StatusReplaced. Such an answer, and
// one that names its maker, counts for the backend server that it names, if that is
// known to be at the address.
func (x *exchange) answerer(c shbalance.Choice, r shorigin.Response) (shfleet.Instance, bool) {
	id := r.Header.Get(x.handler.Dialect.Identity)
	if r.Status != StatusReplaced && (id == "" || id == string(c.Backend.ID)) {
		return c.Backend.Instance, true
	}
	for _, b := range x.handler.View().Backends {
		if id != "" && string(b.ID) == id && b.ID != c.Backend.ID && b.Address == c.Backend.Address {
			return b.Instance, true
		}
	}
	return shfleet.Instance{}, false
}

func (x *exchange) logStatement(message, statement string, i shfleet.Instance, attrs ...any) {
	x.handler.Logger.Info(message, append([]any{"id", i.ID, "born", i.Born, "service", x.service, "by", x.id}, attrs...)...)
	x.handler.Metrics.GetOrCreateCounter(fmt.Sprintf(`sequoiahollow_backend_statements_total{statement=%q}`, statement)).Inc()
}

// retryAfter returns the longest time in the Retry-After fields of an answer, which
// are decimal numbers of seconds or dates, and zero if there is none. Fields of
// another form and negative times state nothing. A date is compared with that of the
// answer, since the clocks of VMs differ.
func retryAfter(h http.Header, now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, value := range h["Retry-After"] {
		value = strings.TrimSpace(value)
		if value != "" && strings.Trim(value, "0123456789.") == "" {
			// A number that is out of range is infinite.
			seconds, err := strconv.ParseFloat(value, 64)
			if err == nil || math.IsInf(seconds, 1) {
				longest = max(longest, time.Duration(min(seconds, maxRetryAfterSeconds)*float64(time.Second)))
			}
			continue
		}
		at, err := http.ParseTime(value)
		if err != nil {
			continue
		}
		if date, err := http.ParseTime(h.Get("Date")); err == nil {
			now = date
		}
		longest = max(longest, min(at.Sub(now), maxRetryAfterSeconds*time.Second))
	}
	return longest
}
