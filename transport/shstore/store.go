package shstore

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"sequoiahollow/coordination/shraft"
	"sequoiahollow/state/shmodel"
)

// Limits of the queues of a store.
const (
	inboxMessages = 4096
	// maxProposals bounds a batch that is appended and synced together.
	maxProposals = 1024
	queuedCalls  = 1024
)

// Store runs one member of the group. Make one with Open. Its methods are safe
// for concurrent use.
type Store struct {
	config Config
	disk   *disk
	inbox  chan delivery
	calls  chan *call
	status atomic.Pointer[Status]
	ctx    context.Context
	cancel context.CancelFunc
	active sync.WaitGroup
	done   chan struct{}
	failed error // set before done closes

	// The fields below belong to the owner goroutine.
	node        *shraft.Node
	nodeStatus  shraft.Status
	applied     uint64
	addresses   map[shmodel.VM]string // told by the VMs themselves
	senders     map[string]*sender
	token       uint64
	waiting     map[uint64]*call // by token
	placed      map[uint64]placement
	joining     map[shmodel.VM]joiner
	activeAt    map[shraft.ID]time.Time // last contact, as the leader sees it
	maintained  time.Time
	snapshotAt  uint64 // index of the last snapshot
	sinceBytes  int    // data applied since then
	snapshotLen int
}

// delivery is a message from a peer.
type delivery struct {
	address string
	message shraft.Message
}

// placement is a proposal or change at its place in the log.
type placement struct {
	term uint64
	call *call
}

