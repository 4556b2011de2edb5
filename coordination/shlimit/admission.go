package shlimit

import (
	"slices"
	"time"

	"sequoiahollow/state/shmodel"
)

const (
	// defaultMaxQueue bounds the length of each queue if MaxQueue is not set.
	defaultMaxQueue = 1000

	// onceOnlyInterval makes every fifth start a once-only request while one
	// waits, so that constant idempotent requests do not starve once-only work.
	onceOnlyInterval = 5

	// serviceTimeWeight is the weight of a new service time in the exponentially
	// weighted moving average.
	serviceTimeWeight = 0.1
)

// Event is an input of an Admission. The set is closed.
type Event interface{ event() }

// Arrive reports a new request.
type Arrive struct {
	ID       shmodel.RequestID
	Kind     shmodel.OperationKind
	Deadline time.Time
}

// Finish reports that a started request has ended, which frees its slot.
type Finish struct{ ID shmodel.RequestID }

// Abandon reports that the caller of a waiting request has left. It has no
// effect on a started request.
type Abandon struct{ ID shmodel.RequestID }

// Resize sets the number of slots. Running requests keep their slots.
type Resize struct{ Slots int }

// Tick makes the Admission refuse requests whose deadline has passed.
type Tick struct{}

func (Arrive) event()  {}
func (Finish) event()  {}
func (Abandon) event() {}
func (Resize) event()  {}
func (Tick) event()    {}

// Effect is a decision that the user of an Admission carries out. The set is
// closed.
type Effect interface{ effect() }

// Start assigns a slot to a request, which holds it until Finish.
type Start struct{ ID shmodel.RequestID }

// Refuse rejects a request, which has not run. Wait is the expected wait of a
// new idempotent request.
type Refuse struct {
	ID     shmodel.RequestID
	Reason RefuseReason
	Wait   time.Duration
}

func (Start) effect()  {}
func (Refuse) effect() {}

// RefuseReason says why a request was refused.
type RefuseReason string

// Values of RefuseReason.
const (
	// TooLate says that the request cannot be answered within its deadline.
	TooLate RefuseReason = "too-late"
	// QueueFull says that the queue of its kind is full.
	QueueFull RefuseReason = "queue-full"
)

// Admission decides which requests run, wait or are refused. Idempotent requests
// and once-only work wait in separate queues, so that neither fills the queue of
// the other. Idempotent requests go first, but every fifth start is once-only
// work if some waits. An idempotent request that would not be answered in time is
// refused at once; once-only work is refused at its deadline.
type Admission struct {
	// MaxQueue bounds each queue; 0 selects 1,000.
	MaxQueue int

	slots      int
	running    map[shmodel.RequestID]time.Time
	idempotent []Arrive
	onceOnly   []Arrive
	// startsSinceOnceOnly counts the starts of idempotent requests while
	// once-only work waits.
	startsSinceOnceOnly int
	// serviceTime is the moving average of how long a request holds a slot.
	serviceTime time.Duration
}

// Handle takes an event and returns the effects in their order.
func (a *Admission) Handle(now time.Time, e Event) []Effect {
	var effects []Effect
	switch e := e.(type) {
	case Arrive:
		effects = a.arrive(now, e)
	case Finish:
		a.finish(now, e.ID)
	case Abandon:
		a.abandon(e.ID)
	case Resize:
		a.slots = max(0, e.Slots)
	case Tick:
		effects = a.refuseLate(now)
	}
	return append(effects, a.startWaiting(now)...)
}

// Waiting returns the lengths of the queues.
func (a *Admission) Waiting() (idempotent, onceOnly int) { return len(a.idempotent), len(a.onceOnly) }

