package shraft_test

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/coordination/shraft"
)

var (
	self  = shraft.ID{VM: "vm0", Disk: "1"}
	peerA = shraft.ID{VM: "vm1", Disk: "1"}
	peerB = shraft.ID{VM: "vm2", Disk: "1"}
	start = time.Unix(1_800_000_000, 0)
)

// newTestNode returns the node self of a group of three.
func newTestNode(t *testing.T, entries ...shraft.Entry) *shraft.Node {
	t.Helper()
	stored := shraft.NewGroup([]shraft.Member{{ID: self}, {ID: peerA}, {ID: peerB}}, []byte("0"))
	stored.Entries = entries
	n, _, err := shraft.New(shraft.Config{ID: self}, stored, start)
	assert.NilError(t, err)
	return n
}

func receive(n *shraft.Node, after time.Duration, from shraft.ID, term uint64, b shraft.Body) []shraft.Effect {
	return n.Step(start.Add(after), shraft.Receive{Message: shraft.Message{From: from, To: self, Term: term, Body: b}})
}

func effectsOf[T shraft.Effect](effects []shraft.Effect) []T {
	var found []T
	for _, e := range effects {
		if e, ok := e.(T); ok {
			found = append(found, e)
		}
	}
	return found
}

func bodiesOf[T shraft.Body](effects []shraft.Effect) []T {
	var found []T
	for _, s := range effectsOf[shraft.Send](effects) {
		if b, ok := s.Message.Body.(T); ok {
			found = append(found, b)
		}
	}
	return found
}

// elect makes a node the leader of its next term, and returns the effects.
func elect(t *testing.T, n *shraft.Node, at time.Duration) []shraft.Effect {
	t.Helper()
	n.Step(start.Add(at), shraft.Tick{})
	term := n.Status().Term + 1
	receive(n, at, peerA, term, shraft.VoteResponse{Pre: true, Granted: true})
	effects := receive(n, at, peerA, term, shraft.VoteResponse{Granted: true})
	assert.Equal(t, n.Status().Role, shraft.Leader)
	return effects
}

// Guards against a vote that is sent before it is stored, also when the term was
// stored before, and against a second vote in a term.
func TestVoteIsStoredFirst(t *testing.T) {
	n := newTestNode(t, shraft.Entry{Index: 2, Term: 1})
	refused := receive(n, 0, peerA, 5, shraft.VoteRequest{LastIndex: 1, LastTerm: 1})
	assert.DeepEqual(t, bodiesOf[shraft.VoteResponse](refused), []shraft.VoteResponse{{}})
	granted := receive(n, 0, peerB, 5, shraft.VoteRequest{LastIndex: 2, LastTerm: 1})
	stored, ok := granted[0].(shraft.Persist)
	assert.Assert(t, ok && *stored.State == shraft.HardState{Term: 5, Vote: peerB})
	assert.DeepEqual(t, bodiesOf[shraft.VoteResponse](granted), []shraft.VoteResponse{{Granted: true}})
	again := receive(n, 0, peerA, 5, shraft.VoteRequest{LastIndex: 9, LastTerm: 4})
	assert.DeepEqual(t, bodiesOf[shraft.VoteResponse](again), []shraft.VoteResponse{{}})
}

// Guards against a VM that votes or answers under the identity of a lost disk.
func TestFormerIdentity(t *testing.T) {
	n, _, err := shraft.New(shraft.Config{ID: shraft.ID{VM: self.VM, Disk: "2"}}, shraft.StoredState{}, start)
	assert.NilError(t, err)
	for _, b := range []shraft.Body{shraft.VoteRequest{LastIndex: 9, LastTerm: 9}, shraft.AppendRequest{}, shraft.TimeoutNow{}} {
		assert.Equal(t, len(receive(n, 0, peerA, 9, b)), 0)
	}
	for at := range 100 {
		assert.Equal(t, len(n.Step(start.Add(time.Duration(at)*time.Second), shraft.Tick{})), 0)
	}
}

// Guards against a pre-vote that changes the term, and against a partitioned
// node that disrupts a group in contact with its leader.
func TestPreVote(t *testing.T) {
	n := newTestNode(t)
	effects := n.Step(start.Add(2*time.Second), shraft.Tick{})
	assert.Equal(t, len(effectsOf[shraft.Persist](effects)), 0)
	assert.Equal(t, len(bodiesOf[shraft.VoteRequest](effects)), 2)
	assert.Equal(t, n.Status().Term, uint64(1))
	receive(n, 2*time.Second, peerA, 1, shraft.AppendRequest{PrevIndex: 1, PrevTerm: 1})
	for _, pre := range []bool{true, false} {
		request := shraft.VoteRequest{Pre: pre, LastIndex: 9, LastTerm: 9}
		assert.Equal(t, len(receive(n, 2500*time.Millisecond, peerB, 9, request)), 0)
	}
	assert.Equal(t, n.Status().Leader, peerA)
	late := receive(n, 2701*time.Millisecond, peerB, 9, shraft.VoteRequest{Pre: true, LastIndex: 1, LastTerm: 1})
	assert.DeepEqual(t, bodiesOf[shraft.VoteResponse](late), []shraft.VoteResponse{{Pre: true, Granted: true}})
	assert.Equal(t, n.Status().Term, uint64(1))
}

