package shraft

// responseHeader returns the header of a response to a leader.
func (n *Node) responseHeader(h RequestHeader) ResponseHeader {
	return ResponseHeader{Stamp: h.Stamp, Clock: Clock{Incarnation: n.incarnation, Elapsed: n.clock()}}
}

// acceptLeader follows the leader of the current term and handles the header of
// its request. It reports whether the request is to be handled.
func (n *Node) acceptLeader(from ID, h RequestHeader) bool {
	if n.leadership != nil {
		// A term has at most one leader, so this message is forged.
		return false
	}
	if n.role != Follower || n.leader != from {
		n.becomeFollower(n.state.Term, from)
	}
	n.lastLeaderContact = n.now
	n.resetElectionDeadline()
	if h.Echo.Incarnation == n.incarnation {
		// The leader sent this request after this node's clock showed Echo, so a
		// quorum confirmed the leader at Echo minus QuorumAge or later.
		n.recordConfirmation(n.start.Add(h.Echo.Elapsed - h.QuorumAge))
	}
	return true
}

// handleAppendRequest handles an AppendRequest of the current term.
func (n *Node) handleAppendRequest(m Message, r AppendRequest) {
	if !n.acceptLeader(m.From, r.RequestHeader) {
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
		hint, hintTerm := n.log.findConflictByTerm(r.PrevIndex, r.PrevTerm)
		n.send(m.From, AppendResponse{
			ResponseHeader: n.responseHeader(r.RequestHeader), Index: r.PrevIndex, Rejected: true, Hint: hint, HintTerm: hintTerm,
		})
		return
	}
	n.storeMissing(r.Entries)
	n.commit = max(n.commit, min(r.Commit, last))
	n.send(m.From, AppendResponse{ResponseHeader: n.responseHeader(r.RequestHeader), Index: last})
}

// storeMissing appends the entries that the log lacks and replaces those that
// conflict.
func (n *Node) storeMissing(entries []Entry) {
	for i, e := range entries {
		if term, ok := n.log.term(e.Index); ok && term == e.Term {
			continue
		}
		if e.Index <= n.commit {
			panic(errCommittedEntryReplaced)
		}
		n.log.replace(entries[i:])
		n.markUnsaved(e.Index)
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
