package shstore

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"

	"sequoiahollow/coordination/shraft"
)

// callKind says what the owner does with a call.
type callKind uint8

const (
	// callPropose proposes call.data.
	callPropose callKind = iota
	// callRead runs call.run after a quorum confirmed the leader.
	callRead
	// callEvent passes call.event(token) to the node.
	callEvent
	// callTransfer is a callEvent that ends when leadership is lost.
	callTransfer
	// callBootstrap creates a group of call.members.
	callBootstrap
	// callInspect runs call.run without confirmation.
	callInspect
)

// call is a request to the owner goroutine.
type call struct {
	op   string
	kind callKind
	data []byte
	run  func()
	// members is for callBootstrap.
	members []shraft.Member
	event   func(token uint64) shraft.Event
	// state decides between the owner that takes the call and the caller that
	// abandons it.
	state  atomic.Int32
	result chan outcome
}

const (
	callQueued int32 = iota
	callTaken
	// callRunning says that call.run runs or has run.
	callRunning
	callAbandoned
)

type outcome struct {
	data []byte
	err  error
}

func (c *call) finish(data []byte, err error) {
	select {
	case c.result <- outcome{data, err}:
	default:
	}
}

// kindWhenStopped is the error kind of a call that was taken and not finished when
// the store stopped.
func (c *call) kindWhenStopped() Kind {
	if c.run != nil {
		return KindClosed
	}
	return KindUnknown
}

// submit queues a call and waits for its outcome.
func (s *Store) submit(ctx context.Context, c *call) ([]byte, error) {
	c.result = make(chan outcome, 1)
	stopped := newError(c.op, KindClosed, errors.New("store stopped"))
	select {
	case <-s.done:
		return nil, stopped
	default:
	}
	select {
	case s.calls <- c:
	case <-s.done:
		return nil, stopped
	case <-ctx.Done():
		return nil, newError(c.op, KindTimeout, ctx.Err())
	}
	select {
	case o := <-c.result:
		return o.data, o.err
	case <-ctx.Done():
	case <-s.done:
	}
	if c.abandon() {
		if err := ctx.Err(); err != nil {
			return nil, newError(c.op, KindTimeout, err)
		}
		return nil, stopped
	}
	if c.run != nil {
		// The owner is running call.run, which may use the caller's variables, so
		// the caller has to wait for its end.
		o := <-c.result
		return o.data, o.err
	}
	select {
	case o := <-c.result:
		return o.data, o.err
	default:
		return nil, newError(c.op, KindUnknown, errors.New("no outcome before the deadline"))
	}
}

// abandon cancels a call that has had no effect yet, and reports whether it did.
// An abandoned call has no effect later.
func (c *call) abandon() bool {
	if c.state.CompareAndSwap(callQueued, callAbandoned) {
		return true
	}
	return c.run != nil && c.state.CompareAndSwap(callTaken, callAbandoned)
}

// runOnce runs call.run unless the caller abandoned the call.
func (c *call) runOnce() {
	if c.state.CompareAndSwap(callTaken, callRunning) {
		c.run()
		c.finish(nil, nil)
	}
}

// startCalls starts a call and those queued behind it, all proposals as one batch
// and all reads as one batch.
func (s *Store) startCalls(first *call) error {
	batch := []*call{first}
	for len(batch) < maxCallBatch {
		select {
		case c := <-s.calls:
			batch = append(batch, c)
			continue
		default:
		}
		break
	}
	var proposals []shraft.Proposal
	var reads []uint64
	var rest []*call
	for _, c := range batch {
		if !c.state.CompareAndSwap(callQueued, callTaken) {
			continue
		}
		switch c.kind {
		case callPropose:
			proposals = append(proposals, shraft.Proposal{Token: s.registerCall(c), Data: c.data})
		case callRead:
			reads = append(reads, s.registerCall(c))
		default:
			rest = append(rest, c)
		}
	}
	if len(proposals) > 0 {
		if err := s.step(shraft.Propose{Proposals: proposals}); err != nil {
			return err
		}
	}
	if len(reads) > 0 {
		if err := s.step(shraft.Read{Tokens: reads}); err != nil {
			return err
		}
	}
	for _, c := range rest {
		if err := s.startOther(c); err != nil {
			return err
		}
	}
	return nil
}

func (s *Store) startOther(c *call) error {
	switch c.kind {
	case callInspect:
		c.runOnce()
		return nil
	case callBootstrap:
		err := s.bootstrap(c.members)
		c.finish(nil, err)
		return err
	default:
		return s.step(c.event(s.registerCall(c)))
	}
}