// Open reads what is stored and starts the store. All errors are of type *Error.
func Open(config Config) (*Store, error) {
	const op = "open"
	config = config.withDefaults()
	if err := config.validate(); err != nil {
		return nil, newError(op, KindConfig, err)
	}
	d, stored, err := openDisk(config.FS, config.Folder, config.VM)
	if err != nil {
		return nil, newError(op, KindStorage, err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Store{
		config:    config,
		disk:      d,
		inbox:     make(chan delivery, inboxMessages),
		calls:     make(chan *call, queuedCalls),
		ctx:       ctx,
		cancel:    cancel,
		done:      make(chan struct{}),
		addresses: make(map[shmodel.VM]string),
		senders:   make(map[string]*sender),
		waiting:   make(map[uint64]*call),
		placed:    make(map[uint64]placement),
		joining:   make(map[shmodel.VM]joiner),
		activeAt:  make(map[shraft.ID]time.Time),
	}
	if torn := d.log.Torn(); torn > 0 {
		config.Logger.Warn("torn tail of the raft log was truncated", "bytes", torn)
	}
	if err := s.start(stored); err != nil {
		cancel()
		return nil, errors.Join(err, d.log.Close())
	}
	s.handle()
	s.active.Add(1)
	go s.join()
	go s.own()
	return s, nil
}

// start makes the node.
func (s *Store) start(stored shraft.StoredState) error {
	raft := s.config.Raft
	raft.ID = s.disk.meta.ID
	var seed [8]byte
	rand.Read(seed[:]) // crypto/rand.Read never fails
	raft.Seed = binary.LittleEndian.Uint64(seed[:])
	node, effects, err := shraft.New(raft, stored, time.Now())
	if err != nil {
		return newError("open", KindStorage, err)
	}
	s.node = node
	s.applied = stored.Snapshot.Index
	s.snapshotAt = stored.Snapshot.Index
	s.snapshotLen = len(stored.Snapshot.Data)
	if err := s.carryOut(effects); err != nil {
		return err
	}
	s.publish()
	return nil
}

// own is the owner goroutine.
func (s *Store) own() {
	ticker := time.NewTicker(s.config.Tick)
	defer ticker.Stop()
	var err error
	for err == nil && s.ctx.Err() == nil {
		select {
		case <-s.ctx.Done():
		case <-ticker.C:
			err = s.step(shraft.Tick{})
			if err == nil {
				err = s.maintain()
			}
		case d := <-s.inbox:
			s.addresses[d.message.From.VM] = d.address
			err = s.step(shraft.Receive{Message: d.message})
		case c := <-s.calls:
			err = s.take(c)
		}
	}
	s.stop(err)
}

// stop ends all calls and closes files.
func (s *Store) stop(err error) {
	s.cancel()
	if err != nil {
		s.failed = err
		s.config.Logger.Error("replicated store stopped", "error", err)
	}
	closeErr := s.disk.log.Close()
	if s.failed == nil && closeErr != nil {
		s.failed = newError("close", KindStorage, closeErr)
	}
	for _, c := range s.waiting {
		c.finish(nil, newError(c.op, c.lostKind(), errors.New("store stopped")))
	}
	for _, p := range s.placed {
		p.call.finish(nil, newError(p.call.op, KindUnknown, errors.New("store stopped")))
	}
	close(s.done)
	for {
		select {
		case c := <-s.calls:
			c.finish(nil, newError(c.op, KindClosed, errors.New("store stopped")))
		default:
			return
		}
	}
}

// Close stops the store and waits until its files are closed. It returns the
// error that stopped the store earlier, if any.
func (s *Store) Close() error {
	s.cancel()
	<-s.done
	s.active.Wait()
	return s.failed
}

// Done is closed when the store has stopped.
func (s *Store) Done() <-chan struct{} { return s.done }

// Err returns why the store stopped, nil while it runs or after Close.
func (s *Store) Err() error {
	select {
	case <-s.done:
		return s.failed
	default:
		return nil
	}
}

// Status describes the store after the last event.
func (s *Store) Status() Status { return *s.status.Load() }

func (s *Store) publish() {
	s.nodeStatus = s.node.Status()
	n := s.nodeStatus
	s.status.Store(&Status{
		ID:        n.ID,
		Role:      n.Role,
		Term:      n.Term,
		Leader:    s.leader(),
		Ready:     n.Ready,
		Waiting:   len(n.Membership.Voters) == 0,
		Commit:    n.Commit,
		Applied:   s.applied,
		Last:      n.LastIndex,
		Voters:    n.Membership.Voters,
		Learners:  n.Membership.Learners,
		CaughtUp:  n.CaughtUp,
		Active:    n.Active,
		Confirmed: n.Confirmed,
	})
}

// leader returns the known leader with its address.
func (s *Store) leader() Peer {
	id := s.nodeStatus.Leader
	if id.IsZero() {
		return Peer{}
	}
	return Peer{VM: id.VM, Address: s.address(id)}
}

// address returns the peer address of a node, or "".
func (s *Store) address(id shraft.ID) string {
	if id.VM == s.config.VM {
		return s.config.Address
	}
	if a := s.addresses[id.VM]; a != "" {
		return a
	}
	if a := s.config.peerAddress(id.VM); a != "" {
		return a
	}
	for _, m := range s.nodeStatus.Membership.Members() {
		if m.ID == id {
			return m.Address
		}
	}
	return ""
}

// step hands an event to the node and carries out the effects.
func (s *Store) step(ev shraft.Event) error {
	effects := s.node.Step(time.Now(), ev)
	// Addresses of new members come from the status.
	s.nodeStatus = s.node.Status()
	if err := s.carryOut(effects); err != nil {
		return err
	}
	s.publish()
	return nil
}

func (s *Store) carryOut(effects []shraft.Effect) error {
	for _, e := range effects {
		switch e := e.(type) {
		case shraft.Persist:
			if err := s.disk.persist(e); err != nil {
				return newError("persist", KindStorage, err)
			}
		case shraft.Restore:
			if err := s.config.StateMachine.Restore(e.Snapshot.Data); err != nil {
				return newError("restore", KindState, err)
			}
			s.applied, s.snapshotAt = e.Snapshot.Index, e.Snapshot.Index
			s.sinceBytes, s.snapshotLen = 0, len(e.Snapshot.Data)
		case shraft.Send:
			s.send(e.Message)
		case shraft.Accepted:
			s.place(e)
		case shraft.Refused:
			s.refuse(e)
		case shraft.Apply:
			s.apply(e.Entries)
		case shraft.ReadReady:
			s.ready(e)
		case shraft.RoleChanged:
			s.changeRole(e)
		}
	}
	return nil
}

func (s *Store) apply(entries []shraft.Entry) {
	for _, e := range entries {
		var result []byte
		if e.Kind == shraft.Command {
			result = s.config.StateMachine.Apply(e.Index, e.At, e.Data)
		}
		s.applied = e.Index
		s.sinceBytes += len(e.Data)
		p, ok := s.placed[e.Index]
		if !ok {
			continue
		}
		delete(s.placed, e.Index)
		if p.term == e.Term {
			p.call.finish(result, nil)
		} else {
			p.call.finish(nil, s.notLeader(p.call.op))
		}
	}
}

func (s *Store) changeRole(e shraft.RoleChanged) {
	s.nodeStatus = s.node.Status()
	if e.Role != shraft.Leader {
		for index, p := range s.placed {
			delete(s.placed, index)
			p.call.finish(nil, &Error{
				Op: p.call.op, Kind: KindUnknown, Leader: s.leader(),
				Err: errors.New("leadership was lost before the outcome was known"),
			})
		}
		for token, c := range s.waiting {
			if c.kind == callTransfer {
				delete(s.waiting, token)
				c.finish(nil, nil)
			}
		}
		clear(s.joining)
		clear(s.activeAt)
	}
	s.publish()
	s.config.Logger.Info("raft role changed", "role", e.Role, "term", e.Term, "leader", e.Leader.VM, "ready", e.Ready)
	s.config.OnRole(Role{
		Leader: e.Role == shraft.Leader, Ready: e.Ready, Term: e.Term, Current: s.leader(),
	})
}

// snapshotFactor bounds the entries without a snapshot, in units of
// Config.SnapshotEvery, when they are small compared to the state.
const snapshotFactor = 8

// snapshot compacts the log when it has grown enough.
func (s *Store) snapshot() error {
	entries := s.applied - s.snapshotAt
	if entries < s.config.SnapshotEvery {
		return nil
	}
	if 2*s.sinceBytes < s.snapshotLen && entries < snapshotFactor*s.config.SnapshotEvery {
		return nil
	}
	data, err := s.config.StateMachine.Snapshot()
	if err != nil {
		return newError("snapshot", KindState, err)
	}
	s.snapshotAt, s.sinceBytes, s.snapshotLen = s.applied, 0, len(data)
	return s.step(shraft.Compact{Index: s.applied, Data: data})
}
