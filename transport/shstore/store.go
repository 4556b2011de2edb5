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
	inboxLength = 4096
	// maxCallBatch bounds the calls that are started together. Their proposals are
	// appended and synced together.
	maxCallBatch    = 1024
	callQueueLength = 1024
)

// Store runs one member of the group. Make one with Open. Its methods are safe
// for concurrent use.
type Store struct {
	config  Config
	disk    *disk
	inbox   chan receivedMessage
	calls   chan *call
	status  atomic.Pointer[Status]
	ctx     context.Context
	cancel  context.CancelFunc
	workers sync.WaitGroup
	done    chan struct{}
	stopErr error // set before done closes

	// The fields below belong to the owner goroutine.
	node               *shraft.Node
	nodeStatus         shraft.Status
	applied            uint64
	addresses          map[shmodel.VM]string // as sent or announced by the VMs themselves
	senders            map[string]*sender
	lastToken          uint64
	callsByToken       map[uint64]*call
	callsByIndex       map[uint64]appendedCall
	joiners            map[shmodel.VM]joiner
	lastContact        map[shraft.ID]time.Time // of members, while this VM is the leader
	maintainedAt       time.Time
	snapshotIndex      uint64 // index of the last snapshot
	bytesSinceSnapshot int    // of data applied
	snapshotBytes      int
}

// receivedMessage is a message from a peer.
type receivedMessage struct {
	address string
	message shraft.Message
}

// appendedCall is a proposal or membership change that was appended to the log
// in a term.
type appendedCall struct {
	term uint64
	call *call
}

// Open reads what is stored and starts the store. All errors have an *Error in
// their chain.
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
		config:       config,
		disk:         d,
		inbox:        make(chan receivedMessage, inboxLength),
		calls:        make(chan *call, callQueueLength),
		ctx:          ctx,
		cancel:       cancel,
		done:         make(chan struct{}),
		addresses:    make(map[shmodel.VM]string),
		senders:      make(map[string]*sender),
		callsByToken: make(map[uint64]*call),
		callsByIndex: make(map[uint64]appendedCall),
		joiners:      make(map[shmodel.VM]joiner),
		lastContact:  make(map[shraft.ID]time.Time),
	}
	if torn := d.log.Torn(); torn > 0 {
		config.Logger.Warn("torn tail of the raft log was truncated", "bytes", torn)
	}
	if err := s.startNode(stored); err != nil {
		cancel()
		return nil, errors.Join(err, d.log.Close())
	}
	s.registerHandlers()
	s.workers.Add(1)
	go s.runJoin()
	go s.runOwner()
	return s, nil
}

// startNode makes the node from the stored state.
func (s *Store) startNode(stored shraft.StoredState) error {
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
	s.snapshotIndex = stored.Snapshot.Index
	s.snapshotBytes = len(stored.Snapshot.Data)
	if err := s.carryOut(effects); err != nil {
		return err
	}
	s.publishStatus()
	return nil
}

// runOwner runs the owner goroutine.
func (s *Store) runOwner() {
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
			err = s.startCalls(c)
		}
	}
	s.stop(err)
}

