package shaccount

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"sequoiahollow/coordination/shreplication"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/state/shrecord"
)

// Level is the replication level that Write waits for.
type Level = shreplication.Level

// Levels.
const (
	// Deferred returns at once.
	Deferred = shreplication.Deferred
	// Copied waits until one VM in another failure domain holds the records.
	Copied = shreplication.Copied
	// Durable waits until two account VMs in two failure domains have synced
	// the records.
	Durable = shreplication.Durable
)

const (
	// DefaultMaxBytes bounds the size in memory of the records of an outbox.
	DefaultMaxBytes = 64 << 20
	// DefaultGroupDelay is the longest time that records wait to be grouped with
	// others while earlier batches are in flight.
	DefaultGroupDelay = time.Millisecond
	// DefaultDeferredDelay is the longest time that records of level Deferred
	// wait to be grouped with others.
	DefaultDeferredDelay = 10 * time.Millisecond
	// releaseDelay is how long releases are collected into one message. A late
	// release only costs memory at the target.
	releaseDelay = 50 * time.Millisecond
	// releaseTimeout bounds a release message. The Oldest field of the next
	// append makes up for a lost release.
	releaseTimeout = time.Second
	// maxGroupRecords and maxGroupBytes bound a batch.
	maxGroupRecords = 1000
	maxGroupBytes   = 256 << 10
	// maxBatchesInFlight is the number of batches per level that may be in
	// flight before further records are grouped.
	maxBatchesInFlight = 2
	// reserveDivisor sets the share of MaxBytes that is reserved for records of
	// requests that were admitted before the outbox filled up: one quarter.
	reserveDivisor = 4
	// admissionDivisor sets the share of the space for opening records that must
	// be free to admit a new request: one sixteenth. Requests admitted at the
	// same time share this space.
	admissionDivisor = 16
	// recordBytes is the size in memory of a Record without its strings.
	recordBytes = 400
)

// Replicator sends messages to the account role of other VMs.
type Replicator interface {
	Append(ctx context.Context, target shmodel.VM, request AppendRequest) (AppendResponse, error)
	Release(ctx context.Context, target shmodel.VM, request ReleaseRequest) error
}

// OutboxOptions are the options of an Outbox. Zero values select the defaults.
type OutboxOptions struct {
	Replication shreplication.Config
	// MaxBytes bounds the size of the records in memory. A quarter of it is
	// reserved for records other than opening and refusal records.
	MaxBytes   int64
	GroupDelay time.Duration
	// DeferredDelay replaces GroupDelay for records of level Deferred.
	DeferredDelay time.Duration
	// Incarnation distinguishes the processes of a VM; 0 selects a random number.
	Incarnation uint64
}

// Outbox replicates the records of this VM to account VMs. Its methods are safe
// for concurrent use.
type Outbox struct {
	options    OutboxOptions
	replicator Replicator
	origin     Origin
	// ctx ends all messages.
	ctx    context.Context
	cancel context.CancelFunc
	sends  sync.WaitGroup

	mu      sync.Mutex
	machine *shreplication.Machine
	tick    *time.Timer
	tickAt  time.Time
	next    uint64
	batches map[uint64]*group
	// unsubmitted holds, per level, the group that collects records until it is
	// submitted to machine.
	unsubmitted [3]*group
	inFlight    [3]int
	bytes       int64
	releases    map[shmodel.VM][]uint64
	closed      bool
	// replicated is closed when all batches are replicated; it is nil unless
	// Close waits.
	replicated chan struct{}
}

// group is a batch of records, with the result for the calls of Write that wait
// for it.
type group struct {
	level   Level
	records []shrecord.Record
	bytes   int64
	timer   *time.Timer
	// done is closed once err is set.
	done      chan struct{}
	err       error
	completed bool
}

// NewOutbox returns an Outbox without targets.
func NewOutbox(replicator Replicator, options OutboxOptions) *Outbox {
	if options.MaxBytes <= 0 {
		options.MaxBytes = DefaultMaxBytes
	}
	if options.GroupDelay <= 0 {
		options.GroupDelay = DefaultGroupDelay
	}
	if options.DeferredDelay <= 0 {
		options.DeferredDelay = DefaultDeferredDelay
	}
	for options.Incarnation == 0 {
		options.Incarnation = rand.Uint64()
	}
	o := &Outbox{
		options:    options,
		replicator: replicator,
		origin:     Origin{VM: options.Replication.Self, Incarnation: options.Incarnation},
		machine:    shreplication.New(options.Replication),
		next:       1,
		batches:    make(map[uint64]*group),
		releases:   make(map[shmodel.VM][]uint64),
	}
	o.ctx, o.cancel = context.WithCancel(context.Background())
	return o
}

// SetTargets replaces the VMs that may take records.
func (o *Outbox) SetTargets(targets []shreplication.Target) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.handle(shreplication.TargetsChanged{Targets: targets})
}

