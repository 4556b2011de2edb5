package shentry

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/coordination/shmemory"
	"sequoiahollow/coordination/shrequest"
	"sequoiahollow/coordination/shslot"
	"sequoiahollow/protocol/shwire"
	"sequoiahollow/state/shmodel"
)

// closeTimeout bounds the write of an account record, and commands other than
// those that open a claim or a solo run. Both may follow the deadline of the
// request, so that deadline does not bound them.
const closeTimeout = 15 * time.Second

// onceOnlyGrace is how long after the deadline of its caller the answer of
// once-only work is still waited for.
const onceOnlyGrace = 30 * time.Second

// payload is the request that is sent to the backend server, without the headers
// that the driver adds.
type payload struct {
	method string
	uri    string
	header http.Header
	body   []byte
	// memory bounds the memory of the answers; nil means no bound.
	memory *shmemory.Request
}

// executorDriver runs one shrequest.Executor and carries out its effects.
type executorDriver struct {
	entry   *Entry
	request shrequest.Request
	payload payload
	// forwarded says that another entry VM received the request. The request
	// then waits for a slot at that VM, which knows the free slots of all peers,
	// and not here.
	forwarded bool
	machine   *shrequest.Executor
	mailbox   *mailbox
	mu        sync.Mutex
	ended     bool
	slots     map[shslot.ReservationID]*Slot
	// soloRequested says that the table may keep a backend server free for a solo
	// run of the request.
	soloRequested bool
	// report is called once, with the Execution.
	report func(shrequest.Execution)
	// stream passes on an answer longer than bufferLimit and returns the number
	// of body bytes.
	stream func(IncomingAnswer) (int64, error)
	cancel context.CancelFunc
}

// start creates the machine and starts a goroutine that runs it to its end.
func (x *executorDriver) start(ctx context.Context, o shrequest.ExecutorOptions) {
	var first []shrequest.Effect
	x.machine, first = shrequest.NewExecutor(time.Now(), o)
	x.mailbox = newMailbox()
	x.slots = map[shslot.ReservationID]*Slot{}
	ctx, x.cancel = context.WithCancel(ctx)
	x.entry.background.Go(func() {
		defer x.cleanUp()
		x.carryOut(ctx, first)
		for !x.machine.Finished() {
			e := x.mailbox.next()
			x.carryOut(ctx, x.machine.Apply(time.Now(), e))
		}
	})
}

func (x *executorDriver) carryOut(ctx context.Context, effects []shrequest.Effect) {
	for _, effect := range effects {
		switch f := effect.(type) {
		case shrequest.Reserve:
			x.reserve(ctx, f.Want)
		case shrequest.Dispatch:
			go x.dispatch(ctx, f)
		case shrequest.CancelAtBackend:
			go x.cancelAtBackend(f)
		case shrequest.AskControl:
			go x.entry.proposeCommand(f.Command, x.request, x.mailbox)
		case shrequest.WriteRecord:
			x.entry.writeRecord(f, x.mailbox)
		case shrequest.StartTimer:
			startTimer(f, x.mailbox)
		case shrequest.Release:
			x.release(f.ID, f.Result)
		case shrequest.Report:
			x.report(f.Execution)
		}
	}
}

func (x *executorDriver) reserve(ctx context.Context, w shslot.ReservationRequest) {
	want := SlotRequest{
		Service: w.Service, RequestID: w.RequestID, Kind: x.request.Operation, Digest: w.Digest,
		Deadline: x.request.Deadline, Credit: w.Credit, Exclude: w.Exclude, NoWait: x.forwarded,
	}
	if w.Class == shslot.Solo {
		x.soloRequested = true
		l := x.entry.Slots.ReserveSolo(want, func() { x.mailbox.post(shrequest.SoloReady{}) })
		go x.postReservation(l)
		return
	}
	go func() {
		ctx, cancel := context.WithDeadline(ctx, x.request.Deadline)
		defer cancel()
		x.postReservation(x.entry.Slots.Acquire(ctx, want))
	}()
}

// postReservation stores a reserved slot and posts it. The slot is nil if there
// was none. If the machine has ended, the slot is released.
func (x *executorDriver) postReservation(l *Slot) {
	if l == nil {
		x.mailbox.post(shrequest.Reserved{})
		return
	}
	if !x.addSlot(l) {
		l.Release(shslot.NotDispatched, nil)
		return
	}
	x.mailbox.post(shrequest.Reserved{Reservation: l.Reservation, OK: true})
}

// addSlot stores a slot for release. It reports false if the machine has ended.
func (x *executorDriver) addSlot(l *Slot) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.ended {
		return false
	}
	x.slots[l.ID] = l
	return true
}

func (x *executorDriver) slot(id shslot.ReservationID) *Slot {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.slots[id]
}

func (x *executorDriver) release(id shslot.ReservationID, result shslot.Result) {
	x.mu.Lock()
	l := x.slots[id]
	delete(x.slots, id)
	x.mu.Unlock()
	if l != nil {
		l.Release(result, func(crashed bool) { x.mailbox.post(shrequest.CrashCheckResult{Crashed: crashed}) })
	}
}

// cleanUp releases the reservations that remain when the machine has ended.
func (x *executorDriver) cleanUp() {
	x.mailbox.close()
	x.cancel()
	x.mu.Lock()
	x.ended = true
	left := x.slots
	x.slots = nil
	x.mu.Unlock()
	for _, l := range left {
		l.Release(shslot.Abandoned, nil)
	}
	if x.soloRequested {
		x.entry.Slots.CancelSolo(x.request.ID)
	}
}

