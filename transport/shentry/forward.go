package shentry

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"sequoiahollow/coordination/shrequest"
	"sequoiahollow/coordination/shslot"
	"sequoiahollow/protocol/shwire"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/transport/internal/shlistener"
)

// Headers between entry VMs. Their values are base64-encoded JSON.
const (
	headerForward   = "Sequoiahollow-Forward"
	headerExecution = "Sequoiahollow-Execution"
)

// forwardGrace is how long after the deadline the receiver still waits for the
// report of an Executor, which may be sent at the deadline.
const forwardGrace = 100 * time.Millisecond

// forwardRequest describes a forwarded attempt. LeftMS is the time until the
// deadline; it replaces the deadline, since the clocks of two VMs differ.
type forwardRequest struct {
	Request shrequest.Request       `json:"request"`
	Attempt uint32                  `json:"attempt"`
	Credit  uint64                  `json:"credit,omitempty"`
	Solo    bool                    `json:"solo,omitempty"`
	Exclude []shmodel.BackendServer `json:"exclude,omitempty"`
	From    shmodel.Region          `json:"from"`
	URI     string                  `json:"uri"`
	LeftMS  int64                   `json:"leftMs"`
}

func encodeHeader(v any) (string, error) {
	data, err := json.Marshal(v)
	return base64.StdEncoding.EncodeToString(data), err
}

func decodeHeader(text string, v any) error {
	data, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, v)
}

// forward sends an attempt to another entry VM and posts the result.
func (c *receiverDriver) forward(f shrequest.Forward) {
	e := c.entry
	var region shmodel.Region
	if f.Credit != 0 {
		region = e.regionOf(f.VM)
	}
	ended := func(refused, healthy bool) {}
	if f.Credit == 0 {
		ended = e.Slots.BeginForward(c.request.Service, f.VM)
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(c.ctx), c.request.Deadline.Add(forwardGrace))
	defer cancel()
	c.mu.Lock()
	c.postToAttempt[f.Attempt] = func(shrequest.Event) { cancel() }
	c.mu.Unlock()
	result := c.sendForward(ctx, f, region)
	x, whole := result.(shrequest.Executed)
	ended(whole && x.Execution.Reason == shrequest.ReasonNoCapacity, whole)
	c.postResult(f.Attempt, result)
}

func (e *Entry) regionOf(vm shmodel.VM) shmodel.Region {
	for _, h := range e.View().Entries {
		if h.VM == vm {
			return h.Place.Region
		}
	}
	return ""
}

func (c *receiverDriver) sendForward(ctx context.Context, f shrequest.Forward, region shmodel.Region) shrequest.Result {
	e := c.entry
	description, err := encodeHeader(forwardRequest{
		Request: c.request, Attempt: f.Attempt, Credit: f.Credit, Solo: f.Solo, Exclude: f.Exclude,
		From: e.Place.Region, URI: c.payload.uri, LeftMS: time.Until(c.request.Deadline).Milliseconds(),
	})
	if err != nil {
		return shrequest.NotSent{}
	}
	if region != "" {
		if err := e.Links.Pace(ctx, region, int64(len(c.payload.body))+forwardOverhead); err != nil {
			return shrequest.NotSent{}
		}
	}
	header := c.payload.header.Clone()
	header.Set(headerForward, description)
	in, fault := e.peers.Send(ctx, OutgoingRequest{
		Address: f.Address, Method: http.MethodPost, URI: shwire.PathForward, Header: header, Body: c.payload.body,
		RequestID: c.request.ID, FirstByteTimeout: time.Until(c.request.Deadline) + forwardGrace,
		NewConnection: c.request.Operation == shmodel.OnceOnly, Memory: c.payload.memory,
	})
	if fault != "" {
		return resultOf(fault)
	}
	return c.receiveForward(f.Attempt, in)
}

// receiveForward turns the answer of another entry VM into a result.
func (c *receiverDriver) receiveForward(attempt uint32, in IncomingAnswer) shrequest.Result {
	var x shrequest.Execution
	if in.Status == http.StatusServiceUnavailable && in.Header.Get(headerExecution) == "" &&
		in.Header.Get(shwire.HeaderOutcome) == string(shmodel.NotRun) {
		// The other entry VM had no memory for the request.
		return shrequest.Executed{Execution: shrequest.Execution{Outcome: shmodel.NotRun, Reason: shrequest.ReasonNoCapacity}}
	}
	if err := decodeHeader(in.Header.Get(headerExecution), &x); err != nil {
		if in.Rest != nil {
			_ = in.Rest.Close()
		}
		c.entry.Log.Warn("answer of another entry VM is malformed", "requestId", c.request.ID, "status", in.Status, "error", err)
		return shrequest.ConnectionBroken{}
	}
	if x.Outcome != shmodel.Answered {
		return shrequest.Executed{Execution: x}
	}
	in.Header.Del(headerExecution)
	x.Answer.Status = in.Status
	x.Answer.Header = endToEndHeaders(in.Header)
	if in.Rest == nil {
		x.Answer.Body = in.Body
		x.Bytes = in.Length
		return shrequest.Executed{Execution: x}
	}
	n, err := c.offerStream(attempt, in)
	if err != nil {
		return shrequest.ConnectionBroken{}
	}
	x.Bytes = n
	return shrequest.Executed{Execution: x}
}

