package shoperator

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"sequoiahollow/protocol/shwire"
	"sequoiahollow/state/shconfig"
	"sequoiahollow/state/shmodel"
)

// Kind is the kind of an Error and the reason of a Problem.
type Kind string

// Kinds of errors. Each has one status code.
const (
	// KindMalformed (400): the body or a parameter cannot be read.
	KindMalformed Kind = "malformed"
	// KindUnauthorized (401): the token is missing or wrong.
	KindUnauthorized Kind = "unauthorized"
	// KindNotFound (404): the path, VM or region does not exist.
	KindNotFound Kind = "not-found"
	// KindMethod (405): the path does not have the method. The header Allow lists
	// those that it has.
	KindMethod Kind = "method"
	// KindConflict (409): the base revision of the edit is not the current one.
	// Current and Changes are set.
	KindConflict Kind = "conflict"
	// KindTooLarge (413): the body is over its limit.
	KindTooLarge Kind = "too-large"
	// KindMediaType (415): the body is not application/json.
	KindMediaType Kind = "media-type"
	// KindInvalid (422): the document has mistakes, listed in Problems, a parameter
	// of an export is wrong, or the replicated state rejected the change.
	KindInvalid Kind = "invalid"
	// KindHeaders (431): there are too many header fields.
	KindHeaders Kind = "headers"
	// KindInternal (500): a fault of the process. A change may have been made.
	KindInternal Kind = "internal"
	// KindUnavailable (503): there is no quorum, or too many requests are in
	// progress. No change was made.
	KindUnavailable Kind = "unavailable"
	// KindUnknown (504): the result is not known, so a proposed change may have
	// been made. An edit can safely be sent again with the same edit ID.
	KindUnknown Kind = "unknown"
)

var statuses = map[Kind]int{
	KindMalformed:    http.StatusBadRequest,
	KindUnauthorized: http.StatusUnauthorized,
	KindNotFound:     http.StatusNotFound,
	KindMethod:       http.StatusMethodNotAllowed,
	KindConflict:     http.StatusConflict,
	KindTooLarge:     http.StatusRequestEntityTooLarge,
	KindMediaType:    http.StatusUnsupportedMediaType,
	KindInvalid:      http.StatusUnprocessableEntity,
	KindHeaders:      http.StatusRequestHeaderFieldsTooLarge,
	KindInternal:     http.StatusInternalServerError,
	KindUnavailable:  http.StatusServiceUnavailable,
	KindUnknown:      http.StatusGatewayTimeout,
}

// Error is the error type of the package. Op is empty in errors of handlers.
// Problem is set by a Client if the server sent one, and by handlers whose
// problem has more than a kind and a text.
type Error struct {
	Op      string
	Kind    Kind
	Err     error
	Problem *Problem
}

// Error implements error.
func (e *Error) Error() string {
	text := string(e.Kind) + ": " + e.Err.Error()
	if e.Op == "" {
		return text
	}
	return e.Op + ": " + text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Problem is the body of every answer that is not 200. Reason is a Kind.
type Problem struct {
	shwire.Problem
	Problems shconfig.Problems `json:"problems,omitempty"`
	Current  *Current          `json:"current,omitempty"`
	Changes  []shconfig.Change `json:"changes,omitempty"`
}

// retryAfterSeconds is the Retry-After of KindUnavailable. A leader is elected
// in about one second.
const retryAfterSeconds = "1"

// problemOf returns the problem for an error. A change that failed with an error
// other than *Error may have been made, so its outcome is unknown.
func problemOf(err error, change bool) Problem {
	failure, ok := errors.AsType[*Error](err)
	switch {
	case ok:
	case change:
		failure = &Error{Kind: KindUnknown, Err: err}
	case errors.Is(err, context.DeadlineExceeded):
		failure = &Error{Kind: KindUnavailable, Err: err}
	default:
		failure = &Error{Kind: KindInternal, Err: err}
	}
	p := newProblem(failure.Kind, failure.Err.Error())
	if failure.Problem != nil {
		p = *failure.Problem
	}
	if change {
		p.Outcome = shmodel.NotRun
		if failure.Kind == KindUnknown || failure.Kind == KindInternal {
			p.Outcome = shmodel.Unknown
		}
	}
	return p
}

func newProblem(kind Kind, detail string) Problem {
	status, ok := statuses[kind]
	if !ok {
		kind, status = KindInternal, http.StatusInternalServerError
	}
	return Problem{Problem: shwire.Problem{
		Type:   "about:blank",
		Title:  http.StatusText(status),
		Status: status,
		Detail: detail,
		Reason: string(kind),
	}}
}

// newError returns an Error without a problem; problemOf makes the problem.
func newError(kind Kind, err error) *Error {
	return &Error{Kind: kind, Err: err}
}

func writeProblem(w http.ResponseWriter, p Problem) {
	h := w.Header()
	switch Kind(p.Reason) {
	case KindUnauthorized:
		h.Set("WWW-Authenticate", `Bearer realm="sequoiahollow"`)
	case KindUnavailable:
		h.Set("Retry-After", retryAfterSeconds)
	}
	writeJSON(w, shwire.ContentTypeProblem, p.Status, p)
}

func writeJSON(w http.ResponseWriter, mediaType string, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", mediaType)
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	// A failed write means that the client is gone.
	_, _ = w.Write(append(data, '\n'))
}
