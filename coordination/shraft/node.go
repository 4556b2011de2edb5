package shraft

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"time"
)

// Node is the state machine of one member. It is not safe for concurrent use.
type Node struct {
	config Config
	random *rand.Rand
	// start is the origin of the clock readings that this node sends, and
	// incarnation distinguishes them from readings before a restart.
	start       time.Time
	incarnation uint64
	now         time.Time

	state    HardState
	snapshot Snapshot
	log      raftLog
	history  membershipHistory
	commit   uint64
	applied  uint64

	role              Role
	leader            ID
	lastLeaderContact time.Time // last request of the leader
	electionDeadline  time.Time // next campaign
	confirmed         time.Time // see Status.Confirmed
	votes             map[ID]bool
	campaignedAt      time.Time // start of the campaign
	partial           partialSnapshot
	leadership        *leadership // nil unless role is Leader

	// Effects of the event in progress.
	pending pendingEffects
	// reported is the last RoleChanged.
	reported RoleChanged
}

// pendingEffects collects effects, which flush puts in order.
type pendingEffects struct {
	state       bool
	snapshot    bool
	resetLog    bool
	keepFrom    uint64
	unsavedFrom uint64 // first changed entry, zero if none
	restore     bool
	answers     []Effect
	sends       []Effect
	reads       []Effect
}

// New makes a node from its stored state. The effects restore the state machine
// and must be carried out before the first Step.
func New(config Config, stored StoredState, now time.Time) (*Node, []Effect, error) {
	config = config.withDefaults()
	if err := config.validate(); err != nil {
		return nil, nil, &Error{Op: "new", Kind: KindConfig, Err: err}
	}
	log, reset, err := newLog(stored.Snapshot, stored.Entries)
	if err != nil {
		return nil, nil, &Error{Op: "new", Kind: KindStored, Err: err}
	}
	if log.lastTerm() > stored.State.Term {
		err := fmt.Errorf("entry of term %d after term %d", log.lastTerm(), stored.State.Term)
		return nil, nil, &Error{Op: "new", Kind: KindStored, Err: err}
	}
	n := &Node{
		config:   config,
		random:   rand.New(rand.NewPCG(config.Seed, config.Seed)),
		start:    now,
		now:      now,
		state:    stored.State,
		snapshot: stored.Snapshot,
		log:      log,
		history:  membershipHistory{{index: stored.Snapshot.Index, membership: stored.Snapshot.Membership}},
		commit:   stored.Snapshot.Index,
		applied:  stored.Snapshot.Index,
		role:     Follower,
	}
	n.incarnation = n.random.Uint64() | 1
	for _, e := range log.entries {
		if e.Index <= stored.Snapshot.Index {
			continue
		}
		if n.history, err = n.history.append(e); err != nil {
			return nil, nil, &Error{Op: "new", Kind: KindStored, Err: err}
		}
	}
	n.resetElectionDeadline()
	n.pending.restore = n.snapshot.Index > 0
	n.pending.snapshot, n.pending.resetLog = reset, reset
	return n, n.flush(), nil
}

// Step handles one event. Elapsed times are measured by the monotonic reading of
// now, if it has one. Its wall clock time is Entry.At of new entries.
func (n *Node) Step(now time.Time, ev Event) []Effect {
	n.now = now
	switch ev := ev.(type) {
	case Tick:
		n.tick()
	case Receive:
		n.receive(ev.Message)
	case Propose:
		n.propose(ev.Proposals)
	case Read:
		n.read(ev.Tokens)
	case AddLearner:
		n.addLearner(ev)
	case Promote:
		n.promote(ev)
	case Remove:
		n.remove(ev)
	case Transfer:
		n.transfer(ev)
	case Compact:
		n.compact(ev)
	}
	return n.flush()
}

// Status describes the node after its last event.
func (n *Node) Status() Status {
	s := Status{
		ID:         n.config.ID,
		Role:       n.role,
		Term:       n.state.Term,
		Leader:     n.leader,
		Ready:      n.isReady(),
		Commit:     n.commit,
		LastIndex:  n.log.lastIndex(),
		Membership: n.membership(),
		Confirmed:  n.confirmed,
	}
	if n.leadership != nil {
		n.leadership.fillStatus(n, &s)
	}
	return s
}

func (n *Node) membership() Membership { return n.history.current() }

// clock returns the time since the node started. Steps of the wall clock do not
// change it.
func (n *Node) clock() time.Duration { return n.now.Sub(n.start) }

func (n *Node) resetElectionDeadline() {
	if n.lastLeaderContact.IsZero() {
		first := n.config.InitialElectionTimeout
		n.electionDeadline = n.now.Add(first + time.Duration(n.random.Int64N(2*int64(first))))
		return
	}
	spread := int64(n.config.ElectionTimeoutMax - n.config.ElectionTimeout)
	n.electionDeadline = n.now.Add(n.config.ElectionTimeout + time.Duration(n.random.Int64N(spread)))
}

func (n *Node) tick() {
	if n.leadership != nil {
		n.tickLeader()
		return
	}
	if n.now.Before(n.electionDeadline) {
		return
	}
	n.leader = ID{}
	n.resetElectionDeadline()
	if n.membership().IsVoter(n.config.ID) {
		n.campaign(PreCandidate, false)
	}
}

