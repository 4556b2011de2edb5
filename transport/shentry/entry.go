// Package shentry is the HTTP side of an entry VM: look-ups and requests of
// callers, announcements of backend servers, and requests that other entry VMs
// forward.
package shentry

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"sequoiahollow/protocol/shwire"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/state/shrecord"
)

const (
	maxAnnouncement = 64 << 10
	maxRequestBody  = 1 << 20
	defaultTimeout  = 5 * time.Second
	lease           = 1500 * time.Millisecond
)

// Entry serves callers from the backend servers that announced themselves.
type Entry struct {
	Self       shwire.EntryAddress
	Dispatcher *Dispatcher
	// Write makes records durable before it returns.
	Write func(...shrecord.Record) error

	next    atomic.Uint64
	mu      sync.Mutex
	servers map[shmodel.BackendServer]*announced
}

type announced struct {
	shwire.Announcement
	at       time.Time
	inFlight int
}

// CallerHandler serves callers.
func (e *Entry) CallerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+shwire.PathEntries, e.handleEntries)
	mux.HandleFunc("/", e.handleRequest)
	return mux
}

// ServerHandler serves backend servers and other entry VMs.
func (e *Entry) ServerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+shwire.PathAnnouncements, e.handleAnnouncement)
	return mux
}

func (e *Entry) handleEntries(w http.ResponseWriter, r *http.Request) {
	service := shmodel.Service(r.URL.Query().Get("service"))
	WriteJSON(w, http.StatusOK, shwire.Entries{Service: service, CacheForMS: 5000, Entries: []shwire.EntryAddress{e.Self}})
}

func (e *Entry) handleAnnouncement(w http.ResponseWriter, r *http.Request) {
	var a shwire.Announcement
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncement)).Decode(&a); err != nil {
		WriteProblem(w, shwire.Problem{Status: http.StatusBadRequest, Reason: "malformed announcement", Detail: err.Error()}, 0)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.servers == nil {
		e.servers = map[shmodel.BackendServer]*announced{}
	}
	s := e.servers[a.BackendServer]
	if s == nil {
		s = &announced{}
		e.servers[a.BackendServer] = s
	}
	s.Announcement = a
	s.at = time.Now()
	nonce := strconv.FormatInt(time.Now().UnixNano(), 36)
	WriteJSON(w, http.StatusOK, shwire.AnnouncementAnswer{Nonce: nonce, LeaseMS: lease.Milliseconds()})
}

func (e *Entry) reserve(service shmodel.Service) *announced {
	e.mu.Lock()
	defer e.mu.Unlock()
	var best *announced
	for _, s := range e.servers {
		if s.Service != service || s.Leaving || time.Since(s.at) > lease || s.inFlight >= s.Slots {
			continue
		}
		if best == nil || s.inFlight < best.inFlight {
			best = s
		}
	}
	if best != nil {
		best.inFlight++
	}
	return best
}

func (e *Entry) release(s *announced) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.inFlight--
}

func (e *Entry) handleRequest(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	id := shmodel.RequestID(e.next.Add(1))
	record := shrecord.Record{
		RequestID: id, VM: e.Self.VM, At: start, Service: shmodel.Service(r.Header.Get(shwire.HeaderService)),
		Method: r.Method, Path: r.URL.Path, Key: r.Header.Get(shwire.HeaderKey), Caller: r.RemoteAddr,
	}
	refuse := func(status int, reason string) {
		record.Kind, record.Outcome, record.Reason, record.Status = shrecord.Refused, shmodel.NotRun, reason, status
		_ = e.Write(record)
		WriteProblem(w, shwire.Problem{Status: status, Reason: reason, RequestID: id, Outcome: shmodel.NotRun}, time.Second)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBody))
	if err != nil {
		refuse(http.StatusRequestEntityTooLarge, "body too large")
		return
	}
	server := e.reserve(record.Service)
	if server == nil {
		refuse(http.StatusServiceUnavailable, "no free backend server")
		return
	}
	defer e.release(server)
	record.Kind, record.BackendServer, record.RequestBytes = shrecord.Opened, server.BackendServer, int64(len(body))
	if err := e.Write(record); err != nil {
		refuse(http.StatusServiceUnavailable, "no account")
		return
	}
	e.attempt(w, r, record, server, body)
}

func (e *Entry) attempt(w http.ResponseWriter, r *http.Request, record shrecord.Record, server *announced, body []byte) {
	header := passOn(r.Header)
	header.Set(shwire.HeaderRequestID, record.RequestID.String())
	header.Set(shwire.HeaderAttempt, "1")
	header.Set(shwire.HeaderDeadline, strconv.FormatInt(record.At.Add(defaultTimeout).UnixMilli(), 10))
	in, fault := e.Dispatcher.Send(r.Context(), Outgoing{
		Address: server.Address, Method: r.Method, URI: r.URL.RequestURI(), Header: header, Body: body,
		RequestID: record.RequestID, FirstByte: defaultTimeout, Fresh: true,
	})
	record.Kind, record.Outcome, record.Reason = shrecord.Closed, shmodel.Answered, string(fault)
	switch {
	case fault == "":
		record.Status = in.Status
		record.AnswerBytes = copyAnswer(w, in, record.RequestID, shmodel.Answered, nil)
	case fault.Certain():
		record.Outcome = shmodel.NotRun
		WriteProblem(w, shwire.Problem{Status: http.StatusServiceUnavailable, Reason: string(fault), RequestID: record.RequestID, Outcome: shmodel.NotRun}, time.Second)
	default:
		record.Outcome = shmodel.Unknown
		WriteProblem(w, shwire.Problem{Status: http.StatusBadGateway, Reason: string(fault), RequestID: record.RequestID, Outcome: shmodel.Unknown}, 0)
	}
	record.DurationUS = time.Since(record.At).Microseconds()
	_ = e.Write(record)
}