// stop ends all calls and closes files.
func (s *Store) stop(err error) {
	s.cancel()
	if err != nil {
		s.stopErr = err
		s.config.Logger.Error("replicated store stopped", "error", err)
	}
	closeErr := s.disk.log.Close()
	if s.stopErr == nil && closeErr != nil {
		s.stopErr = newError("close", KindStorage, closeErr)
	}
	for _, c := range s.callsByToken {
		c.finish(nil, newError(c.op, c.kindWhenStopped(), errors.New("store stopped")))
	}
	for _, p := range s.callsByIndex {
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
	s.workers.Wait()
	return s.stopErr
}

// Done is closed when the store has stopped.
func (s *Store) Done() <-chan struct{} { return s.done }

// Err returns why the store stopped, nil while it runs or after Close.
func (s *Store) Err() error {
	select {
	case <-s.done:
		return s.stopErr
	default:
		return nil
	}
}

// Status describes the store after the last event.
func (s *Store) Status() Status { return *s.status.Load() }

func (s *Store) publishStatus() {
	s.nodeStatus = s.node.Status()
	n := s.nodeStatus
	s.status.Store(&Status{
		ID:           n.ID,
		Role:         n.Role,
		Term:         n.Term,
		Leader:       s.leader(),
		Ready:        n.Ready,
		WithoutGroup: len(n.Membership.Voters) == 0,
		Commit:       n.Commit,
		Applied:      s.applied,
		LastIndex:    n.LastIndex,
		Voters:       n.Membership.Voters,
		Learners:     n.Membership.Learners,
		CaughtUp:     n.CaughtUp,
		Active:       n.Active,
		Confirmed:    n.Confirmed,
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

// step passes an event to the node and carries out the effects.
func (s *Store) step(ev shraft.Event) error {
	effects := s.node.Step(time.Now(), ev)
	// Addresses of new members come from the status.
	s.nodeStatus = s.node.Status()
	if err := s.carryOut(effects); err != nil {
		return err
	}
	s.publishStatus()
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
			s.applied, s.snapshotIndex = e.Snapshot.Index, e.Snapshot.Index
			s.bytesSinceSnapshot, s.snapshotBytes = 0, len(e.Snapshot.Data)
		case shraft.Send:
			s.send(e.Message)
		case shraft.Accepted:
			s.handleAccepted(e)
		case shraft.Refused:
			s.handleRefused(e)
		case shraft.Apply:
			s.applyEntries(e.Entries)
		case shraft.ReadReady:
			s.handleReadReady(e)
		case shraft.RoleChanged:
			s.handleRoleChanged(e)
		}
	}
	return nil
}

func (s *Store) applyEntries(entries []shraft.Entry) {
	for _, e := range entries {
		var result []byte
		if e.Kind == shraft.Command {
			result = s.config.StateMachine.Apply(e.Index, e.At, e.Data)
		}
		s.applied = e.Index
		s.bytesSinceSnapshot += len(e.Data)
		p, ok := s.callsByIndex[e.Index]
		if !ok {
			continue
		}
		delete(s.callsByIndex, e.Index)
		if p.term == e.Term {
			p.call.finish(result, nil)
		} else {
			p.call.finish(nil, s.notLeader(p.call.op))
		}
	}
}

func (s *Store) handleRoleChanged(e shraft.RoleChanged) {
	s.nodeStatus = s.node.Status()
	if e.Role != shraft.Leader {
		for index, p := range s.callsByIndex {
			delete(s.callsByIndex, index)
			p.call.finish(nil, &Error{
				Op: p.call.op, Kind: KindUnknown, Leader: s.leader(),
				Err: errors.New("leadership was lost before the outcome was known"),
			})
		}
		for token, c := range s.callsByToken {
			if c.kind == callTransfer {
				delete(s.callsByToken, token)
				c.finish(nil, nil)
			}
		}
		clear(s.joiners)
		clear(s.lastContact)
	}
	s.publishStatus()
	s.config.Logger.Info("raft role changed", "role", e.Role, "term", e.Term, "leader", e.Leader.VM, "ready", e.Ready)
	s.config.OnRole(Role{
		Leader: e.Role == shraft.Leader, Ready: e.Ready, Term: e.Term, KnownLeader: s.leader(),
	})
}

// snapshotFactor times Config.SnapshotEvery bounds the entries without a snapshot
// when their data is small compared to the last snapshot.
const snapshotFactor = 8

// snapshotIfDue makes a snapshot and compacts the log when it has grown enough.
func (s *Store) snapshotIfDue() error {
	entries := s.applied - s.snapshotIndex
	switch {
	case s.bytesSinceSnapshot >= max(s.config.SnapshotBytes, 2*s.snapshotBytes):
	case entries < s.config.SnapshotEvery:
		return nil
	case 2*s.bytesSinceSnapshot < s.snapshotBytes && entries < snapshotFactor*s.config.SnapshotEvery:
		return nil
	}
	data, err := s.config.StateMachine.Snapshot()
	if err != nil {
		return newError("snapshot", KindState, err)
	}
	s.snapshotIndex, s.bytesSinceSnapshot, s.snapshotBytes = s.applied, 0, len(data)
	return s.step(shraft.Compact{Index: s.applied, Data: data})
}