// receive checks the term of a message and passes it to the handler of its type.
func (n *Node) receive(m Message) {
	if m.To != n.config.ID || m.From == n.config.ID {
		return
	}
	if !n.adoptTerm(m) {
		return
	}
	switch b := m.Body.(type) {
	case VoteRequest:
		n.handleVoteRequest(m, b)
	case VoteResponse:
		n.handleVoteResponse(m, b)
	case AppendRequest:
		n.handleAppendRequest(m, b)
	case SnapshotRequest:
		n.handleSnapshotRequest(m, b)
	case AppendResponse:
		n.handleAppendResponse(m, b)
	case SnapshotResponse:
		n.handleSnapshotResponse(m, b)
	case TimeoutNow:
		if n.role == Follower && m.From == n.leader && n.membership().IsVoter(n.config.ID) {
			n.campaign(Candidate, true)
		}
	}
}

// adoptTerm moves to the message's term if that is newer. It reports whether the
// message is to be handled.
func (n *Node) adoptTerm(m Message) bool {
	switch b := m.Body.(type) {
	case VoteRequest:
		// A node in contact with a leader ignores other candidates, so that a
		// partitioned or removed node cannot disrupt the group.
		if !b.Transfer && n.inContactWithLeader() {
			return false
		}
		if b.Pre && m.Term > n.state.Term {
			return true
		}
	case VoteResponse:
		// A granted pre-vote has the term that the candidate may start.
		if b.Pre && b.Granted {
			return n.role == PreCandidate && m.Term == n.state.Term+1
		}
	}
	switch {
	case m.Term > n.state.Term:
		n.becomeFollower(m.Term, ID{})
	case m.Term < n.state.Term:
		n.answerStaleTerm(m)
		return false
	}
	return true
}

// answerStaleTerm tells a sender of an older term about this node's term.
func (n *Node) answerStaleTerm(m Message) {
	switch b := m.Body.(type) {
	case VoteRequest:
		n.send(m.From, VoteResponse{Pre: b.Pre})
	case AppendRequest, SnapshotRequest:
		// The stamp is not returned: by now the sender may lead in this node's
		// term, where the stamp of an earlier term would confirm reads.
		n.send(m.From, AppendResponse{Rejected: true})
	}
}

// becomeFollower becomes a follower in a term that is not below the current one.
func (n *Node) becomeFollower(term uint64, leader ID) {
	if term > n.state.Term {
		n.state = HardState{Term: term}
		n.pending.state = true
	}
	if n.leadership != nil {
		n.leadership.refuseReads(n)
		n.leadership = nil
		n.resetElectionDeadline()
	}
	n.role = Follower
	n.leader = leader
	n.votes = nil
}

// inContactWithLeader reports whether this node leads or received a request of the
// leader within the election timeout.
func (n *Node) inContactWithLeader() bool {
	if n.leadership != nil {
		return true
	}
	return !n.leader.IsZero() && n.now.Sub(n.lastLeaderContact) < n.config.ElectionTimeout
}

func (n *Node) isReady() bool { return n.leadership != nil && n.commit >= n.leadership.noOpIndex }

func (n *Node) send(to ID, b Body) { n.sendInTerm(to, n.state.Term, b) }

func (n *Node) sendInTerm(to ID, term uint64, b Body) {
	n.pending.sends = append(n.pending.sends, Send{Message{From: n.config.ID, To: to, Term: term, Body: b}})
}

func (n *Node) refuse(token uint64, r Reason) {
	n.pending.answers = append(n.pending.answers, Refused{Token: token, Reason: r})
}

// markUnsaved marks entries from index on as not yet stored.
func (n *Node) markUnsaved(index uint64) {
	if n.pending.unsavedFrom == 0 || index < n.pending.unsavedFrom {
		n.pending.unsavedFrom = index
	}
}

// compact handles a Compact event.
func (n *Node) compact(ev Compact) {
	term, ok := n.log.term(ev.Index)
	if !ok || ev.Index <= n.snapshot.Index || ev.Index > n.applied {
		return
	}
	n.history = n.history.compact(ev.Index)
	n.snapshot = Snapshot{Index: ev.Index, Term: term, Membership: n.history[0].membership, Data: ev.Data}
	n.log.dropBefore(n.log.trailing(ev.Index, n.config.TrailingEntries, n.config.TrailingBytes))
	n.pending.snapshot = true
	n.pending.keepFrom = n.log.prevIndex + 1
}

// flush returns the effects of the event, Persist before everything that other
// nodes or clients may see.
func (n *Node) flush() []Effect {
	p := n.pending
	n.pending = pendingEffects{}
	var effects []Effect
	if p.state || p.snapshot || p.unsavedFrom > 0 {
		effects = append(effects, n.persist(p))
	}
	if p.restore {
		effects = append(effects, Restore{n.snapshot})
	}
	effects = append(effects, p.answers...)
	effects = append(effects, p.sends...)
	if n.commit > n.applied {
		effects = append(effects, Apply{n.log.between(n.applied, n.commit)})
		n.applied = n.commit
	}
	effects = append(effects, p.reads...)
	current := RoleChanged{Role: n.role, Term: n.state.Term, Leader: n.leader, Ready: n.isReady()}
	if current != n.reported {
		n.reported = current
		effects = append(effects, current)
	}
	return effects
}

func (n *Node) persist(p pendingEffects) Persist {
	e := Persist{ResetLog: p.resetLog, KeepFrom: p.keepFrom}
	if p.state {
		state := n.state
		e.State = &state
	}
	if p.snapshot {
		snapshot := n.snapshot
		e.Snapshot = &snapshot
	}
	if p.unsavedFrom > 0 {
		e.Entries = n.log.between(p.unsavedFrom-1, n.log.lastIndex())
	}
	return e
}

// errCommittedEntryReplaced reports a broken invariant. Continuing would corrupt
// the state.
var errCommittedEntryReplaced = errors.New("shraft: a committed entry would be replaced")