// registerCall assigns a token to a call and returns it.
func (s *Store) registerCall(c *call) uint64 {
	s.lastToken++
	s.callsByToken[s.lastToken] = c
	return s.lastToken
}

func (s *Store) unregisterCall(token uint64) *call {
	c := s.callsByToken[token]
	delete(s.callsByToken, token)
	return c
}

func (s *Store) handleAccepted(e shraft.Accepted) {
	if c := s.unregisterCall(e.Token); c != nil {
		s.callsByIndex[e.Index] = appendedCall{term: e.Term, call: c}
	}
}

func (s *Store) handleRefused(e shraft.Refused) {
	c := s.unregisterCall(e.Token)
	if c == nil {
		return
	}
	if e.Reason == shraft.NotLeader {
		c.finish(nil, s.notLeader(c.op))
		return
	}
	c.finish(nil, &Error{Op: c.op, Kind: KindRefused, Err: errors.New(string(e.Reason)), Leader: s.leader()})
}

func (s *Store) handleReadReady(e shraft.ReadReady) {
	if c := s.unregisterCall(e.Token); c != nil {
		c.runOnce()
	}
}

func (s *Store) notLeader(op string) *Error {
	return &Error{Op: op, Kind: KindNotLeader, Err: errors.New("this VM is not the leader"), Leader: s.leader()}
}

// MaxProposalBytes bounds the data of a proposal. Entries of 4 MiB kept a
// follower decoding JSON for longer than the election timeout on a busy machine,
// so that no leader could replicate them.
const MaxProposalBytes = 1 << 20

// Propose replicates data and returns what StateMachine.Apply returned for it on
// this VM. On an error of KindUnknown it may be applied, now or later; on any
// other error it is not. Data over MaxProposalBytes is refused.
func (s *Store) Propose(ctx context.Context, data []byte) ([]byte, error) {
	const op = "propose"
	if len(data) > MaxProposalBytes {
		return nil, newError(op, KindRefused, fmt.Errorf("proposal of %d bytes exceeds %d", len(data), MaxProposalBytes))
	}
	return s.submit(ctx, &call{op: op, kind: callPropose, data: data})
}

// Read runs f in the owner goroutine, so that no entries are applied meanwhile,
// after a quorum confirmed that this VM is the leader and all earlier proposals
// are applied. If Read returns an error, f did not run and will not.
func (s *Store) Read(ctx context.Context, f func()) error {
	_, err := s.submit(ctx, &call{op: "read", kind: callRead, run: f})
	return err
}

// Inspect runs f in the owner goroutine, so that no entries are applied meanwhile,
// but without any confirmation: the state may be out of date. If Inspect returns
// an error, f did not run and will not.
func (s *Store) Inspect(ctx context.Context, f func()) error {
	_, err := s.submit(ctx, &call{op: "inspect", kind: callInspect, run: f})
	return err
}

func (s *Store) changeMembership(ctx context.Context, op string, event func(token uint64) shraft.Event) error {
	_, err := s.submit(ctx, &call{op: op, kind: callEvent, event: event})
	return err
}

// AddLearner adds a member without a vote and returns when that is committed.
func (s *Store) AddLearner(ctx context.Context, m shraft.Member) error {
	return s.changeMembership(ctx, "add learner", func(token uint64) shraft.Event {
		return shraft.AddLearner{Token: token, Member: m}
	})
}

// Promote makes a learner that has caught up a voter.
func (s *Store) Promote(ctx context.Context, id shraft.ID) error {
	return s.changeMembership(ctx, "promote", func(token uint64) shraft.Event {
		return shraft.Promote{Token: token, ID: id}
	})
}

// RemoveMember removes a voter or a learner. The leader cannot remove itself.
func (s *Store) RemoveMember(ctx context.Context, id shraft.ID) error {
	return s.changeMembership(ctx, "remove member", func(token uint64) shraft.Event {
		return shraft.Remove{Token: token, ID: id}
	})
}

// Transfer transfers leadership to the voter whose log is most up to date, and
// returns when this VM is no longer the leader. On a VM that is not the leader it
// does nothing and returns nil. Proposals are refused during the transfer.
func (s *Store) Transfer(ctx context.Context) error {
	_, err := s.submit(ctx, &call{op: "transfer", kind: callTransfer, event: func(token uint64) shraft.Event {
		return shraft.Transfer{Token: token}
	}})
	if KindOf(err) == KindNotLeader {
		return nil
	}
	return err
}
