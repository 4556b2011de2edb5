package shrequest

import (
	"container/heap"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/coordination/shrouting"
	"sequoiahollow/coordination/shslot"
	"sequoiahollow/state/shmodel"
)

const (
	ms = time.Millisecond
	// clockError is more than the 140 ms by which two fake clocks may differ.
	clockError = 150 * ms
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// action is a step of a simulation, scheduled at a simulated time. Actions with
// equal times run in the order in which they were scheduled.
type action struct {
	at    time.Duration
	order int
	do    func()
}

type actions []action

func (a actions) Len() int { return len(a) }
func (a actions) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].order < a[j].order
}
func (a actions) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *actions) Push(x any)   { *a = append(*a, x.(action)) }
func (a *actions) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// fakeVM runs Receivers and Executors. While it is paused events wait; when it
// is dead they are lost.
type fakeVM struct {
	name        shmodel.VM
	skew        time.Duration
	pausedUntil time.Duration
	dead        bool
}

type runID struct {
	id      shmodel.RequestID
	attempt uint32
}

// fakeBackend runs attempts, refuses those that were cancelled or are past their
// deadline, and loses its state in a restart.
type fakeBackend struct {
	incarnation uint64
	skew        time.Duration
	downUntil   time.Duration
	ends        map[runID]time.Duration
	canceled    map[runID]bool
}

// sim simulates VMs, backend servers and control with faults. It counts what
// really ran, for comparison with the outcomes.
type sim struct {
	t        *testing.T
	rand     *rand.Rand
	now      time.Duration
	order    int
	queue    actions
	vms      []*fakeVM
	backends []*fakeBackend
	control  *fakeControl
	// faults scales all fault probabilities.
	faults float64
	// crashDigests are the digests of requests that crash backend servers.
	crashDigests map[shmodel.Digest]bool
	// runs and keyRuns count starts at backend servers.
	runs     map[shmodel.RequestID]int
	keyRuns  map[string]int
	crashes  int
	outcomes map[shmodel.RequestID]Effect
	requests map[shmodel.RequestID]Request
}

func newSim(t *testing.T, seed int64, faults float64) *sim {
	s := &sim{
		t: t, rand: rand.New(rand.NewSource(seed)), faults: faults,
		control: newFakeControl(), crashDigests: map[shmodel.Digest]bool{},
		runs: map[shmodel.RequestID]int{}, keyRuns: map[string]int{},
		outcomes: map[shmodel.RequestID]Effect{}, requests: map[shmodel.RequestID]Request{},
	}
	for i := range 3 {
		s.vms = append(s.vms, &fakeVM{name: shmodel.VM(fmt.Sprint("vm", i)), skew: s.between(-70, 70)})
		s.backends = append(s.backends, &fakeBackend{
			incarnation: 1,
			skew:        s.between(-70, 70),
			ends:        map[runID]time.Duration{},
			canceled:    map[runID]bool{},
		})
	}
	return s
}

func (s *sim) between(low, high int) time.Duration {
	return time.Duration(low+s.rand.Intn(high-low+1)) * ms
}

func (s *sim) fault(probability float64) bool { return s.rand.Float64() < probability*s.faults }

func (s *sim) after(d time.Duration, do func()) {
	s.order++
	heap.Push(&s.queue, action{at: s.now + d, order: s.order, do: do})
}

func (s *sim) run(until time.Duration) {
	for len(s.queue) > 0 {
		a := heap.Pop(&s.queue).(action)
		if a.at > until {
			return
		}
		s.now = a.at
		a.do()
	}
}

// wall returns the time on a clock with the given skew. The skew is constant, so
// the clock is monotonic too.
func (s *sim) wall(skew time.Duration) time.Time { return start.Add(s.now + skew) }

// machine is a Receiver or an Executor and its driver on a VM.
type machine struct {
	vm       *fakeVM
	number   uint32
	apply    func(time.Time, Event) []Effect
	carryOut func(Effect)
}

// deliver delivers an event to a machine. It is lost if the VM is dead and waits
// while the VM is paused.
func (s *sim) deliver(m *machine, e Event) {
	if m.vm.dead {
		return
	}
	if s.now < m.vm.pausedUntil {
		s.after(m.vm.pausedUntil-s.now+s.between(0, 20), func() { s.deliver(m, e) })
		return
	}
	for _, out := range m.apply(s.wall(m.vm.skew), e) {
		m.carryOut(out)
	}
}

func (s *sim) deliverLater(m *machine, low, high int, e Event) {
	s.after(s.between(low, high), func() { s.deliver(m, e) })
}

