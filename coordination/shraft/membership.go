package shraft

import (
	"encoding/json"
	"slices"
)

// Member is a node of the group. Address is its peer address, IP:port.
type Member struct {
	ID      ID     `json:"id"`
	Address string `json:"address"`
}

// Membership is the nodes of a group. Learners get entries and have no vote.
type Membership struct {
	Voters   []Member `json:"voters"`
	Learners []Member `json:"learners,omitempty"`
}

// NewGroup returns the snapshot that the first voter of a new group stores
// before its first Step. Data is the initial state of the state machine. Index
// and Term are 1, so that nodes without any state get it as a snapshot.
func NewGroup(voters []Member, data []byte) StoredState {
	return StoredState{
		State:    HardState{Term: 1},
		Snapshot: Snapshot{Index: 1, Term: 1, Membership: Membership{Voters: voters}, Data: data},
	}
}

// IsVoter reports whether the node has a vote.
func (m Membership) IsVoter(id ID) bool { return find(m.Voters, id) >= 0 }

// IsLearner reports whether the node is a learner.
func (m Membership) IsLearner(id ID) bool { return find(m.Learners, id) >= 0 }

// Members returns voters and learners.
func (m Membership) Members() []Member { return slices.Concat(m.Voters, m.Learners) }

func find(members []Member, id ID) int {
	return slices.IndexFunc(members, func(m Member) bool { return m.ID == id })
}

func without(members []Member, id ID) []Member {
	return slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.ID == id })
}

func (m Membership) quorum() int { return len(m.Voters)/2 + 1 }

// withLearner, withPromoted and without return changed copies.
func (m Membership) withLearner(member Member) Membership {
	return Membership{Voters: m.Voters, Learners: append(slices.Clone(m.Learners), member)}
}

func (m Membership) withPromoted(id ID) Membership {
	member := m.Learners[find(m.Learners, id)]
	return Membership{
		Voters:   append(slices.Clone(m.Voters), member),
		Learners: without(m.Learners, id),
	}
}

func (m Membership) without(id ID) Membership {
	return Membership{Voters: without(m.Voters, id), Learners: without(m.Learners, id)}
}

// membershipAt is a Membership and the index of the entry that holds it.
type membershipAt struct {
	index      uint64
	membership Membership
}

// membershipHistory holds the memberships in the log, oldest first. The first one
// comes from the snapshot.
type membershipHistory []membershipAt

func (h membershipHistory) current() Membership { return h[len(h)-1].membership }

// append records the entry if it changes the membership.
func (h membershipHistory) append(e Entry) (membershipHistory, error) {
	if e.Kind != MembershipChange {
		return h, nil
	}
	var m Membership
	if err := json.Unmarshal(e.Data, &m); err != nil {
		return h, err
	}
	return append(h, membershipAt{index: e.Index, membership: m}), nil
}

// truncate drops the memberships at or after index.
func (h membershipHistory) truncate(index uint64) membershipHistory {
	for len(h) > 1 && h[len(h)-1].index >= index {
		h = h[:len(h)-1]
	}
	return h
}

// compact drops all memberships up to index but the newest of them.
func (h membershipHistory) compact(index uint64) membershipHistory {
	for len(h) > 1 && h[1].index <= index {
		h = h[1:]
	}
	return slices.Clone(h)
}
