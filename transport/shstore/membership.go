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
	// silentVoter is two election timeouts: a voter that only lost a few
	// heartbeats keeps its vote.
	silentVoter = 2 * shraft.DefaultElectionTimeout
	// silentLearner is longer than the transfer of a snapshot takes.
	silentLearner = 10 * time.Second
)

// join announces the store while it needs a group, and makes the group if that
// is its task.
func (s *Store) join() {
	defer s.active.Done()
	ticker := time.NewTicker(s.config.JoinInterval)
	defer ticker.Stop()
	for {
		waiting := s.Status().Waiting
		if !waiting && len(s.config.Seeds) == 0 {
			return
		}
		if waiting && s.config.Bootstrap && s.isFirst() {
			s.tryBootstrap()
		}
		if s.needsGroup() {
			s.announce()
		}
		select {
		case <-ticker.C:
		case <-s.ctx.Done():
			return
		}
	}
}

// needsGroup reports whether the store is no voter or learner that hears a
// leader. A learner goes on announcing itself: its leader forgets announcements.
func (s *Store) needsGroup() bool {
	status := s.Status()
	if status.Waiting || status.Leader.VM == "" {
		return true
	}
	return !slices.ContainsFunc(status.Voters, func(m shraft.Member) bool { return m.ID == status.ID })
}

// isFirst reports whether this VM is the one that makes the group.
func (s *Store) isFirst() bool {
	if len(s.config.Seeds) > 0 {
		return slices.Min(s.config.Seeds) == s.config.Address
	}
	first := slices.MinFunc(s.config.Voters, func(a, b Peer) int { return cmp.Compare(a.VM, b.VM) })
	return first.VM == s.config.VM
}

// founders returns the VMs that a new group consists of. Seeds are known by
// address alone.
func (s *Store) founders() []Peer {
	if len(s.config.Seeds) == 0 {
		return s.config.Voters
	}
	peers := make([]Peer, len(s.config.Seeds))
	for i, a := range s.config.Seeds {
		peers[i].Address = a
		if a == s.config.Address {
			peers[i].VM = s.config.VM
		}
	}
	return peers
}

// announced returns the VMs that announcements go to: the founders and, with
// seeds, all known members.
func (s *Store) announced() []Peer {
	peers := slices.Clone(s.founders())
	if len(s.config.Seeds) == 0 {
		return peers
	}
	status := s.Status()
	for _, m := range slices.Concat(status.Voters, status.Learners) {
		known := slices.ContainsFunc(peers, func(p Peer) bool { return p.Address == m.Address })
		if !known && m.ID.VM != s.config.VM {
			peers = append(peers, Peer{VM: m.ID.VM, Address: m.Address})
		}
	}
	return peers
}

// relayJoin passes an announcement on to the leader if that is another VM.
func (s *Store) relayJoin(ctx context.Context, r joinRequest) error {
	leader := s.Status().Leader
	if leader.VM == "" || leader.VM == s.config.VM || leader.VM == r.Member.ID.VM {
		return nil
	}
	r.Relayed = true
	_, err := shpeer.Call[none](ctx, s.config.Client, leader.Address, methodJoin, r)
	return err
}

// others calls f for each VM of peers but this one at the same time, and waits.
func (s *Store) others(peers []Peer, f func(ctx context.Context, i int, p Peer)) {
	ctx, cancel := context.WithTimeout(s.ctx, s.config.JoinInterval)
	defer cancel()
	finished := make(chan struct{})
	count := 0
	for i, p := range peers {
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
	s.others(s.announced(), func(ctx context.Context, _ int, p Peer) {
		_, err := shpeer.Call[none](ctx, s.config.Client, p.Address, methodJoin, joinRequest{Member: s.member()})
		if err != nil {
			s.config.Logger.Debug("request to join the raft group not delivered", "vm", p.VM, "address", p.Address, "error", err)
		}
	})
}

// tryBootstrap makes the group if all other listed VMs are empty.
func (s *Store) tryBootstrap() {
	founders := s.founders()
	members := make([]shraft.Member, len(founders))
	s.others(founders, func(ctx context.Context, i int, p Peer) {
		answer, err := shpeer.Call[identity](ctx, s.config.Client, p.Address, methodIdentity, none{})
		if err == nil && answer.Empty && (p.VM == "" || answer.Member.ID.VM == p.VM) {
			members[i] = answer.Member
		}
	})
	for i, p := range founders {
		if p.VM == s.config.VM {
			members[i] = s.member()
		}
		if members[i].ID.IsZero() {
			s.config.Logger.Info("raft group not created: VM did not answer that it is empty", "vm", p.VM, "address", p.Address)
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

// noteJoiner records an announcement. Without seeds, only VMs that the settings
// list may join.
func (s *Store) noteJoiner(m shraft.Member) {
	if s.node.Status().Role != shraft.Leader || !s.mayJoin(m.ID.VM) {
		return
	}
	s.addresses[m.ID.VM] = m.Address
	s.joining[m.ID.VM] = joiner{member: m, at: time.Now()}
}

func (s *Store) mayJoin(vm shmodel.VM) bool {
	return len(s.config.Seeds) > 0 || s.config.peerAddress(vm) != ""
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
	for _, id := range s.nodeStatus.Active {
		s.activeAt[id] = now
	}
	if ev := s.nextChange(now); ev != nil {
		// A refusal, for example while another change is open, is retried.
		return s.step(ev)
	}
	return nil
}

// nextChange returns the next membership change that replaces a lost disk or VM
// or grows the group, or nil. The token zero belongs to no call.
func (s *Store) nextChange(now time.Time) shraft.Event {
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
		if !s.mayJoin(learner.ID.VM) {
			continue
		}
		if !slices.Contains(s.nodeStatus.CaughtUp, learner.ID) {
			if len(s.config.Seeds) > 0 && s.silentFor(learner.ID, now) > silentLearner {
				return shraft.Remove{ID: learner.ID}
			}
			continue
		}
		if ev := s.admit(learner, now); ev != nil {
			return ev
		}
	}
	return nil
}

// admit returns the change that brings a learner which has caught up nearer to
// a vote, or nil if there is no place for it.
func (s *Store) admit(learner shraft.Member, now time.Time) shraft.Event {
	voters := s.nodeStatus.Membership.Voters
	former, ok := memberOn(voters, learner.ID.VM)
	if ok && slices.Contains(s.nodeStatus.Active, former.ID) {
		s.config.Logger.Error("two raft nodes run under one VM name", "vm", former.ID.VM)
		return nil
	}
	if ok {
		return shraft.Remove{ID: former.ID}
	}
	if len(s.config.Seeds) == 0 || len(voters) < s.config.Target {
		return shraft.Promote{ID: learner.ID}
	}
	for _, v := range voters {
		if v.ID != s.nodeStatus.ID && s.silentFor(v.ID, now) > silentVoter {
			s.config.Logger.Info("silent raft voter is replaced", "vm", v.ID.VM, "successor", learner.ID.VM)
			return shraft.Remove{ID: v.ID}
		}
	}
	return nil
}

// silentFor returns how long the leader has not heard a member. A member that
// it never heard counts from the first look.
func (s *Store) silentFor(id shraft.ID, now time.Time) time.Duration {
	at, ok := s.activeAt[id]
	if !ok {
		s.activeAt[id] = now
		return 0
	}
	return now.Sub(at)
}

func memberOn(members []shraft.Member, vm shmodel.VM) (shraft.Member, bool) {
	for _, m := range members {
		if m.ID.VM == vm {
			return m, true
		}
	}
	return shraft.Member{}, false
}
