package shentry

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"sequoiahollow/coordination/shrequest"
	"sequoiahollow/protocol/shwire"
	"sequoiahollow/state/shconfig"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/state/shrecord"
	"sequoiahollow/transport/internal/shlistener"
	"sequoiahollow/transport/shaccount"
	"sequoiahollow/transport/shview"
)

const (
	defaultTimeout = 5 * time.Second
	maxKeyBytes    = 255
	maxPathBytes   = 4 << 10
	retryAfter     = time.Second
	// bodyFactor is the memory that a request takes for each byte of its body: the body
	// and the last copy of the buffer that grew to it.
	bodyFactor = 2
)

// CallerHandler serves callers. It doesn't use http.ServeMux, which redirects
// requests with an unclean path without a request ID, outcome or record.
func (e *Entry) CallerHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		getOrHead := r.Method == http.MethodGet || r.Method == http.MethodHead
		if getOrHead && r.URL.Path == shwire.PathEntries {
			e.handleEntries(w, r)
			return
		}
		e.handleRequest(w, r)
	})
}

// ServerHandler serves backend servers and other entry VMs.
func (e *Entry) ServerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+shwire.PathAnnouncements, e.handleAnnouncement)
	mux.HandleFunc("POST "+shwire.PathForward, e.handleForward)
	return mux
}

// rejection says why a request is refused before it is routed.
type rejection struct {
	status int
	reason string
	detail string
}

// handleRequest serves a request of a caller, from admission to the answer.
func (e *Entry) handleRequest(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	v := e.View()
	if problem := e.notReadyReason(v); problem != "" {
		// The refusal isn't recorded: it has no request ID yet, and there may be
		// no account.
		WriteProblem(w, problemOf(http.StatusServiceUnavailable, "not ready", problem, 0, shmodel.NotRun), retryAfter)
		return
	}
	id, err := e.IDs.Next()
	if err != nil {
		WriteProblem(w, problemOf(http.StatusServiceUnavailable, "not ready", "no request ID is left", 0, shmodel.NotRun), retryAfter)
		return
	}
	q := shrequest.Request{ID: id, Method: r.Method, Path: r.URL.Path, Caller: callerOf(r), Key: r.Header.Get(shwire.HeaderKey)}
	body, rejected := e.admit(v, w, r, &q)
	if rejected != nil {
		e.reject(w, q, start, *rejected)
		return
	}
	e.countRequest(v.Config.Config.Limits)
	c := &receiverDriver{
		entry: e, request: q, writer: w, ctx: r.Context(), start: start, mailbox: newMailbox(),
		payload:       payload{method: r.Method, uri: r.URL.RequestURI(), header: endToEndHeaders(r.Header), body: body, memory: shlistener.RequestOf(r.Context())},
		postToAttempt: map[uint32]func(shrequest.Event){}, streams: map[uint32]*pendingStream{},
	}
	c.machine = shrequest.NewReceiver(shrequest.ReceiverOptions{
		Request: q, VM: e.VM, Region: e.Place.Region, ClockError: clockError(v),
	})
	c.run(c.machine.Apply(start, shrequest.Admitted{Suspect: e.CrashNotices.Status(start, v, q.Digest), HedgeAfter: e.hedgeAfter(v, q)}))
	if c.status < http.StatusInternalServerError {
		e.latencies.observe(q.Service, time.Since(start))
	}
}

// notReadyReason returns why no request can be accepted, or "".
func (e *Entry) notReadyReason(v *shview.View) string {
	if !v.Ready() {
		return "no configuration was confirmed by a quorum yet"
	}
	if err := e.Account.Ready(); err != nil {
		return "the account takes no records: " + err.Error()
	}
	return ""
}

