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

// joiner is a store that asked to join the group.
type joiner struct {
	member shraft.Member
	at     time.Time
}

const (
	// maintainInterval is the time between checks of the membership.
	maintainInterval = 100 * time.Millisecond
	// joinerExpiryIntervals is the number of join intervals without an announcement
	// after which a joiner is dropped.
	joinerExpiryIntervals = 5
	// silentVoterTimeout is two election timeouts, so that a voter that only lost a
	// few heartbeats is not replaced.
	silentVoterTimeout = 2 * shraft.DefaultElectionTimeout
	// silentLearnerTimeout is longer than the transfer of a snapshot takes.
	silentLearnerTimeout = 10 * time.Second
)

// runJoin announces the store while that is needed, and tries to create the group
// if this VM is the one to do so.
func (s *Store) runJoin() {
	defer s.workers.Done()
	ticker := time.NewTicker(s.config.JoinInterval)
	defer ticker.Stop()
	for {
		withoutGroup := s.Status().WithoutGroup
		if !withoutGroup && len(s.config.Seeds) == 0 {
			return
		}
		if withoutGroup && s.config.Bootstrap && s.isBootstrapVM() {
			s.tryBootstrap()
		}
		if s.mustAnnounce() {
			s.announce()
		}
		select {
		case <-ticker.C:
		case <-s.ctx.Done():
			return
		}
	}
}

// mustAnnounce reports whether the store belongs to no group, knows no leader or
// is not a voter. A learner continues to announce itself because its leader drops
// announcements after a while.
func (s *Store) mustAnnounce() bool {
	status := s.Status()
	if status.WithoutGroup || status.Leader.VM == "" {
		return true
	}
	return !slices.ContainsFunc(status.Voters, func(m shraft.Member) bool { return m.ID == status.ID })
}

// isBootstrapVM reports whether this VM is the one that creates the group.
func (s *Store) isBootstrapVM() bool {
	if len(s.config.Seeds) > 0 {
		return slices.Min(s.config.Seeds) == s.config.Address
	}
	first := slices.MinFunc(s.config.Voters, func(a, b Peer) int { return cmp.Compare(a.VM, b.VM) })
	return first.VM == s.config.VM
}