// propose lets control apply a command. The answer may be lost although the
// command is applied, possibly long afterwards.
func (s *sim) propose(m *machine, c shcontrol.Command) {
	delay := s.between(1, 20)
	if s.fault(0.05) {
		delay = s.between(100, 900)
	}
	lost := s.fault(0.1)
	if s.fault(0.05) {
		s.deliverLater(m, 300, 300, ControlResult{Command: c})
		return
	}
	s.after(delay, func() {
		result := s.control.apply(c)
		if lost || delay > 300*ms {
			result = nil
		}
		s.deliverLater(m, 1, 10, ControlResult{Command: c, Result: result})
	})
	if delay > 300*ms {
		s.deliverLater(m, 300, 300, ControlResult{Command: c})
	}
}

// receive starts a Receiver for a request that a caller sends.
func (s *sim) receive(q Request, suspect shcontrol.SuspectStatus, hedge time.Duration) *machine {
	vm := s.vms[0]
	s.requests[q.ID] = q
	r := NewReceiver(ReceiverOptions{Request: q, VM: vm.name, Region: "r", ClockError: clockError})
	m := &machine{vm: vm, apply: r.Apply}
	executors := map[uint32]*machine{}
	m.carryOut = func(e Effect) { s.carryOutForReceiver(m, q, executors, e) }
	s.deliver(m, Admitted{Suspect: suspect, HedgeAfter: hedge})
	return m
}

func (s *sim) carryOutForReceiver(m *machine, q Request, executors map[uint32]*machine, e Effect) {
	switch e := e.(type) {
	case WriteRecord:
		if e.Await && s.fault(0.02) {
			s.deliverLater(m, 1, 5, RecordFailed{Kind: e.Record.Kind})
		} else if e.Await {
			s.deliverLater(m, 1, 5, RecordCopied{Kind: e.Record.Kind})
		}
	case Choose:
		s.deliverLater(m, 0, 0, ChoiceMade{ID: e.ID, Choice: s.choose()})
	case Execute:
		executors[e.Attempt] = s.execute(m, q, s.vms[0], e.Attempt, e.Solo)
	case Forward:
		for _, vm := range s.vms {
			if vm.name == e.VM {
				s.forward(m, q, executors, vm, e)
			}
		}
	case CancelAttempt:
		if x := executors[e.Attempt]; x != nil {
			s.deliverLater(x, 1, 5, CallerGone{})
		}
	case AskControl:
		s.propose(m, e.Command)
	case CancelAtBackend:
		s.cancel(m, e)
	case StartTimer:
		s.after(e.After, func() { s.deliver(m, TimerFired{ID: e.ID}) })
	case AnswerCaller, RefuseCaller, AbortCaller:
		assert.Assert(s.t, s.outcomes[q.ID] == nil, "request %v got two outcomes", q.ID)
		s.outcomes[q.ID] = e
		if a, ok := e.(AnswerCaller); ok && a.Outcome == shmodel.Answered {
			assert.Equal(s.t, string(a.Answer.Body), s.wantBody(q), "answer to another request")
		}
	}
}

// wantBody returns the body of the right answer to a request.
func (s *sim) wantBody(q Request) string {
	if q.Operation == shmodel.OnceOnly {
		return q.Key
	}
	return q.ID.String()
}

func (s *sim) choose() shrouting.Choice {
	switch n := s.rand.Intn(8); {
	case n < 3:
		return shrouting.ServeOwn{}
	case n < 7:
		return shrouting.Forward{VM: s.vms[1+n%2].name}
	default:
		return shrouting.Wait{Expected: 10 * ms}
	}
}

// forward starts an Executor on another VM. The connection may be refused, break
// so that the request arrives late and its report is lost, or carry an answer to
// another request.
func (s *sim) forward(m *machine, q Request, executors map[uint32]*machine, vm *fakeVM, f Forward) {
	if vm.dead || s.fault(0.05) {
		s.deliverLater(m, 1, 3, AttemptResult{Attempt: f.Attempt, Result: ConnectionRefused{}})
		return
	}
	if s.fault(0.1) {
		s.deliverLater(m, 1, 3, AttemptResult{Attempt: f.Attempt, Result: ConnectionBroken{}})
		s.after(s.between(1, 1500), func() { s.execute(nil, q, vm, f.Attempt, f.Solo) })
		return
	}
	if s.fault(0.1) {
		s.deliverLater(m, 20, 600, AttemptResult{Attempt: f.Attempt, Result: IDMismatch{}})
	}
	executors[f.Attempt] = s.execute(m, q, vm, f.Attempt, f.Solo)
}