// handleForward runs an attempt that another entry VM forwarded.
func (e *Entry) handleForward(w http.ResponseWriter, r *http.Request) {
	f, err := readForward(r)
	if err != nil {
		WriteProblem(w, problemOf(http.StatusBadRequest, "malformed forward", err.Error(), 0, ""), 0)
		return
	}
	h := &forwardHandler{entry: e, request: f, writer: w, result: make(chan shrequest.Execution, 1), streams: make(chan *pendingStream)}
	shlistener.HoldBody(r, bodyFactor)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxForwardBody))
	if shlistener.IsShort(err) {
		w.Header().Set("Connection", "close")
		h.answer(r.Context(), shrequest.Execution{Outcome: shmodel.NotRun, Reason: shrequest.ReasonNoCapacity})
		return
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	header := endToEndHeaders(r.Header)
	header.Del(headerForward)
	memory := shlistener.RequestOf(r.Context())
	h.serve(r.Context(), payload{method: f.Request.Method, uri: f.URI, header: header, body: body, memory: memory})
}

// maxForwardBody is the largest body that the configuration permits.
const maxForwardBody = 64 << 20

func readForward(r *http.Request) (forwardRequest, error) {
	var f forwardRequest
	if err := decodeHeader(r.Header.Get(headerForward), &f); err != nil {
		return f, err
	}
	if f.Request.ID == 0 || f.Attempt == 0 || f.LeftMS <= 0 {
		return f, errors.New("request ID, attempt and time left are needed")
	}
	f.Request.Deadline = time.Now().Add(time.Duration(f.LeftMS) * time.Millisecond)
	return f, nil
}

// forwardHandler runs one forwarded attempt and answers the other entry VM.
type forwardHandler struct {
	entry   *Entry
	request forwardRequest
	writer  http.ResponseWriter
	result  chan shrequest.Execution
	streams chan *pendingStream
}

func (h *forwardHandler) serve(ctx context.Context, p payload) {
	f := h.request
	class := shslot.Local
	switch {
	case f.Solo:
		class = shslot.Solo
	case f.From != h.entry.Place.Region:
		class = shslot.Remote
	}
	if class == shslot.Remote && !h.entry.Links.AwaitGrant(ctx, f.From, expectedAnswerBytes) {
		// Without a grant for the link the answer could not be sent.
		h.answer(ctx, shrequest.Execution{Outcome: shmodel.NotRun, Reason: shrequest.ReasonNoCapacity})
		return
	}
	done := make(chan struct{})
	defer close(done)
	x := &executorDriver{
		entry: h.entry, request: f.Request, payload: p, forwarded: true,
		report: func(r shrequest.Execution) { h.result <- r },
		stream: func(in IncomingAnswer) (int64, error) { return h.offerStream(done, in) },
	}
	x.start(context.WithoutCancel(ctx), shrequest.ExecutorOptions{
		Request: f.Request, Attempt: f.Attempt, VM: h.entry.VM, Class: class,
		Credit: shslot.CreditID(f.Credit), Exclude: f.Exclude, ClockError: clockError(h.entry.View()),
	})
	stop := context.AfterFunc(ctx, func() { x.mailbox.post(shrequest.CallerGone{}) })
	defer stop()
	select {
	case r := <-h.result:
		h.answer(ctx, r)
	case s := <-h.streams:
		h.stream(ctx, s)
	}
}

func (h *forwardHandler) offerStream(done <-chan struct{}, in IncomingAnswer) (int64, error) {
	defer func() { _ = in.Rest.Close() }()
	s := &pendingStream{in: in, done: make(chan error, 1)}
	select {
	case h.streams <- s:
		err := <-s.done
		return s.n, err
	case <-done:
		return 0, errNotStreamed
	}
}

// answerPacer returns a function that paces the answer on the link to another
// region, or nil if the answer stays in the region.
func (h *forwardHandler) answerPacer(ctx context.Context) func(int) error {
	to := h.request.From
	if to == h.entry.Place.Region {
		return nil
	}
	return func(n int) error { return h.entry.Links.Pace(ctx, to, int64(n)) }
}

func (h *forwardHandler) answer(ctx context.Context, r shrequest.Execution) {
	answer := r.Answer
	r.Answer.Header, r.Answer.Body = nil, nil
	if r.Outcome != shmodel.Answered {
		answer.Status = http.StatusOK // of the forward itself
	}
	in := IncomingAnswer{Status: answer.Status, Header: answer.Header, Body: answer.Body, Length: int64(len(answer.Body))}
	if _, err := h.send(ctx, r, in); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// stream passes on a long answer while it is received.
func (h *forwardHandler) stream(ctx context.Context, s *pendingStream) {
	x := shrequest.Execution{Outcome: shmodel.Answered, Dispatched: true, BackendServer: s.in.BackendServer}
	n, err := h.send(ctx, x, s.in)
	s.n = n
	s.done <- err
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

func (h *forwardHandler) send(ctx context.Context, r shrequest.Execution, in IncomingAnswer) (int64, error) {
	text, err := encodeHeader(r)
	if err != nil {
		return 0, fmt.Errorf("encoding the execution: %w", err)
	}
	if in.Header == nil {
		in.Header = http.Header{}
	}
	in.Header = in.Header.Clone()
	in.Header.Set(headerExecution, text)
	pace := h.answerPacer(ctx)
	if pace != nil {
		if err := pace(forwardOverhead); err != nil {
			return 0, err
		}
	}
	return copyAnswer(h.writer, in, h.request.Request.ID, r.Outcome, pace)
}

// deadlineHeader formats an absolute deadline in Unix milliseconds.
func deadlineHeader(t time.Time) string { return strconv.FormatInt(t.UnixMilli(), 10) }
