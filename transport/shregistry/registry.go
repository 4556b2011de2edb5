package shregistry

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/coordination/shfair"
	"sequoiahollow/coordination/shfleet"
	"sequoiahollow/coordination/shhome"
	"sequoiahollow/coordination/shload"
	"sequoiahollow/coordination/shraft"
	"sequoiahollow/state/shclock"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/state/shrecord"
	"sequoiahollow/transport/shleader"
	"sequoiahollow/transport/shpeer"
	"sequoiahollow/transport/shstore"
)

// Registry is the part of a control VM that replicates the fleet state. Open
// returns one. Its methods are safe for concurrent use.
type Registry struct {
	config Config
	store  *shstore.Store
	finder shleader.Finder
	ctx    context.Context
	cancel context.CancelFunc
	active sync.WaitGroup

	mu    sync.Mutex
	state shfleet.State
	// changed is closed and replaced when changes are released to observers or the
	// role changes. releasedIndex is the log index of the last release.
	changed        chan struct{}
	releasedIndex  uint64
	releasePending bool
	// leaderSince is when this VM became a ready leader, zero if it is not one.
	leaderSince time.Time
	// formed says that the Raft group is accepted as complete; see checkFormed.
	formed bool
	// lastHeartbeat and lastWatch are kept in the memory of the leader only; a
	// new leader starts with empty ones.
	lastHeartbeat map[shmodel.BackendServer]time.Time
	lastWatch     map[shmodel.VM]observed
	// unreportedHeartbeats are the backend servers that sent a heartbeat to this VM
	// since its last report to the leader.
	unreportedHeartbeats map[shmodel.BackendServer]bool
	// announcedAt is when this VM applied the last PutBackends command that changed a
	// backend server, by the monotonic clock of this VM.
	announcedAt map[shmodel.BackendServer]time.Time
	// sequences are those of the last heartbeats that this VM received.
	sequences map[shmodel.BackendServer]sequence
	// reportedCrashes is kept in the memory of the leader only.
	reportedCrashes shfair.Map[shmodel.Service, reportedCrash, struct{}]
	homes           shhome.Table
	loads           shload.Sums

	allowances allowances

	packer    changePacker
	documents documentReads
}

// sequence is the sequence number of an announcement of a process lifetime of a backend
// server.
type sequence struct {
	born   int64
	number int64
}

// Open starts a registry. Errors are of type *Error.
func Open(config Config) (*Registry, error) {
	if config.BackendTimeout == 0 {
		config.BackendTimeout = DefaultBackendTimeout
	}
	if config.Suspensions == nil {
		config.Suspensions = &shclock.Suspensions{}
	}
	// Confirmations from before the first reading do not count.
	config.Suspensions.Since()
	ctx, cancel := context.WithCancel(context.Background())
	r := &Registry{
		config: config, ctx: ctx, cancel: cancel,
		changed:              make(chan struct{}),
		lastHeartbeat:        map[shmodel.BackendServer]time.Time{},
		lastWatch:            map[shmodel.VM]observed{},
		unreportedHeartbeats: map[shmodel.BackendServer]bool{},
		announcedAt:          map[shmodel.BackendServer]time.Time{},
		sequences:            map[shmodel.BackendServer]sequence{},
	}
	store, err := shstore.Open(shstore.Config{
		VM: config.VM, Address: config.PeerAddress, Folder: config.Folder,
		Seeds: config.Seeds, TargetVoters: config.Voters, Bootstrap: config.Bootstrap,
		StateMachine: stateMachine{r}, Client: config.Client, Server: config.Server,
		Raft:         shraft.Config{Heartbeat: raftHeartbeat},
		JoinInterval: joinInterval, OnRole: r.changeRole, FS: config.FS, Logger: config.Logger,
	})
	if err != nil {
		cancel()
		return nil, &Error{Op: "open registry", Kind: KindOpen, Err: err}
	}
	r.store = store
	r.registerMethods()
	r.active.Add(1)
	go r.runMaintenance()
	return r, nil
}

// raftHeartbeat is the time between messages of an idle leader. Three may be lost
// within the shortest election timeout; more frequent ones would cost traffic
// between regions, which is expensive.
const raftHeartbeat = 200 * time.Millisecond