// Ready returns nil if a new request can be admitted: the outbox has space and
// some target is reachable. Call it before a request ID is assigned, so that a
// refusal leaves no gap.
func (o *Outbox) Ready() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case o.closed:
		return &Error{Op: "ready", Kind: Closed}
	case o.bytes > o.admissionBytes()-o.admissionBytes()/admissionDivisor:
		return &Error{Op: "ready", Kind: Full}
	case !o.machine.Reachable(time.Now()):
		return &Error{Op: "ready", Kind: Unreachable}
	}
	return nil
}

// Unreplicated returns the number of records and bytes that are not yet synced on
// two account VMs.
func (o *Outbox) Unreplicated() (records int, bytes int64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, g := range o.batches {
		records += len(g.records)
	}
	for _, g := range o.unsubmitted {
		if g != nil {
			records += len(g.records)
		}
	}
	return records, o.bytes
}

// Write takes records and waits until they reach level. At every level the outbox
// goes on until the records are synced on two account VMs in two failure domains.
// Kinds of errors: Invalid, Full and Closed say that the records were not taken;
// Unreachable and Canceled say that the level is not reached yet, and the outbox
// keeps the records and retries.
func (o *Outbox) Write(ctx context.Context, records []shrecord.Record, level Level) error {
	size, err := validatedSize(records)
	if err != nil || len(records) == 0 {
		return err
	}
	if level > Durable {
		return &Error{Op: "write", Kind: Invalid, Err: errors.New("level is not known")}
	}
	g, err := o.enqueue(records, size, level)
	if err != nil || level == Deferred {
		return err
	}
	select {
	case <-g.done:
		return g.err
	case <-ctx.Done():
		return &Error{Op: "write", Kind: Canceled, Err: ctx.Err()}
	}
}

// validatedSize returns the size in memory of records, or an error if one of them
// is invalid.
func validatedSize(records []shrecord.Record) (int64, error) {
	var size int64
	for _, r := range records {
		if err := r.Validate(); err != nil {
			return 0, &Error{Op: "write", Kind: Invalid, Err: err}
		}
		text := len(r.Path) + len(r.Key) + len(r.Caller) + len(r.Team) + len(r.Reason) + len(r.BackendServer)
		if text > maxGroupBytes {
			return 0, &Error{Op: "write", Kind: Invalid, Err: errors.New("record is too large")}
		}
		size += int64(recordBytes + text)
	}
	return size, nil
}

func (o *Outbox) admissionBytes() int64 {
	return o.options.MaxBytes - o.options.MaxBytes/reserveDivisor
}

// limitFor returns the largest number of bytes that may be in use once records
// are added.
func (o *Outbox) limitFor(records []shrecord.Record) int64 {
	for _, r := range records {
		if r.Kind == shrecord.Opened || r.Kind == shrecord.Refused {
			return o.admissionBytes()
		}
	}
	return o.options.MaxBytes
}

// enqueue adds records to the unsubmitted group of their level. It submits the
// group at once if it is full, or if callers of Write wait for it and few batches
// of the level are in flight. Otherwise the timer of the group submits it.
func (o *Outbox) enqueue(records []shrecord.Record, size int64, level Level) (*group, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return nil, &Error{Op: "write", Kind: Closed}
	}
	if o.bytes+size > o.limitFor(records) {
		return nil, &Error{Op: "write", Kind: Full}
	}
	o.bytes += size
	g := o.unsubmitted[level]
	if g == nil {
		g = &group{level: level, done: make(chan struct{})}
		o.unsubmitted[level] = g
	}
	g.records = append(g.records, records...)
	g.bytes += size
	full := len(g.records) >= maxGroupRecords || g.bytes >= maxGroupBytes
	switch {
	case full, level != Deferred && o.inFlight[level] < maxBatchesInFlight:
		o.submit(level)
	case g.timer == nil:
		delay := o.options.GroupDelay
		if level == Deferred {
			delay = o.options.DeferredDelay
		}
		g.timer = time.AfterFunc(delay, func() { o.submitGroup(g) })
	}
	return g, nil
}

// submitGroup submits g unless that was done already.
func (o *Outbox) submitGroup(g *group) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.unsubmitted[g.level] == g {
		o.submit(g.level)
	}
}

// submit passes the unsubmitted group of level, if any, to the machine.
func (o *Outbox) submit(level Level) {
	g := o.unsubmitted[level]
	if g == nil {
		return
	}
	o.unsubmitted[level] = nil
	if g.timer != nil {
		g.timer.Stop()
	}
	id := o.next
	o.next++
	o.batches[id] = g
	o.inFlight[level]++
	o.handle(shreplication.Submitted{Batch: id, Level: level})
}

// handle passes an event to the machine and carries out the effects. The lock
// must be held.
func (o *Outbox) handle(event shreplication.Event) {
	now := time.Now()
	for _, effect := range o.machine.Handle(now, event) {
		switch e := effect.(type) {
		case shreplication.Append:
			o.send(e)
		case shreplication.Reached:
			o.complete(o.batches[e.Batch], nil)
		case shreplication.GaveUp:
			o.complete(o.batches[e.Batch], &Error{Op: "write", Kind: Unreachable})
		case shreplication.Released:
			o.releaseBatch(e)
		}
	}
	o.arm(now)
}

