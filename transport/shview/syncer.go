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

// syncTimeout bounds a heartbeat. If the target does not answer in time, the
// next heartbeat goes to another control VM.
const syncTimeout = 700 * time.Millisecond

// heartbeatsPerProbe is the number of heartbeats of which one may go to a
// control VM other than the target. The target must get the others in time,
// because it removes an entry VM without heartbeats for 2 s from the directory.
const heartbeatsPerProbe = 4

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
	// target is the index in Addresses of the control VM that gets all heartbeats
	// except probes.
	target int
	// contacted is the index of the control VM that the last heartbeat went to.
	// lastFailed is the index of the target that failed last, other than the
	// nearest control VM.
	contacted  int
	lastFailed int
	heartbeats int
	// unconfirmed says that the target had no recent confirmation by a quorum.
	unconfirmed bool
	sequence    uint64
	follower    shdirectory.Follower
	// current is the view that was published last. rawConfig is its configuration
	// as operators gave it: the compiled one has default limits filled in, and a
	// patch must apply to the configuration without them. Only Run uses the two.
	current   View
	rawConfig shconfig.Config
	// needsFullConfig says that the next heartbeat asks for the whole
	// configuration instead of a change.
	needsFullConfig bool
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

// Run sends heartbeats and publishes views until the context ends.
func (s *Syncer) Run(ctx context.Context) {
	s.init()
	t := time.NewTicker(shdirectory.HeartbeatInterval)
	defer t.Stop()
	for ctx.Err() == nil {
		s.sendHeartbeat(ctx)
		select {
		case <-t.C:
		case <-s.wake:
		case <-ctx.Done():
		}
	}
}

func (s *Syncer) sendHeartbeat(ctx context.Context) {
	if len(s.Addresses) == 0 {
		return
	}
	h := s.Heartbeat()
	s.sequence++
	h.Sequence = s.sequence
	h.Revision = s.current.Revision
	sentAt := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	address := s.Addresses[s.pickControlVM()]
	r, err := shpeer.Call[shwire.SyncResponse](callCtx, s.Client, address, shwire.MethodSync, shwire.SyncRequest{
		Heartbeat: h, Since: s.since(), Source: s.follower.Source, Version: s.follower.Version,
	})
	if err != nil {
		s.Log.Warn("control VM did not answer a heartbeat; trying another one", "address", address, "error", err)
		s.onFailure()
		return
	}
	s.apply(ctx, sentAt, r)
	s.onAnswer(unconfirmed(r.ConfirmedAge))
}

// pickControlVM returns the index of the control VM for the next heartbeat.
// Every fourth heartbeat may probe a control VM other than the target. If the
// target is not the nearest control VM, the nearest is probed, since in a
// partitioned region it alone keeps the directory of the region. If the target
// is the nearest but not confirmed by a quorum, the others are probed in turn,
// since one of them may be in contact with the quorum.
func (s *Syncer) pickControlVM() int {
	s.heartbeats++
	s.contacted = s.target
	switch {
	case s.heartbeats%heartbeatsPerProbe != 0 || len(s.Addresses) == 1:
	case s.target != 0:
		s.contacted = 0
	case s.unconfirmed:
		s.contacted = 1 + s.heartbeats/heartbeatsPerProbe%(len(s.Addresses)-1)
	}
	return s.contacted
}

// onFailure selects another target if the target did not answer: the nearest
// control VM first, then the others in turn.
func (s *Syncer) onFailure() {
	if s.contacted != s.target {
		return
	}
	if s.target != 0 {
		s.lastFailed = s.target
		s.target = 0
		return
	}
	s.target = (s.lastFailed + 1) % len(s.Addresses)
}

// onAnswer sets target to the control VM that answered if a quorum confirmed its
// state recently or it is the nearest one, and updates unconfirmed.
func (s *Syncer) onAnswer(unconfirmed bool) {
	if s.contacted == s.target || s.contacted == 0 || !unconfirmed {
		s.target = s.contacted
		s.unconfirmed = unconfirmed
	}
}

// since returns the revision that the next change should start from, 0 to get
// the whole configuration.
func (s *Syncer) since() uint64 {
	if s.needsFullConfig {
		return 0
	}
	return s.current.Revision
}

func unconfirmed(age time.Duration) bool { return age < 0 || age >= ConfirmationTTL }

func (s *Syncer) apply(ctx context.Context, sentAt time.Time, r shwire.SyncResponse) {
	next := s.current
	if s.follower.Apply(sentAt, r.Directory) && changesEntries(r.Directory) {
		next.Entries = s.follower.Entries()
	}
	if !next.Ready() {
		s.readInitialConfig(ctx, &next)
	} else if r.Change != nil {
		s.applyChange(&next, *r.Change)
	}
	if !unconfirmed(r.ConfirmedAge) {
		next.Suspects = suspectStatuses(r.Suspects)
		next.Drains = r.Drains
		next.Overdue = r.Overdue
		next.Confirm(sentAt.Add(-r.ConfirmedAge))
	}
	s.current = next
	s.view.Store(&next)
}

// changesEntries reports whether a delta changes the list of entry VMs.
func changesEntries(d shdirectory.Delta) bool {
	return d.Whole || len(d.Present) > 0 || len(d.Removed) > 0
}

// readInitialConfig reads the first configuration from the leader, because any
// other control VM may have an older revision than the one that was in force on
// this VM before its restart.
func (s *Syncer) readInitialConfig(ctx context.Context, v *View) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, err := s.Proposer.Read(ctx, shwire.ReadRequest{})
	if err != nil {
		s.Log.Warn("no quorum-confirmed configuration yet", "error", err)
		return
	}
	if r.Revision > 0 {
		s.installConfig(v, r.Revision, r.Config)
	}
}

// applyChange installs a later revision. A revision that is not later is
// ignored, since it comes from a control VM whose state is older.
func (s *Syncer) applyChange(v *View, c shcontrol.Change) {
	if c.To <= v.Revision {
		return
	}
	if c.Config == nil && c.From != v.Revision {
		s.needsFullConfig = true
		return
	}
	config, err := c.Apply(s.rawConfig)
	if err != nil {
		s.Log.Error("change of the configuration could not be applied; asking for the whole configuration", "revision", c.To, "error", err)
		s.needsFullConfig = true
		return
	}
	s.installConfig(v, c.To, config)
}

func (s *Syncer) installConfig(v *View, revision uint64, c shconfig.Config) {
	compiled, err := shconfig.Compile(c)
	if err != nil {
		s.Log.Error("configuration does not compile", "revision", revision, "error", err)
		return
	}
	v.Revision = revision
	v.Config = compiled
	s.rawConfig = c
	s.needsFullConfig = false
	s.Log.Info("configuration in force", "revision", revision)
}

func suspectStatuses(list []shcontrol.Suspect) map[shmodel.Digest]shcontrol.SuspectStatus {
	m := make(map[shmodel.Digest]shcontrol.SuspectStatus, len(list))
	for _, x := range list {
		m[x.Digest] = x.Status
	}
	return m
}