// Guards against a leader that does not step down after an election timeout
// without a quorum, and against reads that it still answers.
func TestLeaderWithoutQuorum(t *testing.T) {
	n := newTestNode(t)
	at := 2 * time.Second
	elect(t, n, at)
	n.Step(start.Add(at), shraft.Read{Tokens: []uint64{7}})
	for wait := time.Duration(0); wait < shraft.DefaultElectionTimeout; wait += 20 * time.Millisecond {
		effects := n.Step(start.Add(at+wait), shraft.Tick{})
		assert.Equal(t, len(effectsOf[shraft.ReadReady](effects)), 0)
		assert.Equal(t, n.Status().Role, shraft.Leader)
	}
	effects := n.Step(start.Add(at+shraft.DefaultElectionTimeout), shraft.Tick{})
	assert.Equal(t, n.Status().Role, shraft.Follower)
	assert.DeepEqual(t, effectsOf[shraft.Refused](effects), []shraft.Refused{{Token: 7, Reason: shraft.NotLeader}})
}

// Guards against reads confirmed by responses to requests that this leader sent
// in an earlier term: a member rejects such a request in the newer term.
func TestAnswerWithoutStamp(t *testing.T) {
	n := newTestNode(t)
	stale := receive(n, 0, peerA, 0, shraft.AppendRequest{RequestHeader: shraft.RequestHeader{Stamp: shraft.Stamp{Round: 900, Sent: time.Hour}}})
	assert.DeepEqual(t, bodiesOf[shraft.AppendResponse](stale), []shraft.AppendResponse{{Rejected: true}})
	elect(t, n, 2*time.Second)
	receive(n, 2*time.Second, peerA, 2, shraft.AppendResponse{ResponseHeader: shraft.ResponseHeader{Stamp: shraft.Stamp{Round: 1}}, Index: 2})
	effects := n.Step(start.Add(2*time.Second), shraft.Read{Tokens: []uint64{7}})
	assert.Equal(t, len(effectsOf[shraft.ReadReady](effects)), 0)
	effects = receive(n, 2*time.Second, peerA, 2, bodiesOf[shraft.AppendResponse](stale)[0])
	assert.Equal(t, len(effectsOf[shraft.ReadReady](effects)), 0)
	effects = receive(n, 2*time.Second, peerA, 2, shraft.AppendResponse{ResponseHeader: shraft.ResponseHeader{Stamp: shraft.Stamp{Round: 2}}, Index: 2})
	assert.DeepEqual(t, effectsOf[shraft.ReadReady](effects), []shraft.ReadReady{{Token: 7}})
}

// Guards against a commit by counting copies of an entry of an earlier term,
// which another leader may still replace.
func TestCommitOfEarlierTerm(t *testing.T) {
	n := newTestNode(t, shraft.Entry{Index: 2, Term: 1})
	elect(t, n, 2*time.Second)
	header := shraft.ResponseHeader{Stamp: shraft.Stamp{Round: 1}}
	receive(n, 2*time.Second, peerA, 2, shraft.AppendResponse{ResponseHeader: header, Index: 2})
	assert.Equal(t, n.Status().Commit, uint64(1))
	receive(n, 2*time.Second, peerA, 2, shraft.AppendResponse{ResponseHeader: header, Index: 3})
	assert.Equal(t, n.Status().Commit, uint64(3))
}

// Guards against proposals of one event that are stored one by one, and against
// an entry that is sent before it is stored.
func TestGroupCommit(t *testing.T) {
	n := newTestNode(t)
	elect(t, n, 2*time.Second)
	receive(n, 2*time.Second, peerA, 2, shraft.AppendResponse{ResponseHeader: shraft.ResponseHeader{Stamp: shraft.Stamp{Round: 1}}, Index: 2})
	effects := n.Step(start.Add(3*time.Second), shraft.Propose{Proposals: []shraft.Proposal{
		{Token: 1, Data: []byte("a")}, {Token: 2, Data: []byte("b")},
	}})
	stored, ok := effects[0].(shraft.Persist)
	assert.Assert(t, ok && len(stored.Entries) == 2)
	assert.Assert(t, stored.Entries[0].At.Equal(start.Add(3*time.Second)))
	assert.Equal(t, len(effectsOf[shraft.Persist](effects)), 1)
	assert.Equal(t, len(bodiesOf[shraft.AppendRequest](effects)[0].Entries), 2)
	assert.DeepEqual(t, effectsOf[shraft.Accepted](effects), []shraft.Accepted{
		{Token: 1, Index: 3, Term: 2}, {Token: 2, Index: 4, Term: 2},
	})
}