// execute starts an Executor. It reports to the Receiver from, which is nil if
// their connection is broken.
func (s *sim) execute(from *machine, q Request, vm *fakeVM, number uint32, solo bool) *machine {
	m := &machine{vm: vm, number: number}
	o := ExecutorOptions{Request: q, Attempt: number, VM: vm.name, ClockError: clockError}
	if solo {
		o.Class = shslot.Solo
	}
	m.carryOut = func(e Effect) { s.carryOutForExecutor(m, from, q, e) }
	begin := func(now time.Time, _ Event) []Effect {
		x, out := NewExecutor(now, o)
		m.apply = x.Apply
		return out
	}
	m.apply = begin
	s.deliver(m, nil)
	return m
}

func (s *sim) carryOutForExecutor(m, from *machine, q Request, e Effect) {
	switch e := e.(type) {
	case Reserve:
		b := s.rand.Intn(len(s.backends))
		r := shslot.Reservation{ID: 1, Address: fmt.Sprint(b), BackendServer: shmodel.BackendServer(fmt.Sprint(b)), Incarnation: s.backends[b].incarnation}
		s.deliverLater(m, 0, 0, Reserved{Reservation: r, OK: s.rand.Intn(10) > 0})
	case Dispatch:
		s.dispatch(m, q, e)
	case CancelAtBackend:
		s.cancel(m, e)
	case AskControl:
		s.propose(m, e.Command)
	case Release:
		if e.Result == shslot.Broken {
			s.after(1800*ms, func() { s.deliver(m, CrashCheckResult{Crashed: s.crashDigests[q.Digest]}) })
		}
	case StartTimer:
		s.after(e.After, func() { s.deliver(m, TimerFired{ID: e.ID}) })
	case Report:
		if from != nil {
			s.deliverLater(from, 1, 5, AttemptResult{Attempt: m.number, Result: Executed(e)})
		}
	}
}

// dispatch checks NotAfter, as a driver must, and sends. The VM may be paused
// before the check. A long delay of the request stands for a VM that is paused
// between the check and the write.
func (s *sim) dispatch(m *machine, q Request, d Dispatch) {
	if s.fault(0.05) {
		m.vm.pausedUntil = s.now + s.between(1, 2000)
	}
	var write func()
	write = func() {
		switch {
		case m.vm.dead:
		case s.now < m.vm.pausedUntil:
			s.after(m.vm.pausedUntil-s.now, write)
		case s.wall(m.vm.skew).After(d.NotAfter):
			s.deliver(m, AttemptResult{Attempt: d.Attempt, Result: NotSent{}})
		default:
			delay := s.between(1, 3)
			if s.fault(0.15) {
				delay = s.between(1, 1500)
			}
			s.after(delay, func() { s.send(m, q, d) })
		}
	}
	s.after(ms, write)
}

func (s *sim) backend(address string) *fakeBackend {
	var i int
	_, err := fmt.Sscan(address, &i)
	assert.NilError(s.t, err)
	return s.backends[i]
}

func (s *sim) send(m *machine, q Request, d Dispatch) {
	reply := func(low, high int, r Result) {
		s.deliverLater(m, low, high, AttemptResult{Attempt: d.Attempt, Result: r})
	}
	b := s.backend(d.Reservation.Address)
	switch {
	case s.now < b.downUntil || s.fault(0.05):
		reply(1, 3, ConnectionRefused{})
	case s.fault(0.1):
		// The connection breaks, but the request arrives later.
		reply(1, 3, ConnectionBroken{})
		s.after(s.between(1, 400), func() { s.arrive(b, q, d, func(int, int, Result) {}) })
	default:
		s.arrive(b, q, d, reply)
	}
}

func (s *sim) arrive(b *fakeBackend, q Request, d Dispatch, reply func(int, int, Result)) {
	id := runID{id: q.ID, attempt: d.Attempt}
	if s.now < b.downUntil {
		reply(1, 3, ConnectionBroken{})
		return
	}
	// Once-only work must not run twice even if the backend server has lost its
	// state, so cancellations and incarnations are ignored for such work.
	forgets := q.Operation == shmodel.OnceOnly
	stale := !forgets && (b.canceled[id] || b.incarnation != d.Reservation.Incarnation)
	if s.wall(b.skew).After(d.Deadline) || stale || s.fault(0.1) {
		reply(1, 3, Shed{})
		return
	}
	s.runs[q.ID]++
	s.keyRuns[q.Key]++
	if s.crashDigests[q.Digest] {
		s.crashes++
		s.restart(b, 800*ms)
		reply(1, 3, ConnectionBroken{})
		return
	}
	length := s.between(5, 100)
	if s.fault(0.1) {
		length = s.between(100, 1500)
	}
	b.ends[id] = s.now + length
	low := int(length / ms)
	incarnation := b.incarnation
	s.after(length, func() {
		if b.incarnation != incarnation {
			reply(0, 2, ConnectionBroken{})
		}
	})
	switch lost := s.rand.Intn(3); {
	case !s.fault(0.2):
		s.after(length, func() {
			if b.incarnation == incarnation {
				reply(1, 3, Complete{Answer: shcontrol.Answer{Status: 200, Body: []byte(s.wantBody(q))}})
			}
		})
	case lost == 0:
		reply(1, low+3, ConnectionBroken{})
	case lost == 1:
		reply(1, low+3, FirstByteTimeout{})
	default:
		reply(low+1, low+3, IDMismatch{})
	}
}