// admit validates the request, fills in q and returns the body.
func (e *Entry) admit(v *shview.View, w http.ResponseWriter, r *http.Request, q *shrequest.Request) ([]byte, *rejection) {
	service := v.Config.Find(r.Header.Get(shwire.HeaderService), r.Host)
	if service == nil {
		return nil, &rejection{http.StatusNotFound, "unknown service", "name the service in " + shwire.HeaderService + " or by host"}
	}
	q.Service = service.Name
	q.Operation = service.Kind(r.Method, r.URL.EscapedPath())
	if len(q.Path) > maxPathBytes {
		return nil, &rejection{http.StatusRequestURITooLong, "path too long", ""}
	}
	if q.Operation == shmodel.OnceOnly && q.Key == "" {
		return nil, &rejection{http.StatusBadRequest, "idempotency key missing", "this operation needs the header " + shwire.HeaderKey}
	}
	if len(q.Key) > maxKeyBytes {
		return nil, &rejection{http.StatusBadRequest, "idempotency key too long", "at most 255 bytes"}
	}
	timeout, err := timeoutOf(r, service.Service)
	if err != nil {
		return nil, &rejection{http.StatusBadRequest, "malformed timeout", err.Error()}
	}
	q.Deadline = time.Now().Add(timeout)
	shlistener.HoldBody(r, bodyFactor)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, service.Service.BodyLimit()))
	if shlistener.IsShort(err) {
		w.Header().Set("Connection", "close")
		return nil, &rejection{http.StatusServiceUnavailable, "no memory", "the VM has no memory for the body now"}
	}
	if _, large := errors.AsType[*http.MaxBytesError](err); large {
		return nil, &rejection{http.StatusRequestEntityTooLarge, "body too large", ""}
	}
	if err != nil {
		return nil, &rejection{http.StatusBadRequest, "body incomplete", err.Error()}
	}
	q.RequestBytes = int64(len(body))
	q.Digest = digestOf(q.Service, r.Method, r.URL.RequestURI(), body)
	return body, nil
}

func timeoutOf(r *http.Request, s shconfig.Service) (time.Duration, error) {
	text := r.Header.Get(shwire.HeaderTimeout)
	if text == "" {
		if s.DefaultTimeoutMS <= 0 {
			return defaultTimeout, nil
		}
		return time.Duration(s.DefaultTimeoutMS) * time.Millisecond, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err == nil && (ms <= 0 || ms > shconfig.MaxTimeout.Milliseconds()) {
		err = errors.New("milliseconds from 1 to one hour")
	}
	return time.Duration(ms) * time.Millisecond, err
}

// digestOf hashes the content of a request. Each part is preceded by its length,
// so that the boundaries of the parts are unambiguous.
func digestOf(service shmodel.Service, method, uri string, body []byte) shmodel.Digest {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(service), []byte(method), []byte(uri), body} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write(part)
	}
	return shmodel.Digest(h.Sum(nil)[:16])
}

func callerOf(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

func clockError(v *shview.View) time.Duration {
	return time.Duration(v.Config.Config.Limits.ClockErrorMS) * time.Millisecond
}

func (e *Entry) hedgeAfter(v *shview.View, q shrequest.Request) time.Duration {
	if v.Config.Config.Objective != shconfig.Latency || q.Operation != shmodel.Idempotent {
		return 0
	}
	return e.latencies.hedgeDelay(q.Service)
}

// reject answers a request with a rejection and writes its account record.
func (e *Entry) reject(w http.ResponseWriter, q shrequest.Request, start time.Time, x rejection) {
	record := shrecord.Record{
		RequestID: q.ID, Kind: shrecord.Refused, VM: e.VM, At: time.Now(), Service: q.Service, Method: q.Method,
		Path: q.Path, Operation: q.Operation, Key: q.Key, Caller: q.Caller, FromRegion: e.Place.Region,
		Outcome: shmodel.NotRun, Reason: x.reason, Status: x.status, DurationUS: time.Since(start).Microseconds(),
	}
	if len(record.Path) > maxPathBytes {
		record.Path = record.Path[:maxPathBytes]
	}
	if len(record.Key) > maxKeyBytes {
		record.Key = record.Key[:maxKeyBytes]
	}
	_ = e.append(record, shaccount.Copied)
	e.Observe(record, false)
	after := time.Duration(0)
	if x.status == http.StatusServiceUnavailable {
		after = retryAfter
	}
	WriteProblem(w, problemOf(x.status, x.reason, x.detail, q.ID, shmodel.NotRun), after)
}
