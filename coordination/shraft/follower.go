package shraft

// responseHeader returns the common part of an responseHeader to a leader.
func (n *Node) responseHeader(c RequestHeader) ResponseHeader {
	return ResponseHeader{Stamp: c.Stamp, Clock: Clock{Incarnation: n.incarnation, Elapsed: n.clock()}}
}

// followLeader handles the contact of the leader of the current term. It reports
// whether the message is to be handled.
func (n *Node) followLeader(from ID, c RequestHeader) bool {
	if n.lead != nil {
		// Two leaders in a term are impossible; such a message is forged.
		return false
	}
	if n.role != Follower || n.leader != from {
		n.follow(n.state.Term, from)
	}
	n.heardAt = n.now
	n.resetDeadline()
	if c.Echo.Incarnation == n.incarnation {
		// The leader sent this after this node's clock showed Echo.
		n.confirm(n.start.Add(c.Echo.Elapsed - c.QuorumAge))
	}
	return true
}

// acceptEntries handles an AppendRequest of the current term.
func (n *Node) acceptEntries(m Message, r AppendRequest) {
	if !n.followLeader(m.From, r.RequestHeader) {
		return
	}
	last := r.PrevIndex + uint64(len(r.Entries))
	if r.PrevIndex < n.commit {
		// Committed entries match those of the leader by definition.
		skip := min(n.commit-r.PrevIndex, uint64(len(r.Entries)))
		r.Entries = r.Entries[skip:]
		r.PrevIndex = n.commit
		last = max(last, n.commit)
	} else if term, ok := n.log.term(r.PrevIndex); !ok || term != r.PrevTerm {
		hint, hintTerm := n.log.upTo(r.PrevIndex, r.PrevTerm)
		n.send(m.From, AppendResponse{
			ResponseHeader: n.responseHeader(r.RequestHeader), Index: r.PrevIndex, Rejected: true, Hint: hint, HintTerm: hintTerm,
		})
		return
	}
	n.store(r.Entries)
	n.commit = max(n.commit, min(r.Commit, last))
	n.send(m.From, AppendResponse{ResponseHeader: n.responseHeader(r.RequestHeader), Index: last})
}

// store appends the entries that the log lacks, in place of those that conflict.
func (n *Node) store(entries []Entry) {
	for i, e := range entries {
		if term, ok := n.log.term(e.Index); ok && term == e.Term {
			continue
		}
		if e.Index <= n.commit {
			panic(errLostCommit)
		}
		n.log.replace(entries[i:])
		n.unsaved(e.Index)
		n.history = n.history.truncate(e.Index)
		for _, e := range entries[i:] {
			history, err := n.history.append(e)
			if err != nil {
				panic(err) // the leader that made the entry encoded it
			}
			n.history = history
		}
		return
	}
}