// restart gives a backend server a new incarnation without the runs and
// cancellations of the one before.
func (s *sim) restart(b *fakeBackend, down time.Duration) {
	b.incarnation++
	b.downUntil = s.now + down
	b.ends, b.canceled = map[runID]time.Duration{}, map[runID]bool{}
}

func (s *sim) cancel(m *machine, c CancelAtBackend) {
	reply := func(r Result) { s.deliverLater(m, 1, 3, AttemptResult{Attempt: c.Attempt, Result: r}) }
	s.after(s.between(1, 3), func() {
		b := s.backend(c.Address)
		id := runID{id: c.RequestID, attempt: c.Attempt}
		end, ran := b.ends[id]
		switch {
		case s.now < b.downUntil || s.fault(0.2):
			reply(CancelFailed{})
		case b.incarnation != c.Incarnation:
			reply(CancelDone{})
		case ran && s.now < end:
			reply(CancelRunning{})
		case ran:
			reply(CancelDone{})
		default:
			b.canceled[id] = true
			reply(CancelNotRun{})
		}
	})
}

// fakeControl applies claim and solo commands one after the other, as the
// replicated state of control does.
type fakeControl struct {
	claims    map[shmodel.ClaimKey]*shcontrol.ClaimResult
	forbidden map[shmodel.RequestID]bool
	solo      map[shmodel.Digest]shmodel.RequestID
}

func newFakeControl() *fakeControl {
	return &fakeControl{
		claims:    map[shmodel.ClaimKey]*shcontrol.ClaimResult{},
		forbidden: map[shmodel.RequestID]bool{},
		solo:      map[shmodel.Digest]shmodel.RequestID{},
	}
}

func (f *fakeControl) apply(c shcontrol.Command) shcontrol.Result {
	switch c := c.(type) {
	case shcontrol.OpenClaim:
		return f.open(c)
	case shcontrol.CloseClaim:
		claim := f.claims[c.Key]
		if claim == nil {
			return shcontrol.Rejected{Reason: "no claim"}
		}
		if claim.RequestID == c.RequestID && claim.Attempt.Number == c.Attempt && claim.Status == shcontrol.ClaimInProgress {
			claim.Status = shcontrol.ClaimStatus(c.Outcome)
			claim.Answer = c.Answer
		}
		return *claim
	case shcontrol.SettleClaim:
		claim := f.claims[c.Key]
		if claim == nil || claim.RequestID != c.RequestID {
			f.forbidden[c.RequestID] = true
		}
		if claim == nil {
			return shcontrol.ClaimResult{Status: shcontrol.ClaimForbidden}
		}
		return *claim
	case shcontrol.OpenSolo:
		if by, busy := f.solo[c.Digest]; busy && by != c.RequestID {
			return shcontrol.SuspectResult{Statuses: []shcontrol.SuspectStatus{shcontrol.SuspectBusy}}
		}
		f.solo[c.Digest] = c.RequestID
		return shcontrol.SuspectResult{Statuses: []shcontrol.SuspectStatus{shcontrol.SuspectGranted}}
	case shcontrol.CloseSolo:
		delete(f.solo, c.Digest)
		return shcontrol.SuspectResult{Statuses: []shcontrol.SuspectStatus{shcontrol.SuspectSolo}}
	}
	return nil
}

func (f *fakeControl) open(c shcontrol.OpenClaim) shcontrol.Result {
	claim := f.claims[c.Key]
	if f.forbidden[c.RequestID] {
		return shcontrol.ClaimResult{Status: shcontrol.ClaimForbidden}
	}
	if claim != nil {
		again := claim.RequestID == c.RequestID && claim.Attempt.Number >= c.Attempt.Number
		if claim.Status != shcontrol.ClaimNotRun || again {
			return *claim
		}
	}
	opened := shcontrol.ClaimResult{Status: shcontrol.ClaimInProgress, RequestID: c.RequestID, Attempt: c.Attempt}
	f.claims[c.Key] = &opened
	granted := opened
	granted.Status = shcontrol.ClaimGranted
	return granted
}
