package shraft

// partialSnapshot is a snapshot that is being received.
type partialSnapshot struct {
	from  ID
	term  uint64 // of the leader
	index uint64
	data  []byte
}

// startSnapshot sends a member the newest snapshot instead of entries that were
// dropped. The snapshot stays the same until the member has it.
func (n *Node) startSnapshot(to ID, p *progress) {
	s := n.snapshot
	p.mode = snapshotting
	p.snapshot = &s
	p.offset = 0
	p.chunkSentAt = n.now.Add(-n.config.ElectionTimeout)
	n.sendSnapshotChunk(to, p, true)
}

// sendSnapshotChunk sends the chunk of the snapshot at the offset that the member
// needs. A heartbeat carries no data, so a member that does not answer costs
// little bandwidth.
func (n *Node) sendSnapshotChunk(to ID, p *progress, heartbeat bool) {
	s := p.snapshot
	r := SnapshotRequest{
		RequestHeader: n.requestHeader(p),
		Index:         s.Index,
		Term:          s.Term,
		Membership:    s.Membership,
		Offset:        p.offset,
	}
	if !heartbeat {
		end := min(p.offset+n.config.SnapshotChunkBytes, len(s.Data))
		r.Data = s.Data[p.offset:end]
		r.Done = end == len(s.Data)
		p.chunkSentAt = n.now
	}
	n.send(to, r)
}

// handleSnapshotResponse handles a SnapshotResponse of the current term.
func (n *Node) handleSnapshotResponse(m Message, r SnapshotResponse) {
	p := n.recordResponse(m.From, r.ResponseHeader)
	if p == nil {
		return
	}
	n.advanceCommit()
	if p.mode != snapshotting || r.Index != p.snapshot.Index || r.Offset > len(p.snapshot.Data) {
		return
	}
	// A chunk in flight must not be sent again after every heartbeat.
	lost := n.now.Sub(p.chunkSentAt) >= n.config.ElectionTimeout
	if r.Offset == p.offset && !lost {
		return
	}
	p.offset = r.Offset
	n.sendSnapshotChunk(m.From, p, false)
}

// handleSnapshotRequest handles a SnapshotRequest of the current term.
func (n *Node) handleSnapshotRequest(m Message, r SnapshotRequest) {
	if !n.acceptLeader(m.From, r.RequestHeader) {
		return
	}
	if term, ok := n.log.term(r.Index); ok && term == r.Term {
		// The log holds what the snapshot covers. It must not be dropped, because
		// this node may have acknowledged entries after the snapshot.
		n.commit = max(n.commit, r.Index)
	}
	if r.Index <= n.commit {
		n.send(m.From, AppendResponse{ResponseHeader: n.responseHeader(r.RequestHeader), Index: n.commit})
		return
	}
	if n.partial.from != m.From || n.partial.term != m.Term || n.partial.index != r.Index {
		n.partial = partialSnapshot{from: m.From, term: m.Term, index: r.Index}
	}
	if r.Offset == len(n.partial.data) {
		n.partial.data = append(n.partial.data, r.Data...)
		if r.Done {
			n.install(r)
			n.send(m.From, AppendResponse{ResponseHeader: n.responseHeader(r.RequestHeader), Index: r.Index})
			return
		}
	}
	n.send(m.From, SnapshotResponse{ResponseHeader: n.responseHeader(r.RequestHeader), Index: r.Index, Offset: len(n.partial.data)})
}

// install replaces the log and the state by the received snapshot.
func (n *Node) install(r SnapshotRequest) {
	n.snapshot = Snapshot{Index: r.Index, Term: r.Term, Membership: r.Membership, Data: n.partial.data}
	n.partial = partialSnapshot{}
	n.log = raftLog{prevIndex: r.Index, prevTerm: r.Term}
	n.history = membershipHistory{{index: r.Index, membership: r.Membership}}
	n.commit, n.applied = r.Index, r.Index
	n.pending.snapshot, n.pending.resetLog, n.pending.restore = true, true, true
}
