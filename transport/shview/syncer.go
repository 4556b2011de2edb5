package shview

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/coordination/shdirectory"
	"sequoiahollow/protocol/shwire"
	"sequoiahollow/state/shconfig"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/transport/shpeer"
)

// syncTimeout bounds a heartbeat. A control VM that does not answer in time is
// left for the next one.
const syncTimeout = 700 * time.Millisecond

// probeEvery is the number of heartbeats per one that tries another control VM.
// An entry VM without heartbeat for 2 s is taken off the directory.
const probeEvery = 4

// Syncer keeps a View up to date. Set the exported fields, Log included, before
// Run. View and Wake are safe for concurrent use.
type Syncer struct {
	Client   *shpeer.Client
	Proposer *Proposer
	// Addresses are the peer addresses of the control VMs, the nearest first.
	Addresses []string
	// Heartbeat returns the state of this VM without sequence and revision.
	Heartbeat func() shdirectory.Heartbeat
	Log       *slog.Logger

	view atomic.Pointer[View]
	wake chan struct{}
	once sync.Once
	// target is the index in Addresses of the control VM to send heartbeats to.
	target int
	// asked is the index of the control VM that the last heartbeat went to, and
	// lastFailed of the one that failed before the nearest was tried again.
	asked      int
	lastFailed int
	heartbeats int
	// unconfirmed says that the target is not in touch with a quorum.
	unconfirmed bool
	sequence    uint64
	follower    shdirectory.Follower
	// current is owned by Run, and so is accepted, the configuration as operators
	// gave it. Compiled has default limits filled in, which a patch must not see.
	current  View
	accepted shconfig.Config
	// askWhole asks for the whole configuration in place of a change.
	askWhole bool
}

var emptyView View

// View returns the newest snapshot. It is never nil.
func (s *Syncer) View() *View {
	if v := s.view.Load(); v != nil {
		return v
	}
	return &emptyView
}

func (s *Syncer) init() { s.once.Do(func() { s.wake = make(chan struct{}, 1) }) }

// Wake sends the next heartbeat now.
func (s *Syncer) Wake() {
	s.init()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Run synchronises until the context ends.
func (s *Syncer) Run(ctx context.Context) {
	s.init()
	t := time.NewTicker(shdirectory.HeartbeatInterval)
	defer t.Stop()
	for ctx.Err() == nil {
		s.step(ctx)
		select {
		case <-t.C:
		case <-s.wake:
		case <-ctx.Done():
		}
	}
}

func (s *Syncer) step(ctx context.Context) {
	if len(s.Addresses) == 0 {
		return
	}
	h := s.Heartbeat()
	s.sequence++
	h.Sequence = s.sequence
	h.Revision = s.current.Revision
	asked := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	address := s.Addresses[s.next()]
	r, err := shpeer.Call[shwire.SyncResponse](callCtx, s.Client, address, shwire.MethodSync, shwire.SyncRequest{
		Heartbeat: h, Since: s.since(), Source: s.follower.Source, Version: s.follower.Version,
	})
	if err != nil {
		s.Log.Warn("control VM did not answer a heartbeat; trying another one", "address", address, "error", err)
		s.failed()
		return
	}
	s.apply(ctx, asked, r)
	s.answered(unconfirmed(r.ConfirmedAge))
}

// next returns the control VM for the next heartbeat. Every fourth one goes to
// another control VM: to the nearest if that is not the target, since in a
// region that is cut off it alone keeps the directory of the region, or to any
// other while the target is not confirmed, since that may be in touch with the
// quorum.
func (s *Syncer) next() int {
	s.heartbeats++
	s.asked = s.target
	switch {
	case s.heartbeats%probeEvery != 0 || len(s.Addresses) == 1:
	case s.target != 0:
		s.asked = 0
	case s.unconfirmed:
		s.asked = 1 + s.heartbeats/probeEvery%(len(s.Addresses)-1)
	}
	return s.asked
}

// failed turns to another control VM if the target did not answer: to the
// nearest first, then to the others in turn.
func (s *Syncer) failed() {
	if s.asked != s.target {
		return
	}
	if s.target != 0 {
		s.lastFailed = s.target
		s.target = 0
		return
	}
	s.target = (s.lastFailed + 1) % len(s.Addresses)
}

// answered makes the control VM that was asked the target if it is confirmed or
// the nearest.
func (s *Syncer) answered(unconfirmed bool) {
	if s.asked == s.target || s.asked == 0 || !unconfirmed {
		s.target = s.asked
		s.unconfirmed = unconfirmed
	}
}

// since returns the revision that the next change starts from.
func (s *Syncer) since() uint64 {
	if s.askWhole {
		return 0
	}
	return s.current.Revision
}

func unconfirmed(age time.Duration) bool { return age < 0 || age >= ConfirmedFor }

func (s *Syncer) apply(ctx context.Context, asked time.Time, r shwire.SyncResponse) {
	next := s.current
	if s.follower.Apply(asked, r.Directory) && changes(r.Directory) {
		next.Entries = s.follower.Entries()
	}
	if !next.Ready() {
		s.readFirst(ctx, &next)
	} else if r.Change != nil {
		s.change(&next, *r.Change)
	}
	if !unconfirmed(r.ConfirmedAge) {
		next.Suspects = suspects(r.Suspects)
		next.Drains = r.Drains
		next.Overdue = r.Overdue
		next.Confirm(asked.Add(-r.ConfirmedAge))
	}
	s.current = next
	s.view.Store(&next)
}

// changes reports whether a delta changes the list of entry VMs.
func changes(d shdirectory.Delta) bool {
	return d.Whole || len(d.Present) > 0 || len(d.Removed) > 0
}

// readFirst takes the first configuration from the leader: any other control
// VM could be behind what this VM had in force before it restarted.
func (s *Syncer) readFirst(ctx context.Context, v *View) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := s.Proposer.Read(ctx, shwire.ReadRequest{})
	if err != nil {
		s.Log.Warn("no quorum-confirmed configuration yet", "error", err)
		return
	}
	if r.Revision > 0 {
		s.install(v, r.Revision, r.Config)
	}
}

// change installs a later revision. A revision that is not later is ignored,
// since it comes from a control VM that is behind.
func (s *Syncer) change(v *View, c shcontrol.Change) {
	if c.To <= v.Revision {
		return
	}
	if c.Config == nil && c.From != v.Revision {
		s.askWhole = true
		return
	}
	config, err := c.Apply(s.accepted)
	if err != nil {
		s.Log.Error("change of the configuration could not be applied; asking for the whole configuration", "revision", c.To, "error", err)
		s.askWhole = true
		return
	}
	s.install(v, c.To, config)
}

func (s *Syncer) install(v *View, revision uint64, c shconfig.Config) {
	compiled, err := shconfig.Compile(c)
	if err != nil {
		s.Log.Error("configuration does not compile", "revision", revision, "error", err)
		return
	}
	v.Revision = revision
	v.Config = compiled
	s.accepted = c
	s.askWhole = false
	s.Log.Info("configuration in force", "revision", revision)
}

func suspects(list []shcontrol.Suspect) map[shmodel.Digest]shcontrol.SuspectStatus {
	m := make(map[shmodel.Digest]shcontrol.SuspectStatus, len(list))
	for _, x := range list {
		m[x.Digest] = x.Status
	}
	return m
}