// Guards against a snapshot that removes entries after it, which the node may
// have acknowledged.
func TestSnapshotKeepsLaterEntries(t *testing.T) {
	n := newTestNode(t, shraft.Entry{Index: 2, Term: 1}, shraft.Entry{Index: 3, Term: 1})
	effects := receive(n, 0, peerA, 1, shraft.SnapshotRequest{Index: 2, Term: 1, Data: []byte("x"), Done: true})
	assert.Equal(t, len(effectsOf[shraft.Restore](effects)), 0)
	assert.Equal(t, n.Status().LastIndex, uint64(3))
	assert.Equal(t, n.Status().Commit, uint64(2))
}

// Guards against a follower that dates the quorum confirmation too late: after a
// restart, or by the delay of messages.
func TestConfirmed(t *testing.T) {
	n := newTestNode(t)
	first := receive(n, time.Second, peerA, 1, shraft.AppendRequest{PrevIndex: 1, PrevTerm: 1})
	clock := bodiesOf[shraft.AppendResponse](first)[0].Clock
	assert.Assert(t, n.Status().Confirmed.IsZero())
	header := shraft.RequestHeader{Echo: clock, QuorumAge: 300 * time.Millisecond}
	receive(n, 5*time.Second, peerA, 1, shraft.AppendRequest{RequestHeader: header, PrevIndex: 1, PrevTerm: 1})
	assert.Assert(t, n.Status().Confirmed.Equal(start.Add(700*time.Millisecond)))
	header.Echo.Incarnation++
	header.Echo.Elapsed = 4 * time.Second
	receive(n, 6*time.Second, peerA, 1, shraft.AppendRequest{RequestHeader: header, PrevIndex: 1, PrevTerm: 1})
	assert.Assert(t, n.Status().Confirmed.Equal(start.Add(700*time.Millisecond)))
}

// Guards against membership changes that could split the group.
func TestMembershipRules(t *testing.T) {
	n := newTestNode(t)
	at := 2 * time.Second
	refusal := func(ev shraft.Event) shraft.Reason {
		t.Helper()
		refused := effectsOf[shraft.Refused](n.Step(start.Add(at), ev))
		if len(refused) == 0 {
			return ""
		}
		return refused[0].Reason
	}
	learner := shraft.Member{ID: shraft.ID{VM: "vm3", Disk: "1"}}
	assert.Equal(t, refusal(shraft.AddLearner{Member: learner}), shraft.NotLeader)
	elect(t, n, at)
	assert.Equal(t, refusal(shraft.AddLearner{Member: learner}), shraft.NotReady)
	answer := func(from shraft.ID, index uint64) {
		receive(n, at, from, 2, shraft.AppendResponse{ResponseHeader: shraft.ResponseHeader{Stamp: shraft.Stamp{Round: 1, Sent: at}}, Index: index})
	}
	answer(peerA, 2)
	assert.Equal(t, refusal(shraft.Remove{ID: self}), shraft.IsLeader)
	assert.Equal(t, refusal(shraft.Remove{ID: learner.ID}), shraft.NoSuchMember)
	assert.Equal(t, refusal(shraft.Remove{ID: peerA}), shraft.NoQuorum)
	assert.Equal(t, refusal(shraft.AddLearner{Member: learner}), shraft.Reason(""))
	assert.Equal(t, refusal(shraft.Remove{ID: peerB}), shraft.ChangeInProgress)
	answer(peerA, 3)
	assert.Equal(t, refusal(shraft.AddLearner{Member: learner}), shraft.MemberExists)
	assert.Equal(t, refusal(shraft.Promote{ID: learner.ID}), shraft.NotCaughtUp)
	answer(learner.ID, 2)
	assert.Equal(t, refusal(shraft.Promote{ID: learner.ID}), shraft.NotCaughtUp)
	answer(learner.ID, 3)
	assert.Equal(t, refusal(shraft.Promote{ID: learner.ID}), shraft.Reason(""))
	assert.Equal(t, len(n.Status().Membership.Voters), 4)
}