// joinInterval is the time between attempts to form or join the Raft group. It is
// short because requests arrive from 8 s after the start of the VMs.
const joinInterval = 250 * time.Millisecond

// Done is closed when the store has failed or the registry was closed.
func (r *Registry) Done() <-chan struct{} { return r.store.Done() }

// Close stops the registry.
func (r *Registry) Close() error {
	r.cancel()
	err := r.store.Close()
	r.active.Wait()
	return err
}

// Resign transfers the leadership to another control VM.
func (r *Registry) Resign(ctx context.Context) error { return r.store.Transfer(ctx) }

// Status returns the status of the replicated store.
func (r *Registry) Status() shstore.Status { return r.store.Status() }

// stateMachine applies committed commands in the owner goroutine of the store.
type stateMachine struct{ registry *Registry }

// Apply implements shstore.StateMachine.
func (m stateMachine) Apply(index uint64, at time.Time, data []byte) []byte {
	r := m.registry
	c, err := shfleet.DecodeCommand(data)
	if err != nil {
		r.config.Logger.Error("committed command ignored", "index", index, "error", err)
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	result := r.state.Apply(index, at, c)
	if put, ok := c.(shfleet.PutBackends); ok {
		for _, b := range put.Backends {
			if recorded, ok := r.state.Backend(b.ID); ok && recorded.At == index {
				r.announcedAt[b.ID] = time.Now()
			}
		}
	}
	r.scheduleRelease()
	return []byte(result)
}

// Snapshot implements shstore.StateMachine.
func (m stateMachine) Snapshot() ([]byte, error) {
	m.registry.mu.Lock()
	defer m.registry.mu.Unlock()
	return m.registry.state.Snapshot()
}

// Restore implements shstore.StateMachine.
func (m stateMachine) Restore(data []byte) error {
	m.registry.mu.Lock()
	defer m.registry.mu.Unlock()
	return m.registry.state.Restore(data)
}

func (r *Registry) changeRole(role shstore.Role) {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.release()
	if !role.Leader || !role.Ready {
		r.leaderSince = time.Time{}
		return
	}
	if r.leaderSince.IsZero() {
		r.leaderSince = time.Now()
		clear(r.lastHeartbeat)
		clear(r.lastWatch)
		r.homes, r.loads = shhome.Table{}, shload.Sums{}
		r.allowances = allowances{}
	}
}

// controlAddresses returns the peer addresses of the control VMs: the leader, the
// members of the Raft group, and the seeds.
func (r *Registry) controlAddresses() []string {
	status := r.store.Status()
	addresses := []string{}
	known := map[string]bool{}
	add := func(a string) {
		if a != "" && !known[a] {
			known[a] = true
			addresses = append(addresses, a)
		}
	}
	add(status.Leader.Address)
	for _, list := range [][]shraft.Member{status.Voters, status.Learners} {
		for _, m := range list {
			add(m.Address)
		}
	}
	for _, a := range r.config.Seeds {
		add(a)
	}
	return addresses
}

// leaderCall calls a peer method of the leader, which may be this VM.
func leaderCall[R any](ctx context.Context, r *Registry, method string, request any) (R, error) {
	response, err := shleader.Call[R](ctx, &r.finder, r.config.Client, r.controlAddresses, method, request)
	if err != nil {
		return response, &Error{Op: method, Kind: KindUnavailable, Err: err}
	}
	return response, nil
}

// Propose proposes a command through the leader and returns its result once it
// is committed.
func (r *Registry) Propose(ctx context.Context, c shfleet.Command) (shfleet.Result, error) {
	data, err := shfleet.EncodeCommand(c)
	if err != nil {
		return "", &Error{Op: "propose", Kind: KindUnavailable, Err: err}
	}
	if r.isLeading() {
		response, err := r.commit(ctx, ProposeRequest{Command: data})
		if err == nil {
			return response.Result, nil
		}
		if shstore.KindOf(err) != shstore.KindNotLeader {
			return "", &Error{Op: "propose", Kind: KindUnavailable, Err: err}
		}
	}
	response, err := leaderCall[ProposeResponse](ctx, r, MethodPropose, ProposeRequest{Command: data})
	return response.Result, err
}

func (r *Registry) isLeading() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.leaderSince.IsZero()
}

