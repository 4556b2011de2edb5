// Package shbackend is a stand-in backend server for the demo and for tests.
//
// It implements the interface of backend servers: it announces itself to one
// entry VM at a time, runs requests within its slots, sheds the excess, respects
// deadlines and cancellations, and echoes request IDs. Every run is written to
// a journal, so that tests can compare the runs with the account. Faults are
// switched on by Config.Faults or by a request header.
package shbackend

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"sequoiahollow/protocol/shwire"
	"sequoiahollow/state/shmodel"
)

// HeaderFault asks the stand-in for a fault: FaultCrash, FaultSilent,
// FaultBreak, FaultSlow, FaultWrongID or FaultShed. In a comma-separated list
// each value applies to the attempt of that number, and the last one also to all
// later attempts; an empty value is no fault.
const HeaderFault = "Stand-In-Fault"

// Values of HeaderFault.
const (
	// FaultCrash ends the backend server while it runs the request.
	FaultCrash = "crash"
	// FaultSilent runs the request and never answers, but keeps the connection.
	FaultSilent = "silent"
	// FaultBreak runs the request and closes the connection after half of the
	// body.
	FaultBreak = "break"
	// FaultSlow runs the request for twenty times the service time.
	FaultSlow = "slow"
	// FaultWrongID answers with the request ID of another request.
	FaultWrongID = "wrong-id"
	// FaultShed refuses the request as if all slots were in use.
	FaultShed = "shed"
)

const (
	maxBodyBytes = 16 << 20
	// maxHeldBytes bounds what the bodies that are being read or held may take, in
	// bytes. A request beyond it is not run.
	maxHeldBytes      = 64 << 20
	readHeaderTimeout = 5 * time.Second
	slowFactor        = 20
	// attemptRetention is how long attempts that have ended or were cancelled are
	// remembered, so that a late duplicate is refused. Deadlines of attempts are
	// shorter.
	attemptRetention = 10 * time.Minute
)

// Config describes a stand-in backend server.
type Config struct {
	BackendServer shmodel.BackendServer
	Service       shmodel.Service
	Place         shmodel.Place
	// Address is the IP:port to listen on.
	Address     string
	Slots       int
	Connections int
	// Owners lists the ServerAddresses of the entry VMs to announce to at first.
	Owners []string
	// ServiceTime is how long a request runs; ColdFactor multiplies it during
	// ColdFor after the start.
	ServiceTime time.Duration
	ColdFor     time.Duration
	ColdFactor  float64
	// Journal receives one JSON line per event of a run.
	Journal io.Writer
	// Crash is called for FaultCrash. It must not return.
	Crash func()
	// Incarnation must increase with each start; 0 selects the current time.
	Incarnation uint64
	Faults      Faults
}

// Faults are permanent faults of the reported load.
type Faults struct {
	// ReportIdle reports no load and no request in flight.
	ReportIdle bool
	// ReportLag is the delay of the reported requests in flight and load.
	ReportLag time.Duration
}

// JournalLine is one event of a run: "started", "finished" or "cancelled", or why
// a request was not run.
type JournalLine struct {
	Event         string                `json:"event"`
	At            time.Time             `json:"at"`
	BackendServer shmodel.BackendServer `json:"backendServer"`
	RequestID     shmodel.RequestID     `json:"requestId"`
	Attempt       uint32                `json:"attempt"`
	Method        string                `json:"method"`
	Path          string                `json:"path"`
	Key           string                `json:"key,omitempty"`
	InFlight      int                   `json:"inFlight"`
}

// eventRepeated is the event of a duplicate of an attempt.
const eventRepeated = "repeated"

type attemptID struct {
	request shmodel.RequestID
	number  uint32
}

type attemptState struct {
	status shwire.CancelStatus
	at     time.Time
	cancel context.CancelFunc
}

// Server is a running stand-in backend server.
type Server struct {
	config    Config
	started   time.Time
	server    *http.Server
	listener  net.Listener
	announcer announcer
	leaving   atomic.Bool
	held      atomic.Int64 // bytes of bodies

	mu       sync.Mutex
	inFlight int
	attempts map[attemptID]*attemptState
}

// Start listens and begins to announce.
func Start(c Config) (*Server, error) {
	listener, err := net.Listen("tcp", c.Address)
	if err != nil {
		return nil, fmt.Errorf("backend server %s: %w", c.BackendServer, err)
	}
	if c.Incarnation == 0 {
		c.Incarnation = uint64(time.Now().UnixNano())
	}
	c.Address = listener.Addr().String()
	s := &Server{config: c, started: time.Now(), listener: listener, attempts: map[attemptID]*attemptState{}}
	s.server = &http.Server{Handler: http.HandlerFunc(s.handle), ReadHeaderTimeout: readHeaderTimeout}
	go func() { _ = s.server.Serve(listener) }()
	s.announcer.start(s)
	return s, nil
}

