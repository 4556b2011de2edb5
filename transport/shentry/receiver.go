package shentry

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"sequoiahollow/coordination/shrequest"
	"sequoiahollow/coordination/shslot"
	"sequoiahollow/protocol/shwire"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/state/shrecord"
	"sequoiahollow/transport/shaccount"
)

var errNotStreamed = errors.New("answer was not streamed")

// receiverDriver runs one shrequest.Receiver and carries out its effects: in the
// goroutine of the HTTP handler until the caller has its answer, then in another.
type receiverDriver struct {
	entry   *Entry
	request shrequest.Request
	payload payload
	machine *shrequest.Receiver
	mailbox *mailbox
	writer  http.ResponseWriter
	ctx     context.Context
	start   time.Time

	mu sync.Mutex
	// postToAttempt holds for each attempt the function that posts an event to its
	// Executor or, for a forwarded attempt, cancels the forward.
	postToAttempt map[uint32]func(shrequest.Event)
	streams       map[uint32]*pendingStream
	linkCap       atomic.Bool
	streamed      bool
	answered      bool
	aborted       bool
	// status and answerBytes are those of the answer to the caller.
	status      int
	answerBytes int64
}

// pendingStream is an answer longer than bufferLimit that waits to be passed on.
// done receives the result; before that, n is set to the body bytes sent.
type pendingStream struct {
	in   IncomingAnswer
	done chan error
	n    int64
}

// run runs the machine until the caller has an answer. If the machine hasn't
// finished then, it goes on in the background.
func (c *receiverDriver) run(first []shrequest.Effect) {
	stop := context.AfterFunc(c.ctx, func() { c.mailbox.post(shrequest.CallerGone{}) })
	defer stop()
	c.carryOut(first)
	for !c.answered && !c.machine.Finished() {
		c.carryOut(c.machine.Apply(time.Now(), c.mailbox.next()))
	}
	if c.machine.Finished() {
		c.cleanUp()
	} else {
		c.entry.background.Go(c.finish)
	}
	if c.aborted {
		panic(http.ErrAbortHandler)
	}
}

// finish runs the machine to its end after the caller has its answer.
func (c *receiverDriver) finish() {
	defer c.cleanUp()
	for !c.machine.Finished() {
		c.carryOut(c.machine.Apply(time.Now(), c.mailbox.next()))
	}
}

func (c *receiverDriver) cleanUp() {
	c.mailbox.close()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.streams {
		s.done <- errNotStreamed
	}
	c.streams = nil
}

func (c *receiverDriver) carryOut(effects []shrequest.Effect) {
	for _, effect := range effects {
		switch f := effect.(type) {
		case shrequest.WriteRecord:
			c.entry.writeRecord(c.completeRecord(f), c.mailbox)
		case shrequest.Choose:
			go c.choose(f)
		case shrequest.Execute:
			c.execute(f)
		case shrequest.Forward:
			go c.forward(f)
		case shrequest.CancelAttempt:
			c.cancelAttempt(f.Attempt)
		case shrequest.CancelAtBackend:
			go func() {
				result := c.entry.cancelAttempt(f)
				c.mailbox.post(shrequest.AttemptResult{Attempt: f.Attempt, Result: result})
			}()
		case shrequest.AskControl:
			go c.entry.proposeCommand(f.Command, c.request, c.mailbox)
		case shrequest.StartTimer:
			startTimer(f, c.mailbox)
		case shrequest.StreamAnswer:
			c.streamAnswer(f.Attempt)
		case shrequest.AnswerCaller:
			c.answer(f)
		case shrequest.RefuseCaller:
			c.refuse(f)
		case shrequest.AbortCaller:
			c.answered, c.aborted = true, true
		}
	}
}

// completeRecord adds the fields that only the driver knows, and counts the
// request if the record is its last one.
func (c *receiverDriver) completeRecord(w shrequest.WriteRecord) shrequest.WriteRecord {
	r := &w.Record
	r.FromRegion = c.entry.Place.Region
	if r.Kind == shrecord.Closed || r.Kind == shrecord.Refused {
		r.DurationUS = time.Since(c.start).Microseconds()
		if r.Status == 0 {
			r.Status = c.status
		}
		if r.Status == 0 {
			r.Status = problemStatus(r.Outcome, shrequest.Reason(r.Reason))
		}
		if r.AnswerBytes == 0 {
			r.AnswerBytes = c.answerBytes
		}
		c.entry.Observe(*r, c.linkCap.Load())
	}
	return w
}

