package shreplication

import (
	"cmp"
	"slices"
	"time"

	"sequoiahollow/state/shmodel"
)

// Config is the configuration of a Machine. Zero values select the defaults.
type Config struct {
	// Self is the VM of the Machine. It is not a target unless UseSelf is set.
	Self  shmodel.VM
	Place shmodel.Place
	// UseSelf permits Self, if it is listed as a target, to hold the second
	// synced copy when no other VM can. Without it a region that is cut off from
	// the others can run out of outbox space although its records are on two
	// disks.
	UseSelf bool
	// InFlight bounds the appends in progress per target. Background appends use
	// at most half of it, so that a backlog does not delay new requests.
	InFlight int
	// AppendTimeout is the timeout of an append, to which four times the distance
	// is added.
	AppendTimeout time.Duration
	// LevelTimeout is how long a submitter waits for its level at most.
	LevelTimeout time.Duration
	// InitialBackoff and MaxBackoff bound the exponential backoff of a failing
	// target.
	InitialBackoff time.Duration
	MaxBackoff     time.Duration
}

// Defaults of Config. DefaultInFlight is in appends per target.
const (
	DefaultInFlight       = 32
	DefaultAppendTimeout  = 300 * time.Millisecond
	DefaultLevelTimeout   = time.Second
	DefaultInitialBackoff = 50 * time.Millisecond
	DefaultMaxBackoff     = 5 * time.Second
)

// replicaState is the state of a batch on one target.
type replicaState uint8

const (
	none replicaState = iota
	refused
	copying
	copied
	syncing
	synced
)

// replica records the batch on one target that it was sent to. place is that of
// the target at the latest send. wasCopied says that the records arrived before
// the sync in progress.
type replica struct {
	vm        shmodel.VM
	place     shmodel.Place
	state     replicaState
	wasCopied bool
	// retryAt is when the batch is sent again to a target that refused it.
	retryAt time.Time
}

// batch is a pending batch.
type batch struct {
	id       uint64
	level    Level
	deadline time.Time
	// notified is set once the submitter got Reached or GaveUp.
	notified bool
	replicas []replica
}

// Machine decides where batches are copied. Use New.
type Machine struct {
	config  Config
	targets map[shmodel.VM]*target
	// order holds the targets in order of preference.
	order   []*target
	batches map[uint64]*batch
	// pending and waiting hold batch numbers in ascending order: those of all
	// batches, and those of batches that lack a target.
	pending []uint64
	waiting []uint64
	// nextScan is the batch number at which the next scan of waiting starts.
	nextScan uint64
	// awaited holds the batches whose submitter waits, in order of submission.
	awaited []uint64
	effects []Effect
}

// New returns a Machine without targets.
func New(config Config) *Machine {
	config.InFlight = cmp.Or(config.InFlight, DefaultInFlight)
	config.AppendTimeout = cmp.Or(config.AppendTimeout, DefaultAppendTimeout)
	config.LevelTimeout = cmp.Or(config.LevelTimeout, DefaultLevelTimeout)
	config.InitialBackoff = cmp.Or(config.InitialBackoff, DefaultInitialBackoff)
	config.MaxBackoff = cmp.Or(config.MaxBackoff, DefaultMaxBackoff)
	return &Machine{
		config:  config,
		targets: make(map[shmodel.VM]*target),
		batches: make(map[uint64]*batch),
	}
}

// Handle processes an event and returns the effects in their order.
func (m *Machine) Handle(now time.Time, event Event) []Effect {
	m.effects = nil
	switch e := event.(type) {
	case TargetsChanged:
		m.changeTargets(now, e.Targets)
	case Submitted:
		m.submit(now, e)
	case Appended:
		m.appended(now, e)
	case AppendFailed:
		m.appendFailed(now, e)
	case Tick:
	}
	m.expireAwaited(now)
	m.placeWaiting(now)
	return m.effects
}

// Pending returns the number of pending batches.
func (m *Machine) Pending() int { return len(m.pending) }

// Oldest returns the lowest number of a pending batch, or next if none is
// pending.
func (m *Machine) Oldest(next uint64) uint64 {
	if len(m.pending) == 0 {
		return next
	}
	return m.pending[0]
}

