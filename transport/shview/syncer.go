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

// Syncer keeps a View up to date.
type Syncer struct {
	Client   *shpeer.Client
	Proposer *Proposer
	// Addresses are the peer addresses of the control VMs, the nearest first.
	Addresses []string
	// Heartbeat returns the state of this VM without sequence and revision.
	Heartbeat func() shdirectory.Heartbeat
	Log       *slog.Logger

	view     atomic.Pointer[View]
	wake     chan struct{}
	once     sync.Once
	target   int
	sequence uint64
	follower shdirectory.Follower
	// current is owned by Run.
	current View
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
	address := s.Addresses[s.target%len(s.Addresses)]
	r, err := shpeer.Call[shwire.SyncResponse](callCtx, s.Client, address, shwire.MethodSync, shwire.SyncRequest{
		Heartbeat: h, Since: s.since(), Source: s.follower.Source, Version: s.follower.Version,
	})
	if err != nil {
		s.Log.Warn("control VM did not answer a heartbeat; trying the next one", "address", address, "error", err)
		s.target++
		return
	}
	s.apply(ctx, asked, r)
	if unconfirmed(r.ConfirmedAge) {
		// Another control VM may be in touch with the quorum.
		s.target++
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
	s.follower.Apply(asked, r.Directory)
	next := s.current
	next.Entries = s.follower.Entries()
	if !next.Ready() {
		s.readFirst(ctx, &next)
	} else if r.Change != nil {
		s.change(&next, *r.Change)
	}
	if !unconfirmed(r.ConfirmedAge) {
		next.Suspects = suspects(r.Suspects)
		next.Drains = r.Drains
		next.Owed = r.Owed
		next.confirmed = latest(next.confirmed, asked.Add(-r.ConfirmedAge))
	}
	s.current = next
	s.view.Store(&next)
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
	config, err := c.Apply(v.Config.Config)
	if err != nil {
		s.Log.Error("change of the configuration could not be applied", "revision", c.To, "error", err)
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

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