// commit handles MethodPropose: it proposes a command as the leader and returns
// the result once the command is committed.
func (r *Registry) commit(ctx context.Context, p ProposeRequest) (ProposeResponse, error) {
	if err := r.checkFormed(); err != nil {
		return ProposeResponse{}, err
	}
	if r.isRepeatedCrash(p.Command) {
		return ProposeResponse{Result: shfleet.Accepted}, nil
	}
	result, err := r.store.Propose(ctx, p.Command)
	return ProposeResponse{Result: shfleet.Result(result)}, err
}

// checkFormed refuses commands while a new Raft group still lacks voters: with
// fewer voters an acknowledged command would not survive as many failures as in
// the full group. It accepts them after formingTimeout, or if there is a routing
// table, since the group is then not new.
func (r *Registry) checkFormed() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.formed || r.leaderSince.IsZero() {
		return nil
	}
	if len(r.store.Status().Voters) >= r.config.Voters || r.state.Document.Version > 0 ||
		time.Since(r.leaderSince) > formingTimeout {
		r.formed = true
		return nil
	}
	return &Error{Op: "propose", Kind: KindUnavailable, Err: errors.New("the group is not complete yet")}
}

// PutDocument replaces the routing table in force. It fails with KindConflict
// unless d is based on the version in force or was accepted before.
func (r *Registry) PutDocument(ctx context.Context, d shfleet.Document) error {
	result, err := r.Propose(ctx, shfleet.PutDocument{Document: d})
	if err != nil {
		return err
	}
	if result != shfleet.Accepted {
		err := fmt.Errorf("version %d does not build on the version in force", d.Version)
		return &Error{Op: "put document", Kind: KindConflict, Err: err}
	}
	return nil
}

// Announce records the announcement of a backend server. It returns nil once the
// announcement is committed, or if it changes nothing or is out of date.
func (r *Registry) Announce(ctx context.Context, a Announcement) error {
	if !r.changesState(a) {
		return nil
	}
	_, err := r.Propose(ctx, shfleet.PutBackends{Backends: []shfleet.Backend{a.Backend}, Sequences: []int64{a.Sequence}})
	if err != nil {
		return err
	}
	r.config.Logger.Info("backend server announced", "id", a.ID, "born", a.Born, "service", a.Service,
		"address", a.Address, "zone", a.Zone, "leaving", a.Leaving, "coldForMs", a.ColdFor)
	return nil
}

// changesState reports whether an announcement changes the replicated state. If
// the announcement is current but changes nothing, changesState records it as a
// heartbeat.
func (r *Registry) changesState(a Announcement) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.state.Admits(a.Backend) {
		return false
	}
	if other, ok := r.state.ForeignAt(a.Backend); ok {
		r.config.Logger.Warn("announcement of an unknown service for the address of a backend server ignored",
			"announced", a.ID, "service", a.Service, "address", a.Address, "id", other.ID)
		return false
	}
	if last := r.sequences[a.ID]; last.born == a.Born && a.Sequence <= last.number {
		return false
	}
	if r.state.Outdated(a.Instance, a.Sequence) {
		r.config.Logger.Info("late announcement ignored", "id", a.ID, "born", a.Born, "sequence", a.Sequence)
		return false
	}
	known, ok := r.state.Backend(a.ID)
	if !ok || !sameAnnouncement(known, a.Backend) {
		return true
	}
	r.sequences[a.ID] = sequence{born: a.Born, number: a.Sequence}
	r.recordHeartbeat(a.ID)
	return false
}

// recordHeartbeat records a heartbeat of a backend server, on a VM that is not
// the leader for the next report to the leader. The caller holds the mutex.
func (r *Registry) recordHeartbeat(id shmodel.BackendServer) {
	if r.leaderSince.IsZero() {
		r.unreportedHeartbeats[id] = true
		return
	}
	r.lastHeartbeat[id] = time.Now()
}

// sameAnnouncement reports whether an announcement says nothing new. One of a cold
// backend server always does: this VM may lag behind the leader, and take a cold period
// that has ended for the present one. So does the end of a cold period, since a VM that
// starts later would take the backend server for cold.
func sameAnnouncement(known, announced shfleet.Backend) bool {
	if known.Leaving {
		announced.Leaving = true
	}
	known.At, announced.At = 0, 0
	return announced.ColdFor == 0 && known == announced
}

