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

// waitingScan bounds the waiting batches that one event may place, so that the
// cost of an event does not grow with the backlog.
const waitingScan = 128

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

// target is a Target with its recent failures.
type target struct {
	Target
	inFlight    int
	failures    int
	pausedUntil time.Time
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

// Reachable reports whether some target in another failure domain is healthy
// and not paused.
func (m *Machine) Reachable(now time.Time) bool {
	return slices.ContainsFunc(m.order, func(t *target) bool {
		return t.Place != m.config.Place && t.usable(now)
	})
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

func (t *target) usable(now time.Time) bool {
	return t.Healthy && !now.Before(t.pausedUntil)
}

// rank orders targets: another failure domain of the region, other regions, the
// own failure domain, the VM itself.
func (m *Machine) rank(t *target) int {
	switch {
	case t.VM == m.config.Self:
		return 3
	case t.Place == m.config.Place:
		return 2
	case t.Place.Region == m.config.Place.Region:
		return 0
	}
	return 1
}

// spread orders targets that are otherwise equal differently on each VM, so
// that entry VMs do not all use the same one. It is an FNV-1a hash.
func spread(self, vm shmodel.VM) uint64 {
	hash := uint64(14695981039346656037)
	for _, c := range []byte(string(self) + "\x00" + string(vm)) {
		hash = (hash ^ uint64(c)) * 1099511628211
	}
	return hash
}

func (m *Machine) changeTargets(now time.Time, targets []Target) {
	known := m.targets
	m.targets = make(map[shmodel.VM]*target, len(targets))
	m.order = m.order[:0]
	for _, t := range targets {
		if t.VM == m.config.Self && !m.config.UseSelf {
			continue
		}
		kept := known[t.VM]
		if kept == nil {
			kept = &target{}
		}
		kept.Target = t
		m.targets[t.VM] = kept
		m.order = append(m.order, kept)
	}
	slices.SortFunc(m.order, func(a, b *target) int {
		return cmp.Or(
			cmp.Compare(m.rank(a), m.rank(b)),
			cmp.Compare(a.Distance, b.Distance),
			cmp.Compare(spread(m.config.Self, a.VM), spread(m.config.Self, b.VM)),
		)
	})
	for _, id := range slices.Clone(m.owed) {
		b := m.batches[id]
		for i := range b.holders {
			if m.targets[b.holders[i].vm] == nil {
				b.holders[i].state = none
			}
		}
		m.place(now, b)
	}
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

// place starts what b still needs. If a target is missing, b waits.
func (m *Machine) place(now time.Time, b *batch) {
	if m.reached(b) {
		m.settle(b, Reached{Batch: b.id})
	}
	if b.complete() {
		m.release(b)
		return
	}
	placed := m.placeCopy(now, b)
	placed = m.placeSyncs(now, b) && placed
	at, waits := slices.BinarySearch(m.waiting, b.id)
	switch {
	case placed && waits:
		m.waiting = slices.Delete(m.waiting, at, at+1)
	case !placed && !waits:
		m.waiting = slices.Insert(m.waiting, at, b.id)
	}
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

// placeCopy sends the copy that a submitter waits for. It reports whether it
// is on its way. A sync in progress does not replace it: the sync may be that
// of a distant region.
func (m *Machine) placeCopy(now time.Time, b *batch) bool {
	if b.settled || b.level != Copied {
		return true
	}
	for _, h := range b.holders {
		if h.domain != m.config.Place && h.state == copying {
			return true
		}
	}
	for _, t := range m.order {
		if t.Place == m.config.Place || !m.free(now, t, b, m.config.InFlight) {
			continue
		}
		m.send(t, b, false)
		return true
	}
	return false
}

// placeSyncs sends b to be synced until two failure domains have synced it or
// are about to. It reports whether they do.
func (m *Machine) placeSyncs(now time.Time, b *batch) bool {
	var domains []shmodel.Place
	for _, h := range b.holders {
		switch h.state {
		case synced, syncing:
			if !slices.Contains(domains, h.domain) {
				domains = append(domains, h.domain)
			}
		case copying:
			if t := m.targets[h.vm]; t != nil && t.Disk {
				// The sync follows when the copy has arrived.
				domains = append(domains, h.domain)
			}
		}
	}
	limit := m.config.InFlight
	if b.settled || b.level != Durable {
		limit = max(1, limit/2)
	}
	for _, t := range m.order {
		if len(domains) >= 2 {
			return true
		}
		if !t.Disk || slices.Contains(domains, t.Place) || !m.free(now, t, b, limit) {
			continue
		}
		m.send(t, b, true)
		domains = append(domains, t.Place)
	}
	return len(domains) >= 2
}

// free reports whether b may be sent to t now.
func (m *Machine) free(now time.Time, t *target, b *batch, limit int) bool {
	if !t.usable(now) || t.inFlight >= limit {
		return false
	}
	h := b.holder(t.VM)
	if h == nil {
		return true
	}
	if h.state == refused {
		return !now.Before(h.retryAt)
	}
	return h.state == none || h.state == copied
}

func (m *Machine) send(t *target, b *batch, sync bool) {
	h := b.holder(t.VM)
	if h == nil {
		b.holders = append(b.holders, holder{vm: t.VM})
		h = &b.holders[len(b.holders)-1]
	}
	held := h.state == copied
	h.domain, h.wasCopied, h.state = t.Place, held, copying
	if sync {
		h.state = syncing
	}
	t.inFlight++
	m.effects = append(m.effects, Append{
		Batch: b.id, Target: t.VM, Sync: sync, Held: held,
		Timeout: m.config.Timeout + 4*t.Distance,
	})
}

// placeWaiting tries waiting batches again, in turn: those that wait for a
// failure domain that is gone must not hold up the others.
func (m *Machine) placeWaiting(now time.Time) {
	free := slices.ContainsFunc(m.order, func(t *target) bool {
		return t.usable(now) && t.inFlight < max(1, m.config.InFlight/2)
	})
	if !free {
		return
	}
	at, _ := slices.BinarySearch(m.waiting, m.scanFrom)
	scan := slices.Concat(m.waiting[at:], m.waiting[:at])
	scan = scan[:min(len(scan), waitingScan)]
	for _, id := range scan {
		m.place(now, m.batches[id])
	}
	if len(scan) > 0 {
		m.scanFrom = scan[len(scan)-1] + 1
	}
}