// Address returns the IP:port that the server listens on.
func (s *Server) Address() string { return s.config.Address }

// Leave announces that the backend server is leaving. It still runs requests.
func (s *Server) Leave() {
	s.leaving.Store(true)
	s.announcer.announceNow()
}

// Close stops the server at once, as a crash does: without a last announcement,
// and with all connections closed.
func (s *Server) Close() error {
	s.announcer.stop()
	return s.server.Close()
}

func (s *Server) cold() bool { return time.Since(s.started) < s.config.ColdFor }

// handle does not use http.ServeMux, which would redirect a request whose path is
// not clean, with an answer without the request ID.
func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	attempt, ok := strings.CutPrefix(r.URL.Path, shwire.PathRequests+"/")
	request, number, found := strings.Cut(attempt, "/")
	if r.Method == http.MethodDelete && ok && found && r.Header.Get(shwire.HeaderAttempt) == "" {
		s.handleCancel(w, r, request, number)
		return
	}
	s.handleRequest(w, r)
}

func (s *Server) handleRequest(w http.ResponseWriter, r *http.Request) {
	id, err := attemptOf(r.Header.Get(shwire.HeaderRequestID), r.Header.Get(shwire.HeaderAttempt))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set(shwire.HeaderRequestID, id.request.String())
	held := &heldBody{Reader: http.MaxBytesReader(w, r.Body, maxBodyBytes), total: &s.held}
	defer held.release()
	body, err := io.ReadAll(held)
	if errors.Is(err, errNoMemory) {
		w.Header().Set("Connection", "close")
		w.Header().Set(shwire.HeaderOutcome, string(shmodel.NotRun))
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	ctx, refused := s.admit(r, id)
	if refused == eventRepeated {
		// The first copy of the attempt runs or ran, so the outcome not-run
		// would be wrong.
		s.journal(refused, r, id)
		panic(http.ErrAbortHandler)
	}
	if refused != "" {
		s.journal(refused, r, id)
		w.Header().Set(shwire.HeaderOutcome, string(shmodel.NotRun))
		http.Error(w, refused, http.StatusServiceUnavailable)
		return
	}
	s.journal("started", r, id)
	cancelled := s.run(ctx, r, id)
	s.finish(id)
	if cancelled {
		s.journal("cancelled", r, id)
		panic(http.ErrAbortHandler)
	}
	s.journal("finished", r, id)
	s.answer(w, r, id, body)
}

var errNoMemory = errors.New("no memory for the body")

// heldBody counts what is read in a total until release.
type heldBody struct {
	io.Reader
	total *atomic.Int64
	read  int64
}

// Read implements io.Reader.
func (b *heldBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.read += int64(n)
	if b.total.Add(int64(n)) > maxHeldBytes {
		return 0, errNoMemory
	}
	return n, err
}

func (b *heldBody) release() { b.total.Add(-b.read) }

// admit takes a slot, or returns the reason why the request is not run.
func (s *Server) admit(r *http.Request, id attemptID) (context.Context, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeOldAttempts()
	if deadline, ok := deadlineOf(r); ok && time.Now().After(deadline) {
		return nil, "expired"
	}
	if s.otherIncarnation(r) {
		return nil, "other incarnation"
	}
	if a := s.attempts[id]; a != nil && a.status != shwire.CancelNotRun {
		return nil, eventRepeated
	} else if a != nil {
		return nil, "cancelled before start"
	}
	if s.inFlight >= s.config.Slots || faultOf(r, id) == FaultShed {
		return nil, "shed"
	}
	ctx, cancel := context.WithCancel(r.Context())
	if r.Header.Get(shwire.HeaderKey) != "" {
		// A once-only request runs to its end even if the connection closes.
		ctx, cancel = context.WithCancel(context.WithoutCancel(r.Context()))
	}
	s.inFlight++
	s.attempts[id] = &attemptState{status: shwire.CancelRunning, at: time.Now(), cancel: cancel}
	return ctx, ""
}

func (s *Server) otherIncarnation(r *http.Request) bool {
	i := r.Header.Get(shwire.HeaderIncarnation)
	return i != "" && i != strconv.FormatUint(s.config.Incarnation, 10)
}

// run reports whether the request was cancelled before its end.
func (s *Server) run(ctx context.Context, r *http.Request, id attemptID) bool {
	d := s.config.ServiceTime
	if s.cold() && s.config.ColdFactor > 1 {
		d = time.Duration(float64(d) * s.config.ColdFactor)
	}
	switch faultOf(r, id) {
	case FaultCrash:
		s.crash()
	case FaultSlow:
		d *= slowFactor
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return false
	case <-ctx.Done():
		return true
	}
}

func (s *Server) crash() {
	if s.config.Crash != nil {
		s.config.Crash()
	}
	_ = s.Close()
	panic(http.ErrAbortHandler)
}

// finish ends a run. An interrupted run has run in part, so its status is
// CancelDone and not CancelNotRun.
func (s *Server) finish(id attemptID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	a := s.attempts[id]
	a.cancel()
	a.at = time.Now()
	a.status = shwire.CancelDone
}

func (s *Server) answer(w http.ResponseWriter, r *http.Request, id attemptID, body []byte) {
	content := fmt.Appendf(nil, "%s ran %s %s, body %d bytes\n", s.config.BackendServer, r.Method, r.URL.Path, len(body))
	if size, err := strconv.Atoi(r.URL.Query().Get("bytes")); err == nil && size > 0 && size <= maxBodyBytes {
		content = make([]byte, size)
	}
	switch faultOf(r, id) {
	case FaultSilent:
		<-r.Context().Done()
		return
	case FaultBreak:
		w.Header().Set("Content-Length", strconv.Itoa(len(content)))
		_, _ = w.Write(content[:len(content)/2])
		panic(http.ErrAbortHandler)
	case FaultWrongID:
		w.Header().Set(shwire.HeaderRequestID, shmodel.RequestID(1<<63).String())
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(content)))
	_, _ = w.Write(content)
}

