package shentry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"sequoiahollow/protocol/shwire"
	"sequoiahollow/state/shmodel"
)

const (
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 60 * time.Second
	keepAliveTimeout  = 60 * time.Second
	problemTypePrefix = "urn:sequoiahollow:problem:"
)

// NewServer returns an HTTP server with timeouts and a limit on header sizes.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout,
		IdleTimeout: keepAliveTimeout, MaxHeaderBytes: maxHeader,
	}
}

// WriteProblem answers with application/problem+json. A positive retryAfter is
// sent as whole seconds, rounded up.
func WriteProblem(w http.ResponseWriter, p shwire.Problem, retryAfter time.Duration) {
	if p.Type == "" {
		p.Type = problemTypePrefix + strings.ReplaceAll(p.Reason, " ", "-")
	}
	if p.Title == "" {
		p.Title = http.StatusText(p.Status)
	}
	h := w.Header()
	h.Set("Content-Type", shwire.ContentTypeProblem)
	if p.RequestID != 0 {
		h.Set(shwire.HeaderRequestID, p.RequestID.String())
	}
	if p.Outcome != "" {
		h.Set(shwire.HeaderOutcome, string(p.Outcome))
	}
	if retryAfter > 0 {
		seconds := int64((retryAfter + time.Second - 1) / time.Second)
		h.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	body, err := json.Marshal(p)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(p.Status)
	_, _ = w.Write(body)
}

// WriteJSON answers with a JSON body.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// droppedHeaders are not passed on: the hop-by-hop headers (RFC 9110, section
// 7.6.1) and those that the system sets itself.
var droppedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
	shwire.HeaderRequestID, shwire.HeaderAttempt, shwire.HeaderDeadline, shwire.HeaderOutcome,
	shwire.HeaderIncarnation, shwire.HeaderReplayed,
}

// endToEndHeaders returns a copy of h without droppedHeaders and the headers that
// Connection names.
func endToEndHeaders(h http.Header) http.Header {
	c := h.Clone()
	for _, v := range h.Values("Connection") {
		for name := range strings.SplitSeq(v, ",") {
			c.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range droppedHeaders {
		c.Del(name)
	}
	return c
}

// copyAnswer sends an answer and returns the number of body bytes sent. After
// an error the caller must abort the connection, so that its peer never takes a
// truncated answer for a complete one.
func copyAnswer(w http.ResponseWriter, in IncomingAnswer, id shmodel.RequestID, outcome shmodel.Outcome, pace func(int) error) (int64, error) {
	if !shmodel.IsFinalStatus(in.Status) {
		return 0, fmt.Errorf("status %d is no answer", in.Status)
	}
	h := w.Header()
	for name, values := range endToEndHeaders(in.Header) {
		h[name] = values
	}
	h.Set(shwire.HeaderRequestID, id.String())
	h.Set(shwire.HeaderOutcome, string(outcome))
	if in.Length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(in.Length, 10))
	}
	w.WriteHeader(in.Status)
	sent, err := writePaced(w, in.Body, pace)
	if err != nil || in.Rest == nil {
		return sent, err
	}
	more, err := copyPaced(w, in.Rest, pace)
	return sent + more, err
}

func decodeCancel(body []byte) (shwire.CancelStatus, error) {
	var a shwire.CancelAnswer
	if err := json.Unmarshal(body, &a); err != nil {
		return "", fmt.Errorf("cancellation answer: %w", err)
	}
	switch a.Status {
	case shwire.CancelNotRun, shwire.CancelRunning, shwire.CancelDone, shwire.CancelUnknown:
		return a.Status, nil
	}
	return "", fmt.Errorf("cancellation answer: unknown status %q", a.Status)
}
