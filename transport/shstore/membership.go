package shstore

import (
	"cmp"
	"context"
	"slices"
	"time"

	"sequoiahollow/coordination/shraft"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/transport/shpeer"
)

// joiner is a store that asked for membership.
type joiner struct {
	member shraft.Member
	at     time.Time
}

const (
	// maintainInterval is the time between looks at the membership.
	maintainInterval = 100 * time.Millisecond
	// joinerIntervals is how many announcements may be lost before a joiner is
	// forgotten.
	joinerIntervals = 5
)

// join announces the store to the listed VMs until it belongs to a group, and
// makes the group if that is its task.
func (s *Store) join() {
	defer s.active.Done()
	ticker := time.NewTicker(s.config.JoinInterval)
	defer ticker.Stop()
	for {
		if !s.Status().Waiting {
			return
		}
		if s.config.Bootstrap && s.isFirst() {
			s.tryBootstrap()
		}
		s.announce()
		select {
		case <-ticker.C:
		case <-s.ctx.Done():
			return
		}
	}
}

// isFirst reports whether this VM is the one that makes the group.
func (s *Store) isFirst() bool {
	first := slices.MinFunc(s.config.Voters, func(a, b Peer) int { return cmp.Compare(a.VM, b.VM) })
	return first.VM == s.config.VM
}

// others calls f for each other listed VM at the same time, and waits.
func (s *Store) others(f func(ctx context.Context, i int, p Peer)) {
	ctx, cancel := context.WithTimeout(s.ctx, s.config.JoinInterval)
	defer cancel()
	finished := make(chan struct{})
	count := 0
	for i, p := range s.config.Voters {
		if p.VM == s.config.VM {
			continue
		}
		count++
		go func() {
			f(ctx, i, p)
			finished <- struct{}{}
		}()
	}
	for range count {
		<-finished
	}
}

func (s *Store) announce() {
	s.others(func(ctx context.Context, _ int, p Peer) {
		_, err := shpeer.Call[none](ctx, s.config.Client, p.Address, methodJoin, joinRequest{Member: s.member()})
		if err != nil {
			s.config.Logger.Debug("request to join the raft group not delivered", "vm", p.VM, "error", err)
		}
	})
}

// tryBootstrap makes the group if all other listed VMs are empty.
func (s *Store) tryBootstrap() {
	members := make([]shraft.Member, len(s.config.Voters))
	s.others(func(ctx context.Context, i int, p Peer) {
		answer, err := shpeer.Call[identity](ctx, s.config.Client, p.Address, methodIdentity, none{})
		if err == nil && answer.Empty && answer.Member.ID.VM == p.VM {
			members[i] = answer.Member
		}
	})
	for i, p := range s.config.Voters {
		if p.VM == s.config.VM {
			members[i] = s.member()
		}
		if members[i].ID.IsZero() {
			s.config.Logger.Info("raft group not created: VM did not answer that it is empty", "vm", p.VM)
			return
		}
	}
	c := &call{op: "bootstrap", kind: callBootstrap, members: members}
	if _, err := s.submit(s.ctx, c); err != nil {
		s.config.Logger.Warn("raft group not created", "error", err)
	}
}

// bootstrap makes the group in the owner goroutine.
func (s *Store) bootstrap(members []shraft.Member) error {
	if !s.isEmpty() {
		return nil
	}
	data, err := s.config.StateMachine.Snapshot()
	if err != nil {
		return newError("bootstrap", KindState, err)
	}
	stored := shraft.NewGroup(members, data)
	if err := s.disk.bootstrap(stored); err != nil {
		return newError("bootstrap", KindStorage, err)
	}
	s.config.Logger.Info("raft group created", "voters", len(members))
	return s.start(stored)
}

// noteJoiner records an announcement. Only VMs that the settings list may join.
func (s *Store) noteJoiner(m shraft.Member) {
	if s.node.Status().Role != shraft.Leader || s.config.peerAddress(m.ID.VM) == "" {
		return
	}
	s.joining[m.ID.VM] = joiner{member: m, at: time.Now()}
}

// maintain does the periodic work of the owner.
func (s *Store) maintain() error {
	if err := s.snapshot(); err != nil {
		return err
	}
	now := time.Now()
	if now.Sub(s.maintained) < maintainInterval {
		return nil
	}
	s.maintained = now
	s.dropIdleSenders(now)
	if s.config.ManualMembership || !s.nodeStatus.Ready {
		return nil
	}
	for vm, j := range s.joining {
		if now.Sub(j.at) > joinerIntervals*s.config.JoinInterval {
			delete(s.joining, vm)
		}
	}
	if ev := s.nextChange(); ev != nil {
		// A refusal, for example while another change is open, is retried.
		return s.step(ev)
	}
	return nil
}

// nextChange returns the next membership change that replaces a lost disk, or
// nil. The token zero belongs to no call.
func (s *Store) nextChange() shraft.Event {
	m := s.nodeStatus.Membership
	for _, j := range s.joining {
		id := j.member.ID
		if m.IsVoter(id) || m.IsLearner(id) {
			continue
		}
		if former, ok := memberOn(m.Learners, id.VM); ok {
			// The disk was lost again before the promotion.
			return shraft.Remove{ID: former.ID}
		}
		return shraft.AddLearner{Member: j.member}
	}
	for _, learner := range m.Learners {
		if s.config.peerAddress(learner.ID.VM) == "" || !slices.Contains(s.nodeStatus.CaughtUp, learner.ID) {
			continue
		}
		former, ok := memberOn(m.Voters, learner.ID.VM)
		if !ok {
			return shraft.Promote{ID: learner.ID}
		}
		if slices.Contains(s.nodeStatus.Active, former.ID) {
			s.config.Logger.Error("two raft nodes run under one VM name", "vm", former.ID.VM)
			continue
		}
		return shraft.Remove{ID: former.ID}
	}
	return nil
}

func memberOn(members []shraft.Member, vm shmodel.VM) (shraft.Member, bool) {
	for _, m := range members {
		if m.ID.VM == vm {
			return m, true
		}
	}
	return shraft.Member{}, false
}