// Withdraw removes a backend server whose process has ended. Born is the start
// time of the process in Unix milliseconds, zero if unknown.
func (r *Registry) Withdraw(ctx context.Context, id shmodel.BackendServer, born int64) error {
	_, err := leaderCall[empty](ctx, r, methodWithdraw, withdrawRequest{ID: id, Born: born})
	if err == nil {
		r.config.Logger.Info("backend server withdrew", "id", id, "born", born)
	}
	return err
}

// registerMethods registers the handlers of the peer methods.
func (r *Registry) registerMethods() {
	shpeer.Handle(r.config.Server, MethodPropose, r.commit)
	shpeer.Handle(r.config.Server, methodWithdraw, func(ctx context.Context, w withdrawRequest) (empty, error) {
		data, err := shfleet.EncodeCommand(shfleet.RemoveBackends{
			Instances: []shfleet.Instance{{ID: w.ID, Born: w.Born}}, Ended: true,
		})
		if err != nil {
			return empty{}, err
		}
		_, err = r.commit(ctx, ProposeRequest{Command: data})
		return empty{}, err
	})
	shpeer.Handle(r.config.Server, methodDocument, func(ctx context.Context, _ empty) (shfleet.Document, error) {
		var d shfleet.Document
		err := r.store.Read(ctx, func() { d = r.document() })
		return d, err
	})
	shpeer.Handle(r.config.Server, methodEvacuations, r.evacuations)
	shpeer.Handle(r.config.Server, methodHeartbeats, r.handleHeartbeats)
	shpeer.Handle(r.config.Server, MethodReserve, r.reserve)
	shpeer.Handle(r.config.Server, methodRanges, func(ctx context.Context, _ empty) ([]shrecord.Range, error) {
		var ranges []shrecord.Range
		err := r.store.Read(ctx, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			ranges = r.state.Ranges.List()
		})
		return ranges, err
	})
	shpeer.Handle(r.config.Server, MethodWatch, r.watch)
	shpeer.Handle(r.config.Server, MethodShare, r.share)
	if r.config.Quota.Enabled() {
		shpeer.Handle(r.config.Server, MethodAllowance, r.allowance)
	}
}

// reserve handles MethodReserve: it reserves a range of account record numbers.
func (r *Registry) reserve(ctx context.Context, c shcontrol.ReserveRange) (shrecord.Range, error) {
	data, err := shfleet.EncodeCommand(shfleet.ReserveRange{ReserveRange: c})
	if err != nil {
		return shrecord.Range{}, err
	}
	if _, err := r.store.Propose(ctx, data); err != nil {
		return shrecord.Range{}, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	reserved, ok := r.state.Ranges.FindReserved(c)
	if !ok {
		return shrecord.Range{}, fmt.Errorf("range %d of %s was not reserved", c.Sequence, c.VM)
	}
	return reserved, nil
}

// Ranges returns the reserved ranges of account record numbers, confirmed by a
// quorum.
func (r *Registry) Ranges(ctx context.Context) ([]shrecord.Range, error) {
	return leaderCall[[]shrecord.Range](ctx, r, methodRanges, empty{})
}

// Controls returns the control VMs in the local copy of the state, which may be
// behind that of the leader.
func (r *Registry) Controls() []shfleet.Control {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.ControlVMs()
}

func (r *Registry) document() shfleet.Document {
	r.mu.Lock()
	defer r.mu.Unlock()
	d := r.state.Document
	d.Table = shfleet.Table{}
	return d
}

// notLeader returns the error that names the current leader, if it is known.
func (r *Registry) notLeader(op string) error {
	return &shstore.Error{Op: op, Kind: shstore.KindNotLeader, Err: errors.New("this VM is not the leader"), Leader: r.store.Status().Leader}
}

func (r *Registry) handleHeartbeats(_ context.Context, s heartbeatsRequest) (empty, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaderSince.IsZero() {
		return empty{}, r.notLeader(methodHeartbeats)
	}
	now := time.Now()
	for _, id := range s.IDs {
		r.lastHeartbeat[id] = now
	}
	return empty{}, nil
}