// arm sets the timer for the next tick.
func (o *Outbox) arm(now time.Time) {
	at, ok := o.machine.Next(now)
	if !ok || o.closed && o.replicated == nil {
		return
	}
	if !o.tickAt.IsZero() && !at.Before(o.tickAt) {
		return
	}
	if o.tick != nil {
		o.tick.Stop()
	}
	o.tickAt = at
	o.tick = time.AfterFunc(at.Sub(now), func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		if o.ctx.Err() != nil {
			return
		}
		o.tickAt = time.Time{}
		o.handle(shreplication.Tick{})
	})
}

func (o *Outbox) complete(g *group, err error) {
	if g.completed {
		return
	}
	g.completed, g.err = true, err
	close(g.done)
	o.inFlight[g.level]--
	if g.level != Deferred {
		o.submit(g.level)
	}
}

// send starts an append in its own goroutine.
func (o *Outbox) send(e shreplication.Append) {
	g := o.batches[e.Batch]
	request := AppendRequest{
		Origin: o.origin, Batch: e.Batch, Oldest: o.machine.Oldest(e.Batch),
		Sync: e.Sync, Confirm: e.Held,
	}
	if !e.Held {
		request.Records = g.records
	}
	o.sends.Go(func() {
		ctx, cancel := context.WithTimeout(o.ctx, e.Timeout)
		defer cancel()
		response, err := o.replicator.Append(ctx, e.Target, request)
		event := appendEvent(e, response, err)
		o.mu.Lock()
		defer o.mu.Unlock()
		if o.ctx.Err() == nil {
			o.handle(event)
		}
	})
}

// appendEvent translates the result of an append to an event of the machine.
func appendEvent(e shreplication.Append, response AppendResponse, err error) shreplication.Event {
	kind := response.Refused
	if err != nil {
		kind = KindOf(err)
	}
	switch {
	case err == nil && kind == "" && (response.Synced || !e.Sync):
		return shreplication.Appended{Batch: e.Batch, Target: e.Target, Synced: response.Synced}
	case kind == Stale:
		return shreplication.AppendFailed{Batch: e.Batch, Target: e.Target, Reason: shreplication.BatchLost}
	case kind == Invalid, kind == NoDisk:
		return shreplication.AppendFailed{Batch: e.Batch, Target: e.Target, Reason: shreplication.BatchRefused}
	}
	return shreplication.AppendFailed{Batch: e.Batch, Target: e.Target, Reason: shreplication.TargetFailed}
}

// releaseBatch drops a batch and queues its release for the targets that may
// hold a copy.
func (o *Outbox) releaseBatch(e shreplication.Released) {
	g := o.batches[e.Batch]
	delete(o.batches, e.Batch)
	o.bytes -= g.bytes
	if len(o.releases) == 0 && !o.closed {
		time.AfterFunc(releaseDelay, o.sendReleases)
	}
	for _, vm := range e.Targets {
		o.releases[vm] = append(o.releases[vm], e.Batch)
	}
	if o.replicated != nil && len(o.batches) == 0 {
		close(o.replicated)
		o.replicated = nil
	}
}

// sendReleases sends the queued releases.
func (o *Outbox) sendReleases() {
	o.mu.Lock()
	defer o.mu.Unlock()
	releases := o.releases
	o.releases = make(map[shmodel.VM][]uint64)
	if o.ctx.Err() != nil {
		return
	}
	oldest := o.machine.Oldest(o.next)
	for vm, batches := range releases {
		request := ReleaseRequest{Origin: o.origin, Oldest: oldest, Batches: batches}
		o.sends.Go(func() {
			ctx, cancel := context.WithTimeout(o.ctx, releaseTimeout)
			defer cancel()
			// Oldest of a later message makes up for a lost release.
			_ = o.replicator.Release(ctx, vm, request)
		})
	}
}

// Close submits all groups and waits until all batches are replicated or ctx
// ends. It returns an Unreachable error if some are not; the other VMs that
// hold their records may adopt them.
func (o *Outbox) Close(ctx context.Context) error {
	replicated, err := o.startClose()
	if err != nil {
		return err
	}
	select {
	case <-replicated:
	case <-ctx.Done():
		err = &Error{Op: "close", Kind: Unreachable, Err: ctx.Err()}
	}
	if err == nil {
		o.sendReleases()
		o.sends.Wait()
	}
	o.mu.Lock()
	o.cancel()
	o.replicated = nil
	if o.tick != nil {
		o.tick.Stop()
	}
	for _, id := range slices.Sorted(maps.Keys(o.batches)) {
		o.complete(o.batches[id], &Error{Op: "write", Kind: Closed})
	}
	o.mu.Unlock()
	o.sends.Wait()
	return err
}

// startClose refuses further records and returns a channel that is closed when
// all batches are replicated.
func (o *Outbox) startClose() (<-chan struct{}, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return nil, &Error{Op: "close", Kind: Closed}
	}
	replicated := make(chan struct{})
	o.replicated = replicated
	o.closed = true
	for level := range o.unsubmitted {
		o.submit(Level(level))
	}
	if len(o.batches) == 0 && o.replicated != nil {
		close(o.replicated)
		o.replicated = nil
	}
	return replicated, nil
}
