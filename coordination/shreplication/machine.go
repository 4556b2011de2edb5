package shreplication

import (
	"cmp"
	"slices"
	"time"

	"sequoiahollow/state/shmodel"
)

// Config is the configuration of a Machine. Zero values select the defaults.
type Config struct {
	// Self is the VM of the machine. It is no target unless UseSelf is set.
	Self  shmodel.VM
	Place shmodel.Place
	// UseSelf permits Self, if it is listed as a target, to hold the second
	// synced copy when no other VM can. Without it a region that is cut off can
	// run out of outbox space although its records are on two disks.
	UseSelf bool
	// InFlight bounds the appends in progress per target. Background appends
	// use half of it, so that a backlog does not delay new requests.
	InFlight int
	// Timeout bounds an append, in addition to four times the distance.
	Timeout time.Duration
	// GiveUp is the longest time that a submitter waits for its level.
	GiveUp time.Duration
	// FirstPause and LongestPause bound the pauses of a failing target.
	FirstPause   time.Duration
	LongestPause time.Duration
}

// Defaults of Config. DefaultInFlight is in appends per target.
const (
	DefaultInFlight     = 32
	DefaultTimeout      = 300 * time.Millisecond
	DefaultGiveUp       = time.Second
	DefaultFirstPause   = 50 * time.Millisecond
	DefaultLongestPause = 5 * time.Second
)

// state is what a target holds of a batch.
type state uint8

const (
	none state = iota
	refused
	copying
	copied
	syncing
	synced
)

// holder is a target that was sent a batch. Its place is that of the first
// send. wasCopied says that the records arrived before the sync in progress.
type holder struct {
	vm        shmodel.VM
	domain    shmodel.Place
	state     state
	wasCopied bool
	// retryAt is when a target that refused the batch is tried again.
	retryAt time.Time
}

// batch is a batch that is owed.
type batch struct {
	id      uint64
	level   Level
	giveUp  time.Time
	settled bool
	holders []holder
}

// Machine decides where batches are copied. Use New.
type Machine struct {
	config  Config
	targets map[shmodel.VM]*target
	// order holds the targets by preference.
	order   []*target
	batches map[uint64]*batch
	// owed and waiting hold batch numbers, ascending: all batches, and those
	// that no target could be found for.
	owed    []uint64
	waiting []uint64
	// scanFrom is the batch number at which the next scan of waiting starts.
	scanFrom uint64
	// unsettled holds the batches whose submitter waits, by time of submission.
	unsettled []uint64
	effects   []Effect
}

// New returns a Machine without targets.
func New(config Config) *Machine {
	config.InFlight = cmp.Or(config.InFlight, DefaultInFlight)
	config.Timeout = cmp.Or(config.Timeout, DefaultTimeout)
	config.GiveUp = cmp.Or(config.GiveUp, DefaultGiveUp)
	config.FirstPause = cmp.Or(config.FirstPause, DefaultFirstPause)
	config.LongestPause = cmp.Or(config.LongestPause, DefaultLongestPause)
	return &Machine{
		config:  config,
		targets: make(map[shmodel.VM]*target),
		batches: make(map[uint64]*batch),
	}
}

// Handle applies an event and returns what is to be done.
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
	m.giveUp(now)
	m.placeWaiting(now)
	return m.effects
}

// Owed returns the number of batches that are owed.
func (m *Machine) Owed() int { return len(m.owed) }

// Oldest returns the lowest batch number that is owed, or next if none is.
func (m *Machine) Oldest(next uint64) uint64 {
	if len(m.owed) == 0 {
		return next
	}
	return m.owed[0]
}