func (s *Server) handleCancel(w http.ResponseWriter, r *http.Request, request, number string) {
	id, err := attemptOf(request, number)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set(shwire.HeaderRequestID, id.request.String())
	w.Header().Set("Content-Type", "application/json")
	status := shwire.CancelUnknown
	if !s.otherIncarnation(r) {
		status = s.cancel(id)
	}
	_ = json.NewEncoder(w).Encode(shwire.CancelAnswer{Status: status})
}

// cancel records an attempt that has not arrived, so that the attempt is refused
// when it arrives. A started attempt is not interrupted: the stand-in cannot undo
// its effects, and CancelNotRun may be reported only if it is certain.
func (s *Server) cancel(id attemptID) shwire.CancelStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := s.attempts[id]
	if a == nil {
		s.attempts[id] = &attemptState{status: shwire.CancelNotRun, at: time.Now(), cancel: func() {}}
		return shwire.CancelNotRun
	}
	return a.status
}

func (s *Server) removeOldAttempts() {
	if len(s.attempts) < 4096 {
		return
	}
	for id, a := range s.attempts {
		if a.status != shwire.CancelRunning && time.Since(a.at) > attemptRetention {
			delete(s.attempts, id)
		}
	}
}

func (s *Server) journal(event string, r *http.Request, id attemptID) {
	if s.config.Journal == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	line, err := json.Marshal(JournalLine{
		Event: event, At: time.Now(), BackendServer: s.config.BackendServer,
		RequestID: id.request, Attempt: id.number, Method: r.Method, Path: r.URL.Path,
		Key: r.Header.Get(shwire.HeaderKey), InFlight: s.inFlight,
	})
	if err == nil {
		_, _ = s.config.Journal.Write(append(line, '\n'))
	}
}

func attemptOf(request, number string) (attemptID, error) {
	var id attemptID
	if err := id.request.UnmarshalText([]byte(request)); err != nil {
		return id, err
	}
	n, err := strconv.ParseUint(number, 10, 32)
	if err != nil {
		return id, fmt.Errorf("attempt %q: %w", number, err)
	}
	id.number = uint32(n)
	return id, nil
}

// faultOf returns the fault that HeaderFault asks of an attempt.
func faultOf(r *http.Request, id attemptID) string {
	faults := strings.Split(r.Header.Get(HeaderFault), ",")
	return faults[min(max(int(id.number), 1), len(faults))-1]
}

func deadlineOf(r *http.Request) (time.Time, bool) {
	ms, err := strconv.ParseInt(r.Header.Get(shwire.HeaderDeadline), 10, 64)
	return time.UnixMilli(ms), err == nil
}