// dispatch sends an attempt to the backend server and posts the result.
func (x *executorDriver) dispatch(ctx context.Context, d shrequest.Dispatch) {
	result := x.send(ctx, d)
	x.mailbox.post(shrequest.AttemptResult{Attempt: d.Attempt, Result: result})
}

func (x *executorDriver) send(ctx context.Context, d shrequest.Dispatch) shrequest.Result {
	l := x.slot(d.Reservation.ID)
	header := x.payload.header.Clone()
	header.Set(shwire.HeaderRequestID, x.request.ID.String())
	header.Set(shwire.HeaderAttempt, strconv.FormatUint(uint64(d.Attempt), 10))
	if !d.Deadline.IsZero() {
		header.Set(shwire.HeaderDeadline, deadlineHeader(d.Deadline))
	}
	header.Set(shwire.HeaderIncarnation, strconv.FormatUint(d.Reservation.Incarnation, 10))
	late := !d.NotAfter.IsZero() && time.Now().After(d.NotAfter)
	if l == nil || late || !l.Dispatch() {
		return shrequest.NotSent{}
	}
	ctx, cancel := context.WithDeadline(ctx, x.attemptDeadline())
	defer cancel()
	in, fault := x.entry.backends.Send(ctx, OutgoingRequest{
		Address: d.Reservation.Address, Method: x.payload.method, URI: x.payload.uri, Header: header, Body: x.payload.body,
		RequestID: x.request.ID, FirstByteTimeout: x.firstByteTimeout(), NewConnection: d.NewConnection, Memory: x.payload.memory,
	})
	if fault != "" {
		return resultOf(fault)
	}
	in.BackendServer = d.Reservation.BackendServer
	result := x.receiveAnswer(in)
	if _, ok := result.(shrequest.Complete); ok {
		l.MarkAnswered()
	}
	return result
}

// firstByteTimeout returns how long an attempt may wait for its answer. An
// idempotent request keeps half of its time for a retry, since a pooled
// connection may have failed unnoticed.
func (x *executorDriver) firstByteTimeout() time.Duration {
	left := time.Until(x.attemptDeadline())
	if x.request.Operation == shmodel.Idempotent {
		return left / 2
	}
	return left
}

// attemptDeadline returns when the wait for an answer ends. For once-only work
// that is after the deadline of the caller, so that a resend finds the answer.
func (x *executorDriver) attemptDeadline() time.Time {
	if x.request.Operation == shmodel.OnceOnly {
		return x.request.Deadline.Add(onceOnlyGrace)
	}
	return x.request.Deadline
}

// receiveAnswer turns an answer into a result. It first passes on an answer that
// is longer than bufferLimit.
func (x *executorDriver) receiveAnswer(in IncomingAnswer) shrequest.Result {
	answer := shcontrol.Answer{Status: in.Status, Header: endToEndHeaders(in.Header), Body: in.Body}
	if in.Rest == nil {
		return shrequest.Complete{Answer: answer, Bytes: in.Length}
	}
	answer.Body, answer.Truncated = nil, true
	n, err := x.stream(in)
	if err != nil {
		return shrequest.ConnectionBroken{}
	}
	return shrequest.Complete{Answer: answer, Bytes: n}
}

func resultOf(f Fault) shrequest.Result {
	switch f {
	case FaultRefused:
		return shrequest.ConnectionRefused{}
	case FaultShed:
		return shrequest.Shed{}
	case FaultTimeout:
		return shrequest.FirstByteTimeout{}
	case FaultMismatch, FaultStatus, FaultMemory:
		return shrequest.IDMismatch{}
	}
	return shrequest.ConnectionBroken{}
}

func (x *executorDriver) cancelAtBackend(c shrequest.CancelAtBackend) {
	result := x.entry.cancelAttempt(c)
	x.mailbox.post(shrequest.AttemptResult{Attempt: c.Attempt, Result: result})
}

func (e *Entry) cancelAttempt(c shrequest.CancelAtBackend) shrequest.Result {
	status, err := e.backends.Cancel(context.Background(), c.Address, c.Incarnation, c.RequestID, c.Attempt)
	if err != nil {
		return shrequest.CancelFailed{}
	}
	switch status {
	case shwire.CancelNotRun:
		return shrequest.CancelNotRun{}
	case shwire.CancelRunning:
		return shrequest.CancelRunning{}
	case shwire.CancelDone, shwire.CancelUnknown:
		// After a restart of the backend server the attempt doesn't run and never
		// will, but it may have run before.
		return shrequest.CancelDone{}
	}
	return shrequest.CancelFailed{}
}

// proposeCommand proposes a command and posts its result.
func (e *Entry) proposeCommand(c shcontrol.Command, r shrequest.Request, m *mailbox) {
	deadline := time.Now().Add(closeTimeout)
	switch c.(type) {
	case shcontrol.OpenClaim, shcontrol.OpenSolo:
		// Nothing is run if there is no claim before the deadline.
		deadline = r.Deadline
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	result, err := e.Control(ctx, c)
	if err != nil {
		e.Log.Warn("command got no result", "command", fmt.Sprintf("%T", c), "requestId", r.ID, "error", err)
		m.post(shrequest.ControlResult{Command: c})
		return
	}
	m.post(shrequest.ControlResult{Command: c, Result: result})
}

func startTimer(t shrequest.StartTimer, m *mailbox) {
	time.AfterFunc(t.After, func() { m.post(shrequest.TimerFired{ID: t.ID}) })
}