// Next returns when the next Tick is due. It reports false if none is needed.
func (m *Machine) Next(now time.Time) (time.Time, bool) {
	var next time.Time
	consider := func(t time.Time) {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	if len(m.awaited) > 0 {
		consider(m.batches[m.awaited[0]].deadline)
	}
	if len(m.waiting) > 0 {
		consider(now.Add(m.config.InitialBackoff))
		for _, t := range m.order {
			if t.backoffUntil.After(now) {
				consider(t.backoffUntil)
			}
		}
	}
	return next, !next.IsZero()
}

func (m *Machine) submit(now time.Time, e Submitted) {
	b := &batch{id: e.Batch, level: e.Level, deadline: now.Add(m.config.LevelTimeout)}
	m.batches[e.Batch] = b
	m.pending = append(m.pending, e.Batch)
	if e.Level == Deferred {
		m.notify(b, Reached{Batch: b.id})
	} else {
		m.awaited = append(m.awaited, b.id)
	}
	m.place(now, b)
}

// notify returns the result of a batch to its submitter, once.
func (m *Machine) notify(b *batch, result Effect) {
	if b.notified {
		return
	}
	b.notified = true
	m.effects = append(m.effects, result)
	m.awaited = remove(m.awaited, b.id)
}

// remove removes id from a list in ascending order.
func remove(list []uint64, id uint64) []uint64 {
	if at, ok := slices.BinarySearch(list, id); ok {
		return slices.Delete(list, at, at+1)
	}
	return list
}

// expireAwaited notifies the submitters whose LevelTimeout has passed.
func (m *Machine) expireAwaited(now time.Time) {
	for len(m.awaited) > 0 {
		b := m.batches[m.awaited[0]]
		if now.Before(b.deadline) {
			return
		}
		m.notify(b, GaveUp{Batch: b.id})
	}
}

func (b *batch) replica(vm shmodel.VM) *replica {
	for i := range b.replicas {
		if b.replicas[i].vm == vm {
			return &b.replicas[i]
		}
	}
	return nil
}

func (m *Machine) appended(now time.Time, e Appended) {
	if t := m.targets[e.Target]; t != nil {
		t.inFlight = max(0, t.inFlight-1)
		t.failures, t.backoffUntil = 0, time.Time{}
	}
	b := m.batches[e.Batch]
	if b == nil {
		return
	}
	if r := b.replica(e.Target); r != nil && m.targets[e.Target] != nil {
		r.state = max(r.state, copied)
		if e.Synced {
			r.state = synced
		} else if r.state == syncing {
			r.state = copied
		}
	}
	m.place(now, b)
}

func (m *Machine) appendFailed(now time.Time, e AppendFailed) {
	t := m.targets[e.Target]
	if t != nil {
		t.inFlight = max(0, t.inFlight-1)
	}
	if t != nil && e.Reason == TargetFailed && t.usable(now) {
		// Appends that were sent together fail together; only the first failure
		// lengthens the backoff.
		backoff := min(m.config.InitialBackoff<<min(t.failures, 16), m.config.MaxBackoff)
		t.failures++
		t.backoffUntil = now.Add(backoff)
	}
	b := m.batches[e.Batch]
	if b == nil {
		return
	}
	if r := b.replica(e.Target); r != nil {
		m.failReplica(now, r, e.Reason)
	}
	m.place(now, b)
}

func (m *Machine) failReplica(now time.Time, r *replica, reason Failure) {
	switch {
	case reason == BatchRefused:
		r.state = refused
		r.retryAt = now.Add(m.config.MaxBackoff)
	case r.state == syncing && r.wasCopied && reason == TargetFailed:
		r.state = copied
	case r.state == syncing || r.state == copying:
		r.state = none
	}
}

// reached reports whether b has reached its level.
func (m *Machine) reached(b *batch) bool {
	switch b.level {
	case Copied:
		return slices.ContainsFunc(b.replicas, func(r replica) bool {
			return r.place != m.config.Place && (r.state == copied || r.state == synced || r.state == syncing && r.wasCopied)
		})
	case Durable:
		return b.complete()
	}
	return true
}

// complete reports whether targets in two failure domains have synced b.
func (b *batch) complete() bool {
	var first *replica
	for i, r := range b.replicas {
		if r.state != synced {
			continue
		}
		if first != nil && first.place != r.place {
			return true
		}
		if first == nil {
			first = &b.replicas[i]
		}
	}
	return false
}

func (m *Machine) release(b *batch) {
	targets := make([]shmodel.VM, len(b.replicas))
	for i, r := range b.replicas {
		targets[i] = r.vm
	}
	delete(m.batches, b.id)
	m.pending = remove(m.pending, b.id)
	m.waiting = remove(m.waiting, b.id)
	m.effects = append(m.effects, Released{Batch: b.id, Targets: targets})
}