// Guards against a membership that stays in use after another leader replaced
// the entry that holds it.
func TestReplacedChange(t *testing.T) {
	n := newTestNode(t)
	larger := []byte(`{"voters": [{"id": {"vm": "vm9", "disk": "1"}}]}`)
	receive(n, 0, peerA, 1, shraft.AppendRequest{
		PrevIndex: 1, PrevTerm: 1, Entries: []shraft.Entry{{Index: 2, Term: 1, Kind: shraft.MembershipChange, Data: larger}},
	})
	assert.Equal(t, len(n.Status().Membership.Voters), 1)
	effects := receive(n, 0, peerB, 2, shraft.AppendRequest{PrevIndex: 1, PrevTerm: 1, Entries: []shraft.Entry{{Index: 2, Term: 2}}})
	assert.Equal(t, len(effectsOf[shraft.Persist](effects)[0].Entries), 1)
	assert.Equal(t, len(n.Status().Membership.Voters), 3)
}

// Guards against the use of stored state that contradicts itself.
func TestStored(t *testing.T) {
	group := shraft.NewGroup([]shraft.Member{{ID: self}}, nil)
	for name, change := range map[string]func(*shraft.StoredState){
		"gap after the snapshot": func(s *shraft.StoredState) { s.Entries = []shraft.Entry{{Index: 3, Term: 1}} },
		"gap between entries":    func(s *shraft.StoredState) { s.Entries = []shraft.Entry{{Index: 2, Term: 1}, {Index: 4, Term: 1}} },
		"later term":             func(s *shraft.StoredState) { s.Entries = []shraft.Entry{{Index: 2, Term: 2}} },
	} {
		t.Run(name, func(t *testing.T) {
			stored := group
			change(&stored)
			_, _, err := shraft.New(shraft.Config{ID: self}, stored, start)
			e, ok := errors.AsType[*shraft.Error](err)
			assert.Assert(t, ok && e.Kind == shraft.KindStored, "%v", err)
		})
	}
	t.Run("entries that the snapshot replaced", func(t *testing.T) {
		stored := group
		stored.State.Term = 3
		stored.Snapshot.Index, stored.Snapshot.Term = 5, 3
		stored.Entries = []shraft.Entry{{Index: 2, Term: 1}}
		_, effects, err := shraft.New(shraft.Config{ID: self}, stored, start)
		assert.NilError(t, err)
		assert.Assert(t, effectsOf[shraft.Persist](effects)[0].ResetLog)
	})
}

// Guards against a member that does not catch up, or causes an election, after a
// partition so long that it needs a snapshot in several chunks.
func TestLongPartition(t *testing.T) {
	s := newSim(t, 7, 5)
	assert.Assert(t, s.run(10*time.Second, func() bool { return s.leader() != nil }))
	isolated := slices.IndexFunc(s.hosts, func(h *host) bool { return h != s.leader() })
	term := s.leader().node.Status().Term
	s.isolate(isolated)
	before := s.hosts[isolated].node.Status().Commit
	s.client(0, s.now.Add(30*time.Second))
	s.run(30*time.Second, nil)
	assert.Assert(t, s.leader().applied > before+300, "only %d entries", s.leader().applied)
	s.reconnect(isolated)
	assert.Assert(t, s.run(10*time.Second, s.converged), "%s", s.describe())
	assert.Assert(t, s.counts["install"] > 0)
	assert.Equal(t, s.leader().node.Status().Term, term, "the returning member caused an election")
}

func ExampleNode() {
	id := shraft.ID{VM: "vm0", Disk: "5d41"}
	stored := shraft.NewGroup([]shraft.Member{{ID: id}}, nil)
	now := time.Unix(0, 0)
	node, _, _ := shraft.New(shraft.Config{ID: id}, stored, now)
	node.Step(now.Add(time.Minute), shraft.Tick{})
	effects := node.Step(now.Add(time.Minute), shraft.Propose{Proposals: []shraft.Proposal{{Token: 1, Data: []byte("x")}}})
	for _, e := range effects {
		fmt.Printf("%T\n", e)
	}
	// Output:
	// shraft.Persist
	// shraft.Accepted
	// shraft.Apply
}

// Guards against a group without a leader for a whole election timeout after all
// nodes started together, and against a node alone that raises its term.
func TestFirstElection(t *testing.T) {
	n := newTestNode(t)
	var requests []shraft.VoteRequest
	for at := time.Duration(0); at < shraft.DefaultElectionTimeout; at += 20 * time.Millisecond {
		requests = append(requests, bodiesOf[shraft.VoteRequest](n.Step(start.Add(at), shraft.Tick{}))...)
	}
	assert.Assert(t, len(requests) > 0, "no campaign within an election timeout")
	for _, r := range requests {
		assert.Assert(t, r.Pre)
	}
	assert.Equal(t, n.Status().Term, uint64(1))
}
