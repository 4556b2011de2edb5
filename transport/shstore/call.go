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
	// callEvent hands call.event(token) to the node.
	callEvent
	// callTransfer is a callEvent that ends when leadership is lost.
	callTransfer
	// callBootstrap makes a group of call.members.
	callBootstrap
	// callOwner runs call.run at once.
	callOwner
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
	// state settles whether the owner took the call or the caller gave up.
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

// lostKind is the kind of error of a call that was taken when the store stopped.
func (c *call) lostKind() Kind {
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
		// The owner is running it, and the caller must not go on meanwhile.
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

// abandon gives up a call that has had no effect. Afterwards it will have none.
func (c *call) abandon() bool {
	if c.state.CompareAndSwap(callQueued, callAbandoned) {
		return true
	}
	return c.run != nil && c.state.CompareAndSwap(callTaken, callAbandoned)
}

// runOnce runs call.run unless the caller gave up.
func (c *call) runOnce() {
	if c.state.CompareAndSwap(callTaken, callRunning) {
		c.run()
		c.finish(nil, nil)
	}
}

// take starts a call, together with others of its kind that are queued.
func (s *Store) take(first *call) error {
	batch := []*call{first}
	for len(batch) < maxProposals {
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
			proposals = append(proposals, shraft.Proposal{Token: s.wait(c), Data: c.data})
		case callRead:
			reads = append(reads, s.wait(c))
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
		if err := s.takeOther(c); err != nil {
			return err
		}
	}
	return nil
}

func (s *Store) takeOther(c *call) error {
	switch c.kind {
	case callOwner:
		c.runOnce()
		return nil
	case callBootstrap:
		err := s.bootstrap(c.members)
		c.finish(nil, err)
		return err
	default:
		return s.step(c.event(s.wait(c)))
	}
}

// wait gives a call a token.
func (s *Store) wait(c *call) uint64 {
	s.token++
	s.waiting[s.token] = c
	return s.token
}

func (s *Store) release(token uint64) *call {
	c := s.waiting[token]
	delete(s.waiting, token)
	return c
}

func (s *Store) place(e shraft.Accepted) {
	if c := s.release(e.Token); c != nil {
		s.placed[e.Index] = placement{term: e.Term, call: c}
	}
}

func (s *Store) refuse(e shraft.Refused) {
	c := s.release(e.Token)
	if c == nil {
		return
	}
	if e.Reason == shraft.NotLeader {
		c.finish(nil, s.notLeader(c.op))
		return
	}
	c.finish(nil, &Error{Op: c.op, Kind: KindRefused, Err: errors.New(string(e.Reason)), Leader: s.leader()})
}

func (s *Store) ready(e shraft.ReadReady) {
	if c := s.release(e.Token); c != nil {
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

// Read runs f in the owner goroutine, with the state machine at rest, after a
// quorum confirmed that this VM is the leader and all earlier proposals are
// applied. If Read returns an error, f did not run and will not.
func (s *Store) Read(ctx context.Context, f func()) error {
	_, err := s.submit(ctx, &call{op: "read", kind: callRead, run: f})
	return err
}

// Inspect runs f in the owner goroutine, with the state machine at rest, without
// any confirmation: the state may be out of date. If Inspect returns an error, f
// did not run and will not.
func (s *Store) Inspect(ctx context.Context, f func()) error {
	_, err := s.submit(ctx, &call{op: "inspect", kind: callOwner, run: f})
	return err
}

func (s *Store) change(ctx context.Context, op string, event func(token uint64) shraft.Event) error {
	_, err := s.submit(ctx, &call{op: op, kind: callEvent, event: event})
	return err
}

// AddLearner adds a member without a vote and returns when that is committed.
func (s *Store) AddLearner(ctx context.Context, m shraft.Member) error {
	return s.change(ctx, "add learner", func(token uint64) shraft.Event {
		return shraft.AddLearner{Token: token, Member: m}
	})
}

// Promote makes a learner that has caught up a voter.
func (s *Store) Promote(ctx context.Context, id shraft.ID) error {
	return s.change(ctx, "promote", func(token uint64) shraft.Event {
		return shraft.Promote{Token: token, ID: id}
	})
}

// RemoveVoter removes a voter or a learner. The leader cannot remove itself.
func (s *Store) RemoveVoter(ctx context.Context, id shraft.ID) error {
	return s.change(ctx, "remove voter", func(token uint64) shraft.Event {
		return shraft.Remove{Token: token, ID: id}
	})
}

// Transfer hands leadership to the voter that is most up to date, and returns
// when this VM is no longer the leader. On a VM that is not the leader it does
// nothing and returns nil. Proposals are refused meanwhile.
func (s *Store) Transfer(ctx context.Context) error {
	_, err := s.submit(ctx, &call{op: "transfer", kind: callTransfer, event: func(token uint64) shraft.Event {
		return shraft.Transfer{Token: token}
	}})
	if KindOf(err) == KindNotLeader {
		return nil
	}
	return err
}
