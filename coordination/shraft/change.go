package shraft

import (
	"encoding/json"
)

// changeRefusal returns why no membership change may start now, or "". A leader
// must have committed an entry of its term, or two leaders could each commit a
// change that the other does not know of.
func (n *Node) changeRefusal() Reason {
	switch {
	case n.leadership == nil:
		return NotLeader
	case !n.leadership.transferTo.IsZero():
		return Transferring
	case !n.isReady():
		return NotReady
	case n.history[len(n.history)-1].index > n.commit:
		return ChangeInProgress
	}
	return ""
}

func (n *Node) addLearner(ev AddLearner) {
	reason := n.changeRefusal()
	current := n.membership()
	if reason == "" && find(current.Members(), ev.Member.ID) >= 0 {
		reason = MemberExists
	}
	if reason != "" {
		n.refuse(ev.Token, reason)
		return
	}
	n.appendMembership(ev.Token, current.withLearner(ev.Member))
}

func (n *Node) promote(ev Promote) {
	reason := n.changeRefusal()
	current := n.membership()
	switch {
	case reason != "":
	case !current.IsLearner(ev.ID):
		reason = NoSuchMember
	case !n.leadership.isCaughtUp(n, ev.ID):
		reason = NotCaughtUp
	case !n.hasActiveQuorum(current.withPromoted(ev.ID)):
		reason = NoQuorum
	}
	if reason != "" {
		n.refuse(ev.Token, reason)
		return
	}
	n.appendMembership(ev.Token, current.withPromoted(ev.ID))
}

func (n *Node) remove(ev Remove) {
	reason := n.changeRefusal()
	current := n.membership()
	switch {
	case reason != "":
	case ev.ID == n.config.ID:
		reason = IsLeader
	case find(current.Members(), ev.ID) < 0:
		reason = NoSuchMember
	case !n.hasActiveQuorum(current.without(ev.ID)):
		reason = NoQuorum
	}
	if reason != "" {
		n.refuse(ev.Token, reason)
		return
	}
	n.appendMembership(ev.Token, current.without(ev.ID))
}

// hasActiveQuorum reports whether enough voters of a membership are in contact.
// Without them the change could not be committed, nor anything after it.
func (n *Node) hasActiveQuorum(m Membership) bool {
	active := 0
	for _, v := range m.Voters {
		if n.leadership.isActive(n, v.ID) {
			active++
		}
	}
	return active >= m.quorum()
}

// appendMembership appends a membership to the log. It takes effect at once.
func (n *Node) appendMembership(token uint64, m Membership) {
	data, err := json.Marshal(m)
	if err != nil {
		panic(err) // a Membership always has a JSON form
	}
	index := n.appendEntry(MembershipChange, data)
	n.history = append(n.history, membershipAt{index: index, membership: m})
	n.leadership.syncMembers(n)
	n.accept(token, index)
	n.broadcast()
	n.advanceCommit()
}