// Next returns when the machine wants a Tick, if it does.
func (m *Machine) Next(now time.Time) (time.Time, bool) {
	var next time.Time
	consider := func(t time.Time) {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	if len(m.unsettled) > 0 {
		consider(m.batches[m.unsettled[0]].giveUp)
	}
	if len(m.waiting) > 0 {
		consider(now.Add(m.config.FirstPause))
		for _, t := range m.order {
			if t.pausedUntil.After(now) {
				consider(t.pausedUntil)
			}
		}
	}
	return next, !next.IsZero()
}

func (m *Machine) submit(now time.Time, e Submitted) {
	b := &batch{id: e.Batch, level: e.Level, giveUp: now.Add(m.config.GiveUp)}
	m.batches[e.Batch] = b
	m.owed = append(m.owed, e.Batch)
	if e.Level == Deferred {
		m.settle(b, Reached{Batch: b.id})
	} else {
		m.unsettled = append(m.unsettled, b.id)
	}
	m.place(now, b)
}

// settle tells the submitter of a batch the result, once.
func (m *Machine) settle(b *batch, result Effect) {
	if b.settled {
		return
	}
	b.settled = true
	m.effects = append(m.effects, result)
	m.unsettled = remove(m.unsettled, b.id)
}

// remove removes id from an ascending list.
func remove(list []uint64, id uint64) []uint64 {
	if at, ok := slices.BinarySearch(list, id); ok {
		return slices.Delete(list, at, at+1)
	}
	return list
}

func (m *Machine) giveUp(now time.Time) {
	for len(m.unsettled) > 0 {
		b := m.batches[m.unsettled[0]]
		if now.Before(b.giveUp) {
			return
		}
		m.settle(b, GaveUp{Batch: b.id})
	}
}

func (b *batch) holder(vm shmodel.VM) *holder {
	for i := range b.holders {
		if b.holders[i].vm == vm {
			return &b.holders[i]
		}
	}
	return nil
}

func (m *Machine) appended(now time.Time, e Appended) {
	if t := m.targets[e.Target]; t != nil {
		t.inFlight = max(0, t.inFlight-1)
		t.failures, t.pausedUntil = 0, time.Time{}
	}
	b := m.batches[e.Batch]
	if b == nil {
		return
	}
	if h := b.holder(e.Target); h != nil && m.targets[e.Target] != nil {
		h.state = max(h.state, copied)
		if e.Synced {
			h.state = synced
		} else if h.state == syncing {
			h.state = copied
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
		// Appends that were sent together fail together; only the first one
		// lengthens the pause.
		pause := min(m.config.FirstPause<<min(t.failures, 16), m.config.LongestPause)
		t.failures++
		t.pausedUntil = now.Add(pause)
	}
	b := m.batches[e.Batch]
	if b == nil {
		return
	}
	if h := b.holder(e.Target); h != nil {
		m.failHolder(now, h, e.Reason)
	}
	m.place(now, b)
}

func (m *Machine) failHolder(now time.Time, h *holder, reason Failure) {
	switch {
	case reason == BatchRefused:
		h.state = refused
		h.retryAt = now.Add(m.config.LongestPause)
	case h.state == syncing && h.wasCopied && reason == TargetFailed:
		h.state = copied
	case h.state == syncing || h.state == copying:
		h.state = none
	}
}

// reached reports whether the level of b is reached.
func (m *Machine) reached(b *batch) bool {
	switch b.level {
	case Copied:
		return slices.ContainsFunc(b.holders, func(h holder) bool {
			return h.domain != m.config.Place && (h.state == copied || h.state == synced || h.state == syncing && h.wasCopied)
		})
	case Durable:
		return b.complete()
	}
	return true
}

// complete reports whether two failure domains have synced b.
func (b *batch) complete() bool {
	var first *holder
	for i, h := range b.holders {
		if h.state != synced {
			continue
		}
		if first != nil && first.domain != h.domain {
			return true
		}
		if first == nil {
			first = &b.holders[i]
		}
	}
	return false
}

func (m *Machine) release(b *batch) {
	targets := make([]shmodel.VM, len(b.holders))
	for i, h := range b.holders {
		targets[i] = h.vm
	}
	delete(m.batches, b.id)
	m.owed = remove(m.owed, b.id)
	m.waiting = remove(m.waiting, b.id)
	m.effects = append(m.effects, Released{Batch: b.id, Targets: targets})
}