// ExpectedWait returns how long a new idempotent request would wait for a slot.
func (a *Admission) ExpectedWait() time.Duration {
	waiting := len(a.idempotent)
	if len(a.onceOnly) > 0 {
		waiting += min(len(a.onceOnly), waiting/(onceOnlyInterval-1)+1)
	}
	if a.slots == 0 {
		return a.serviceTime * time.Duration(waiting+1)
	}
	if len(a.running)+waiting < a.slots {
		return 0
	}
	return a.serviceTime * time.Duration(waiting+1) / time.Duration(a.slots)
}

func (a *Admission) arrive(now time.Time, e Arrive) []Effect {
	wait := a.ExpectedWait()
	if !now.Before(e.Deadline) {
		return []Effect{Refuse{ID: e.ID, Reason: TooLate, Wait: wait}}
	}
	queue := a.queue(e.Kind)
	if len(*queue) >= a.maxQueue() {
		return []Effect{Refuse{ID: e.ID, Reason: QueueFull, Wait: wait}}
	}
	// A request that need not wait runs even if it is expected to take too long:
	// the average service time would otherwise never be corrected.
	late := wait > 0 && now.Add(wait+a.serviceTime).After(e.Deadline)
	if e.Kind != shmodel.OnceOnly && late {
		return []Effect{Refuse{ID: e.ID, Reason: TooLate, Wait: wait}}
	}
	*queue = append(*queue, e)
	return nil
}

func (a *Admission) finish(now time.Time, id shmodel.RequestID) {
	started, ok := a.running[id]
	if !ok {
		return
	}
	delete(a.running, id)
	took := now.Sub(started)
	if a.serviceTime == 0 {
		a.serviceTime = took
	}
	a.serviceTime += time.Duration(serviceTimeWeight * float64(took-a.serviceTime))
}

func (a *Admission) abandon(id shmodel.RequestID) {
	left := func(e Arrive) bool { return e.ID == id }
	a.idempotent = slices.DeleteFunc(a.idempotent, left)
	a.onceOnly = slices.DeleteFunc(a.onceOnly, left)
}

// refuseLate refuses waiting requests whose deadline passed.
func (a *Admission) refuseLate(now time.Time) []Effect {
	var effects []Effect
	late := func(e Arrive) bool {
		if now.Before(e.Deadline) {
			return false
		}
		effects = append(effects, Refuse{ID: e.ID, Reason: TooLate, Wait: a.ExpectedWait()})
		return true
	}
	a.idempotent = slices.DeleteFunc(a.idempotent, late)
	a.onceOnly = slices.DeleteFunc(a.onceOnly, late)
	return effects
}

// startWaiting fills free slots from the queues.
func (a *Admission) startWaiting(now time.Time) []Effect {
	var effects []Effect
	for len(a.running) < a.slots {
		e, ok := a.next()
		if !ok {
			break
		}
		if !now.Before(e.Deadline) {
			effects = append(effects, Refuse{ID: e.ID, Reason: TooLate, Wait: a.ExpectedWait()})
			continue
		}
		if a.running == nil {
			a.running = map[shmodel.RequestID]time.Time{}
		}
		a.running[e.ID] = now
		effects = append(effects, Start{ID: e.ID})
	}
	return effects
}

// next removes and returns the request to start next.
func (a *Admission) next() (Arrive, bool) {
	queue := &a.idempotent
	if len(a.onceOnly) > 0 {
		a.startsSinceOnceOnly++
		if len(a.idempotent) == 0 || a.startsSinceOnceOnly >= onceOnlyInterval {
			a.startsSinceOnceOnly = 0
			queue = &a.onceOnly
		}
	}
	if len(*queue) == 0 {
		return Arrive{}, false
	}
	e := (*queue)[0]
	*queue = (*queue)[1:]
	return e, true
}

func (a *Admission) queue(k shmodel.OperationKind) *[]Arrive {
	if k == shmodel.OnceOnly {
		return &a.onceOnly
	}
	return &a.idempotent
}

func (a *Admission) maxQueue() int {
	if a.MaxQueue <= 0 {
		return defaultMaxQueue
	}
	return a.MaxQueue
}
