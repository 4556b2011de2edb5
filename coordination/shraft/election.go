package shraft

import "time"

// campaign starts a pre-vote or an election. The node must be a voter.
func (n *Node) campaign(role Role, transfer bool) {
	n.role = role
	n.leader = ID{}
	n.votes = map[ID]bool{n.config.ID: true}
	n.campaignedAt = n.now
	term := n.state.Term + 1
	if role == Candidate {
		n.state = HardState{Term: term, Vote: n.config.ID}
		n.pending.state = true
		n.resetElectionDeadline()
	}
	request := VoteRequest{
		Pre:       role == PreCandidate,
		LastIndex: n.log.lastIndex(),
		LastTerm:  n.log.lastTerm(),
		Transfer:  transfer,
	}
	for _, m := range n.membership().Voters {
		if m.ID != n.config.ID {
			n.sendInTerm(m.ID, term, request)
		}
	}
	n.checkVotes()
}

// handleVoteRequest answers a vote request of the current term or a pre-vote of a
// later one. A node votes even if it is not a voter in its own membership, which
// may be older than the candidate's.
func (n *Node) handleVoteRequest(m Message, r VoteRequest) {
	upToDate := n.log.isUpToDate(r.LastIndex, r.LastTerm)
	if r.Pre {
		if upToDate && m.Term > n.state.Term {
			n.sendInTerm(m.From, m.Term, VoteResponse{Pre: true, Granted: true})
		} else {
			n.send(m.From, VoteResponse{Pre: true})
		}
		return
	}
	canVote := n.state.Vote.IsZero() && n.leader.IsZero()
	granted := upToDate && (canVote || n.state.Vote == m.From)
	if granted {
		if n.state.Vote != m.From {
			n.state.Vote = m.From
			n.pending.state = true
		}
		n.resetElectionDeadline()
	}
	n.send(m.From, VoteResponse{Granted: granted})
}

func (n *Node) handleVoteResponse(m Message, r VoteResponse) {
	expected := Candidate
	if r.Pre {
		expected = PreCandidate
	}
	if n.role != expected || !r.Granted {
		return
	}
	n.votes[m.From] = true
	n.checkVotes()
}

func (n *Node) checkVotes() {
	granted := 0
	for _, m := range n.membership().Voters {
		if n.votes[m.ID] {
			granted++
		}
	}
	if granted < n.membership().quorum() {
		return
	}
	if n.role == PreCandidate {
		n.campaign(Candidate, false)
		return
	}
	n.becomeLeader()
}

func (n *Node) becomeLeader() {
	n.role = Leader
	n.leader = n.config.ID
	n.leadership = &leadership{since: n.now, members: make(map[ID]*progress)}
	n.leadership.syncMembers(n)
	for id := range n.votes {
		if p := n.leadership.members[id]; p != nil {
			// The vote was given after the campaign started.
			p.ackedAt = n.campaignedAt
		}
	}
	n.votes = nil
	n.leadership.noOpIndex = n.appendEntry(NoOp, nil)
	n.broadcast()
	n.advanceCommit()
}

// appendEntry appends an entry of the leader and returns its index.
func (n *Node) appendEntry(kind EntryKind, data []byte) uint64 {
	e := Entry{
		Index: n.log.lastIndex() + 1,
		Term:  n.state.Term,
		Kind:  kind,
		At:    n.now.UTC().Round(0),
		Data:  data,
	}
	n.log.append(e)
	n.markUnsaved(e.Index)
	return e.Index
}

// tickLeader sends heartbeats and gives up leadership without a quorum.
func (n *Node) tickLeader() {
	l := n.leadership
	ackedAt := l.quorumAckedAt(n)
	if ackedAt.Before(l.since) {
		ackedAt = l.since
	}
	if n.now.Sub(ackedAt) >= n.config.ElectionTimeout {
		n.becomeFollower(n.state.Term, ID{})
		return
	}
	if !l.transferTo.IsZero() && n.now.Sub(l.transferSince) >= n.config.ElectionTimeoutMax {
		l.transferTo = ID{}
		n.refuse(l.transferToken, TransferTimedOut)
	}
	if n.now.Sub(l.heartbeatAt) >= n.config.Heartbeat {
		n.broadcast()
	}
}

// recordConfirmation records that a quorum had confirmed the leader at time t.
func (n *Node) recordConfirmation(t time.Time) {
	if t.After(n.confirmed) {
		n.confirmed = t
	}
}