// execute starts an Executor on this VM.
func (c *receiverDriver) execute(f shrequest.Execute) {
	class := shslot.Local
	if f.Solo {
		class = shslot.Solo
	}
	x := &executorDriver{
		entry: c.entry, request: c.request, payload: c.payload,
		report: func(r shrequest.Execution) { c.postResult(f.Attempt, shrequest.Executed{Execution: r}) },
		stream: func(in IncomingAnswer) (int64, error) { return c.offerStream(f.Attempt, in) },
	}
	x.start(context.WithoutCancel(c.ctx), shrequest.ExecutorOptions{
		Request: c.request, Attempt: f.Attempt, VM: c.entry.VM, Class: class, Exclude: f.Exclude,
		ClockError: clockError(c.entry.View()),
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.postToAttempt[f.Attempt] = func(e shrequest.Event) { x.mailbox.post(e) }
}

// postResult posts the result of an attempt. If the machine has already ended,
// the result is dropped: the machine has recorded the attempt as unknown.
func (c *receiverDriver) postResult(attempt uint32, result shrequest.Result) {
	c.mailbox.post(shrequest.AttemptResult{Attempt: attempt, Result: result})
}

func (c *receiverDriver) cancelAttempt(attempt uint32) {
	c.mu.Lock()
	post := c.postToAttempt[attempt]
	c.mu.Unlock()
	if post != nil {
		go post(shrequest.CallerGone{})
	}
}

// offerStream posts that a long answer is available, and waits until the answer
// was passed on to the caller or dropped.
func (c *receiverDriver) offerStream(attempt uint32, in IncomingAnswer) (int64, error) {
	s := &pendingStream{in: in, done: make(chan error, 1)}
	c.mu.Lock()
	if c.streams == nil {
		c.mu.Unlock()
		_ = in.Rest.Close()
		return 0, errNotStreamed
	}
	c.streams[attempt] = s
	c.mu.Unlock()
	c.mailbox.post(shrequest.AnswerStreaming{Attempt: attempt})
	err := <-s.done
	_ = in.Rest.Close()
	return s.n, err
}

// streamAnswer passes a long answer on to the caller. It runs in the goroutine of
// the handler, the only one that may write to the caller.
func (c *receiverDriver) streamAnswer(attempt uint32) {
	c.mu.Lock()
	s := c.streams[attempt]
	delete(c.streams, attempt)
	c.mu.Unlock()
	if s == nil {
		return
	}
	c.streamed = true
	c.status = s.in.Status
	n, err := copyAnswer(c.writer, s.in, c.request.ID, shmodel.Answered, nil)
	s.n = n
	c.answerBytes = n
	s.done <- err
}

// answer ends the request with an answer, or with an unknown outcome.
func (c *receiverDriver) answer(a shrequest.AnswerCaller) {
	c.answered = true
	if a.Streamed {
		return
	}
	if a.Outcome != shmodel.Answered {
		c.status = problemStatus(a.Outcome, a.Reason)
		WriteProblem(c.writer, problemOf(c.status, string(a.Reason), detailOf(a.Reason), c.request.ID, a.Outcome), time.Second)
		return
	}
	if a.Replayed {
		c.writer.Header().Set(shwire.HeaderReplayed, "true")
	}
	if a.Replayed && a.Answer.Truncated {
		c.status = http.StatusOK
		WriteProblem(c.writer, problemOf(http.StatusOK, "answer too large to record",
			"the request was answered before; the recorded answer has no body", c.request.ID, a.Outcome), 0)
		return
	}
	c.status = a.Answer.Status
	in := IncomingAnswer{Status: a.Answer.Status, Header: a.Answer.Header, Body: a.Answer.Body, Length: int64(len(a.Answer.Body))}
	if c.request.Method == http.MethodHead {
		in.Length = -1
	}
	n, err := copyAnswer(c.writer, in, c.request.ID, a.Outcome, nil)
	c.answerBytes = n
	if err != nil {
		c.aborted = true
	}
}

func (c *receiverDriver) refuse(f shrequest.RefuseCaller) {
	c.answered = true
	c.status = problemStatus(shmodel.NotRun, f.Reason)
	WriteProblem(c.writer, problemOf(c.status, string(f.Reason), detailOf(f.Reason), c.request.ID, shmodel.NotRun), f.RetryAfter)
}

// problemStatus returns the HTTP status of an outcome without an answer.
func problemStatus(o shmodel.Outcome, r shrequest.Reason) int {
	if o == shmodel.Unknown {
		if r == shrequest.ReasonInProgress || r == shrequest.ReasonDeadline {
			return http.StatusGatewayTimeout
		}
		return http.StatusBadGateway
	}
	switch r {
	case shrequest.ReasonKeyConflict:
		return http.StatusUnprocessableEntity
	case shrequest.ReasonQuarantined, shrequest.ReasonSettled:
		return http.StatusConflict
	case shrequest.ReasonCallerGone, shrequest.ReasonCanceled:
		return http.StatusRequestTimeout
	}
	return http.StatusServiceUnavailable
}

func detailOf(r shrequest.Reason) string {
	switch r {
	case shrequest.ReasonKeyConflict:
		return "the idempotency key was used with another request"
	case shrequest.ReasonQuarantined:
		return "the request crashed backend servers and is not run any more"
	case shrequest.ReasonKeyUsed:
		return "the idempotency key was used before the retention period of answers"
	case shrequest.ReasonInProgress:
		return "a request with the same idempotency key is in progress"
	case shrequest.ReasonLostAnswer:
		return "the request was sent and its answer was lost"
	case shrequest.ReasonNoCapacity:
		return "no slot of a backend server is expected before the deadline"
	case shrequest.ReasonNoControl:
		return "no quorum confirmed the claim before the deadline"
	case shrequest.ReasonNoRecord:
		return "the account cannot take the record of the request"
	}
	return ""
}

// writeRecord writes an account record. If the machine awaits it, writeRecord
// posts whether the record was stored.
func (e *Entry) writeRecord(w shrequest.WriteRecord, m *mailbox) {
	w.Record.VM = e.VM
	w.Record.At = time.Now()
	if !w.Await {
		e.append(w.Record, shaccount.Deferred)
		return
	}
	level := shaccount.Copied
	if w.Durable {
		level = shaccount.Durable
	}
	e.background.Go(func() {
		if err := e.append(w.Record, level); err != nil {
			m.post(shrequest.RecordFailed{Kind: w.Record.Kind})
			return
		}
		m.post(shrequest.RecordCopied{Kind: w.Record.Kind})
	})
}

// append writes one account record and waits for its level.
func (e *Entry) append(r shrecord.Record, level shaccount.Level) error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	err := e.Account.Write(ctx, []shrecord.Record{r}, level)
	if err != nil {
		e.Log.Warn("account record was not stored as its level requires", "requestId", r.RequestID, "kind", r.Kind, "error", err)
	}
	return err
}