// initialVoters returns the VMs that a new group consists of. Seeds are known by
// address alone.
func (s *Store) initialVoters() []Peer {
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

// announcementTargets returns the VMs that announcements are sent to: the initial
// voters and, with seeds, all known members.
func (s *Store) announcementTargets() []Peer {
	peers := slices.Clone(s.initialVoters())
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

// relayJoin forwards an announcement to the leader if that is another VM.
func (s *Store) relayJoin(ctx context.Context, r joinRequest) error {
	leader := s.Status().Leader
	if leader.VM == "" || leader.VM == s.config.VM || leader.VM == r.Member.ID.VM {
		return nil
	}
	r.Relayed = true
	_, err := shpeer.Call[none](ctx, s.config.Client, leader.Address, methodJoin, r)
	return err
}

// forEachOther calls f concurrently for each VM of peers but this one, and waits
// until all calls have returned.
func (s *Store) forEachOther(peers []Peer, f func(ctx context.Context, i int, p Peer)) {
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
	s.forEachOther(s.announcementTargets(), func(ctx context.Context, _ int, p Peer) {
		_, err := shpeer.Call[none](ctx, s.config.Client, p.Address, methodJoin, joinRequest{Member: s.member()})
		if err != nil {
			s.config.Logger.Debug("request to join the raft group not delivered", "vm", p.VM, "address", p.Address, "error", err)
		}
	})
}

// tryBootstrap creates the group if all other initial voters are empty.
func (s *Store) tryBootstrap() {
	voters := s.initialVoters()
	members := make([]shraft.Member, len(voters))
	s.forEachOther(voters, func(ctx context.Context, i int, p Peer) {
		answer, err := shpeer.Call[identity](ctx, s.config.Client, p.Address, methodIdentity, none{})
		if err == nil && answer.Empty && (p.VM == "" || answer.Member.ID.VM == p.VM) {
			members[i] = answer.Member
		}
	})
	for i, p := range voters {
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

// bootstrap creates the group. It runs in the owner goroutine.
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
	return s.startNode(stored)
}

// recordJoiner records an announcement. Without seeds, only VMs that the settings
// list may join.
func (s *Store) recordJoiner(m shraft.Member) {
	if s.node.Status().Role != shraft.Leader || !s.mayJoin(m.ID.VM) {
		return
	}
	s.addresses[m.ID.VM] = m.Address
	s.joiners[m.ID.VM] = joiner{member: m, at: time.Now()}
}

func (s *Store) mayJoin(vm shmodel.VM) bool {
	return len(s.config.Seeds) > 0 || s.config.peerAddress(vm) != ""
}

// maintain does the periodic work of the owner goroutine: snapshots, idle senders
// and membership changes.
func (s *Store) maintain() error {
	if err := s.snapshotIfDue(); err != nil {
		return err
	}
	now := time.Now()
	if now.Sub(s.maintainedAt) < maintainInterval {
		return nil
	}
	s.maintainedAt = now
	s.dropIdleSenders(now)
	if s.config.ManualMembership || !s.nodeStatus.Ready {
		return nil
	}
	for vm, j := range s.joiners {
		if now.Sub(j.at) > joinerExpiryIntervals*s.config.JoinInterval {
			delete(s.joiners, vm)
		}
	}
	for _, id := range s.nodeStatus.Active {
		s.lastContact[id] = now
	}
	if ev := s.nextChange(now); ev != nil {
		// A change that is refused, for example while another one is not committed,
		// is retried at the next check.
		return s.step(ev)
	}
	return nil
}

// nextChange returns the next membership change that replaces a lost disk or VM
// or adds a member, or nil. Its token is zero, which no call has.
func (s *Store) nextChange(now time.Time) shraft.Event {
	m := s.nodeStatus.Membership
	for _, j := range s.joiners {
		id := j.member.ID
		if m.IsVoter(id) || m.IsLearner(id) {
			continue
		}
		if former, ok := memberOnVM(m.Learners, id.VM); ok {
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
			if len(s.config.Seeds) > 0 && s.silentFor(learner.ID, now) > silentLearnerTimeout {
				return shraft.Remove{ID: learner.ID}
			}
			continue
		}
		if ev := s.admitLearner(learner, now); ev != nil {
			return ev
		}
	}
	return nil
}

// admitLearner returns the next change towards the promotion of a learner that has
// caught up, or nil if the group has enough voters.
func (s *Store) admitLearner(learner shraft.Member, now time.Time) shraft.Event {
	voters := s.nodeStatus.Membership.Voters
	former, ok := memberOnVM(voters, learner.ID.VM)
	if ok && slices.Contains(s.nodeStatus.Active, former.ID) {
		s.config.Logger.Error("two raft nodes run under one VM name", "vm", former.ID.VM)
		return nil
	}
	if ok {
		return shraft.Remove{ID: former.ID}
	}
	if len(s.config.Seeds) == 0 || len(voters) < s.config.TargetVoters {
		return shraft.Promote{ID: learner.ID}
	}
	for _, v := range voters {
		if v.ID != s.nodeStatus.ID && s.silentFor(v.ID, now) > silentVoterTimeout {
			s.config.Logger.Info("silent raft voter is replaced", "vm", v.ID.VM, "successor", learner.ID.VM)
			return shraft.Remove{ID: v.ID}
		}
	}
	return nil
}

// silentFor returns the time since this leader last heard from a member. For a
// member that it never heard from, the time counts from the first call.
func (s *Store) silentFor(id shraft.ID, now time.Time) time.Duration {
	at, ok := s.lastContact[id]
	if !ok {
		s.lastContact[id] = now
		return 0
	}
	return now.Sub(at)
}

func memberOnVM(members []shraft.Member, vm shmodel.VM) (shraft.Member, bool) {
	for _, m := range members {
		if m.ID.VM == vm {
			return m, true
		}
	}
	return shraft.Member{}, false
}
