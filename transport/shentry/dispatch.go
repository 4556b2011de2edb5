package shentry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"sequoiahollow/coordination/shmemory"
	"sequoiahollow/protocol/shwire"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/transport/shanswer"
)

const (
	dialTimeout = 250 * time.Millisecond
	// idleTimeout is how long an idle connection may be reused.
	idleTimeout = 5 * time.Second
	maxHeader   = 64 << 10
	// bufferLimit is the largest answer body that is buffered before it is passed
	// on, so that the request can be retried if the answer breaks off.
	bufferLimit = 64 << 10
	// cancelTimeout bounds one cancellation request.
	cancelTimeout  = 500 * time.Millisecond
	maxIdlePerHost = 64
)

// Fault says how an attempt failed. It is "" if the attempt did not fail.
type Fault string

// Faults of an attempt. FaultRefused and FaultShed prove that it was not run.
const (
	FaultRefused  Fault = "connection refused"
	FaultShed     Fault = "shed"
	FaultTimeout  Fault = "no answer in time"
	FaultBroken   Fault = "connection broken"
	FaultMismatch Fault = "answer to another request"
	FaultStatus   Fault = "no status of an answer"
	// FaultMemory says that there was no memory for the answer.
	FaultMemory Fault = "no memory for the answer"
)

// ProvesNotRun reports whether the fault proves that the attempt was not run.
func (f Fault) ProvesNotRun() bool { return f == FaultRefused || f == FaultShed }

// OutgoingRequest is one HTTP request to a backend server or to another entry VM.
type OutgoingRequest struct {
	Address   string
	Method    string
	URI       string
	Header    http.Header
	Body      []byte
	RequestID shmodel.RequestID
	// FirstByteTimeout bounds the wait for the header of the answer.
	FirstByteTimeout time.Duration
	// NewConnection asks for a new connection. Once-only work always uses one,
	// since a pooled connection may have failed unnoticed.
	NewConnection bool
	// Memory bounds the memory of the answer; nil means no bound. With Short set a long
	// answer is a FaultBroken.
	Memory *shmemory.Request
	Short  bool
}

// IncomingAnswer is the answer to an OutgoingRequest. Body holds the whole body
// if Rest is nil; otherwise Body is its start, and Rest continues it and must be
// closed.
type IncomingAnswer struct {
	Status int
	Header http.Header
	Body   []byte
	Rest   io.ReadCloser
	// Length is the length of the whole body, or -1.
	Length int64
	// BackendServer is set only at the entry VM that owns the backend server.
	BackendServer shmodel.BackendServer
}

// Dispatcher sends requests and classifies the answers and failures. It never
// sends a request twice.
type Dispatcher struct {
	pooled   shanswer.Transport
	unpooled shanswer.Transport
}

// NewDispatcher returns a Dispatcher with its own connection pool.
func NewDispatcher() *Dispatcher {
	d := &Dispatcher{}
	for _, t := range []*shanswer.Transport{&d.pooled, &d.unpooled} {
		t.Dialer.Timeout = dialTimeout
		t.IdleConnTimeout = idleTimeout
		t.MaxResponseHeaderBytes = maxHeader
		t.MaxIdleConnsPerHost = maxIdlePerHost
		t.DisableCompression = true
	}
	d.unpooled.DisableKeepAlives = true
	return d
}

// bodyReader hides the type of the body from net/http, which would otherwise
// retry a request with an idempotency key on its own.
type bodyReader struct{ io.Reader }

func (bodyReader) Close() error { return nil }

// Send makes one attempt. The context bounds the whole exchange up to the end
// of a buffered body.
func (d *Dispatcher) Send(ctx context.Context, o OutgoingRequest) (IncomingAnswer, Fault) {
	ctx, cancelRequest := context.WithCancel(ctx)
	memory := &answerMemory{request: o.Memory, closed: o.Short}
	cancel := func() {
		cancelRequest()
		memory.release()
	}
	ctx = shanswer.WithReserve(ctx, memory.reserveHead)
	request, err := http.NewRequestWithContext(ctx, o.Method, "http://"+o.Address+o.URI, bodyReader{bytes.NewReader(o.Body)})
	if err != nil {
		cancel()
		return IncomingAnswer{}, FaultRefused
	}
	request.ContentLength = int64(len(o.Body))
	request.Header = o.Header
	firstByteTimer := time.AfterFunc(o.FirstByteTimeout, cancel)
	transport := &d.pooled
	if o.NewConnection {
		transport = &d.unpooled
	}
	response, err := transport.RoundTrip(request)
	if !firstByteTimer.Stop() && err == nil {
		_ = response.Body.Close()
		err = context.DeadlineExceeded
	}
	if err != nil {
		cancel()
		if !o.NewConnection {
			d.pooled.CloseIdleConnections()
		}
		if memory.isShort() {
			return IncomingAnswer{}, FaultMemory
		}
		return IncomingAnswer{}, sendFault(err)
	}
	in, fault := receive(response, o.RequestID, memory, cancel)
	if fault == FaultStatus && !o.NewConnection {
		// The transport may have put the connection back into its pool already.
		d.pooled.CloseIdleConnections()
	}
	return in, fault
}

func sendFault(err error) Fault {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return FaultRefused
	}
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return FaultTimeout
	}
	return FaultBroken
}

// receive reads an answer. It calls cancel, which also releases memory, unless the answer
// has a Rest, whose Close calls it.
func receive(response *http.Response, id shmodel.RequestID, memory *answerMemory, cancel func()) (IncomingAnswer, Fault) {
	in := IncomingAnswer{Status: response.StatusCode, Header: response.Header, Length: response.ContentLength}
	if !shmodel.IsFinalStatus(response.StatusCode) {
		cancel()
		_ = response.Body.Close()
		return in, FaultStatus
	}
	if response.Header.Get(shwire.HeaderRequestID) != id.String() {
		cancel()
		_ = response.Body.Close()
		return in, FaultMismatch
	}
	body, err := memory.readStart(response.Body)
	if err != nil {
		cancel()
		_ = response.Body.Close()
		if memory.isShort() {
			return in, FaultMemory
		}
		return in, FaultBroken
	}
	in.Body = body
	if len(body) > bufferLimit {
		in.Rest = &cancelingBody{ReadCloser: response.Body, cancel: cancel}
		return in, ""
	}
	cancel()
	_ = response.Body.Close()
	in.Length = int64(len(body))
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(shwire.HeaderOutcome) == string(shmodel.NotRun) {
		return in, FaultShed
	}
	return in, ""
}

// cancelingBody cancels the context of the request when the body is closed.
type cancelingBody struct {
	io.ReadCloser
	cancel func()
}

func (r *cancelingBody) Close() error {
	r.cancel()
	return r.ReadCloser.Close()
}

// Cancel asks a backend server to cancel an attempt. A backend server that has
// restarted since, and so has another incarnation, answers CancelUnknown.
func (d *Dispatcher) Cancel(ctx context.Context, address string, incarnation uint64, id shmodel.RequestID, attempt uint32) (shwire.CancelStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	uri := shwire.PathRequests + "/" + id.String() + "/" + strconv.FormatUint(uint64(attempt), 10)
	header := http.Header{}
	header.Set(shwire.HeaderIncarnation, strconv.FormatUint(incarnation, 10))
	in, fault := d.Send(ctx, OutgoingRequest{
		Address: address, Method: http.MethodDelete, URI: uri, Header: header,
		RequestID: id, FirstByteTimeout: cancelTimeout, NewConnection: true, Short: true,
	})
	if fault != "" {
		return "", errors.New(string(fault))
	}
	return decodeCancel(in.Body)
}
