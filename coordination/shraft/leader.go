package shraft

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// leadership is the state of a leader in its term.
type leadership struct {
	since       time.Time
	heartbeatAt time.Time
	round       uint64
	noOpIndex   uint64 // index of the first entry of the term
	members     map[ID]*progress
	reads       []pendingRead

	transferTo     ID // zero if no transfer is in progress
	transferToken  uint64
	transferSince  time.Time
	timeoutNowSent bool
}

// progressMode says how entries are sent to a member.
type progressMode uint8

const (
	// probing sends no entries until an answer shows where the logs match.
	probing progressMode = iota
	// replicating sends entries ahead of their acknowledgement.
	replicating
	// snapshotting sends a snapshot.
	snapshotting
)

// progress is what a leader knows about another member.
type progress struct {
	mode  progressMode
	match uint64 // the log is known to match up to here
	next  uint64 // first entry to send

	ackedRound uint64
	ackedAt    time.Time // when the newest acknowledged message was sent
	clock      Clock     // newest ResponseHeader.Clock

	snapshot *Snapshot // being sent
	offset   int
	// chunkSentAt is when the chunk at offset was sent. It starts an election
	// timeout in the past, so that the first chunk does not count as in flight.
	chunkSentAt    time.Time
	catchUpIndex   uint64 // commit index at catchUpIndexAt
	catchUpIndexAt time.Time
	caughtUpAt     time.Time // the member has what was committed at this time
}

// pendingRead waits for a quorum to answer a round and for index to be applied.
type pendingRead struct {
	tokens []uint64
	round  uint64
	index  uint64
}

// syncMembers adds and drops progress records after a membership change.
func (l *leadership) syncMembers(n *Node) {
	members := make(map[ID]*progress)
	for _, m := range n.membership().Members() {
		if m.ID == n.config.ID {
			continue
		}
		p := l.members[m.ID]
		if p == nil {
			p = &progress{next: n.log.lastIndex() + 1}
		}
		members[m.ID] = p
	}
	l.members = members
}

// quorumValue returns the largest value that a quorum of voters has reached.
// own is this node's value.
func quorumValue[T any](n *Node, own T, valueOf func(*progress) T, compare func(T, T) int) T {
	var values []T
	for _, m := range n.membership().Voters {
		if m.ID == n.config.ID {
			values = append(values, own)
			continue
		}
		values = append(values, valueOf(n.leadership.members[m.ID]))
	}
	slices.SortFunc(values, compare)
	return values[len(values)-n.membership().quorum()]
}

// quorumAckedAt returns the newest time at which a quorum is known to have
// followed this leader.
func (l *leadership) quorumAckedAt(n *Node) time.Time {
	return quorumValue(n, n.now, func(p *progress) time.Time { return p.ackedAt }, time.Time.Compare)
}

// advanceCommit commits what a quorum has stored, answers reads and continues a
// leadership transfer. Copies are counted only for entries of the current term.
func (n *Node) advanceCommit() {
	index := quorumValue(n, n.log.lastIndex(), func(p *progress) uint64 { return p.match }, cmp.Compare[uint64])
	if term, ok := n.log.term(index); ok && index > n.commit && term == n.state.Term {
		n.commit = index
	}
	n.recordConfirmation(n.leadership.quorumAckedAt(n))
	n.leadership.answerReads(n)
	n.continueTransfer()
}

// broadcast starts a round of heartbeats.
func (n *Node) broadcast() {
	l := n.leadership
	l.round++
	l.heartbeatAt = n.now
	for _, m := range n.membership().Members() {
		p := l.members[m.ID]
		if p == nil {
			continue
		}
		if p.match >= p.catchUpIndex {
			p.caughtUpAt = p.catchUpIndexAt
			p.catchUpIndex, p.catchUpIndexAt = n.commit, n.now
		}
		if p.mode == snapshotting {
			n.sendSnapshotChunk(m.ID, p, true)
		} else {
			n.sendEntries(m.ID, p, true)
		}
	}
}

func (n *Node) requestHeader(p *progress) RequestHeader {
	h := RequestHeader{Stamp: Stamp{Round: n.leadership.round, Sent: n.clock()}}
	if quorum := n.leadership.quorumAckedAt(n); p.clock != (Clock{}) && !quorum.IsZero() {
		h.Echo = p.clock
		h.QuorumAge = n.now.Sub(quorum)
	}
	return h
}

// replicate sends new entries to all members in replicating mode.
func (n *Node) replicate() {
	for _, m := range n.membership().Members() {
		if p := n.leadership.members[m.ID]; p != nil && p.mode == replicating {
			n.sendEntries(m.ID, p, false)
		}
	}
}

// sendEntries sends the entries that the member lacks, within the limit of
// entries in flight. A heartbeat is sent even without entries.
func (n *Node) sendEntries(to ID, p *progress, heartbeat bool) {
	for {
		prevTerm, ok := n.log.term(p.next - 1)
		if !ok {
			n.startSnapshot(to, p)
			return
		}
		var entries []Entry
		if inFlight := p.next - 1 - p.match; p.mode == replicating && inFlight < n.config.MaxInFlightEntries {
			entries = n.log.batch(p.next, n.config.MaxInFlightEntries-inFlight, n.config.MaxBatchBytes)
		}
		if len(entries) == 0 && !heartbeat {
			return
		}
		n.send(to, AppendRequest{
			RequestHeader: n.requestHeader(p),
			PrevIndex:     p.next - 1,
			PrevTerm:      prevTerm,
			Commit:        n.commit,
			Entries:       entries,
		})
		p.next += uint64(len(entries))
		heartbeat = false
	}
}

// recordResponse records a response header and returns the sender's progress, or
// nil if the sender is not a member.
func (n *Node) recordResponse(from ID, h ResponseHeader) *progress {
	if n.leadership == nil || h.Round == 0 {
		return nil
	}
	p := n.leadership.members[from]
	if p == nil {
		return nil
	}
	p.ackedRound = max(p.ackedRound, h.Round)
	if h.Clock.Incarnation != p.clock.Incarnation || h.Clock.Elapsed > p.clock.Elapsed {
		p.clock = h.Clock
	}
	if sent := n.start.Add(h.Sent); sent.After(p.ackedAt) {
		p.ackedAt = sent
	}
	return p
}

// handleAppendResponse handles an AppendResponse of the current term.
func (n *Node) handleAppendResponse(m Message, r AppendResponse) {
	p := n.recordResponse(m.From, r.ResponseHeader)
	if p == nil {
		return
	}
	if r.Rejected {
		n.backtrack(m.From, p, r)
	} else {
		p.match = max(p.match, r.Index)
		p.next = max(p.next, p.match+1)
		if p.mode == probing || p.mode == snapshotting && r.Index >= p.snapshot.Index {
			p.mode = replicating
			p.snapshot = nil
			p.next = p.match + 1
		}
	}
	n.advanceCommit()
	if p.mode == replicating {
		n.sendEntries(m.From, p, false)
	}
}

// backtrack continues with an earlier entry after a rejection, unless newer
// responses have made the rejection obsolete.
func (n *Node) backtrack(to ID, p *progress, r AppendResponse) {
	if p.mode == snapshotting || r.Index <= p.match || r.Index >= p.next {
		return
	}
	hint := min(r.Hint, r.Index-1)
	if r.HintTerm > 0 {
		hint, _ = n.log.findConflictByTerm(hint, r.HintTerm)
	}
	p.mode = probing
	p.next = max(hint, p.match) + 1
	n.sendEntries(to, p, true)
}

// propose handles a Propose event.
func (n *Node) propose(proposals []Proposal) {
	reason := NotLeader
	if n.leadership != nil {
		reason = Transferring
	}
	if n.leadership == nil || !n.leadership.transferTo.IsZero() {
		for _, p := range proposals {
			n.refuse(p.Token, reason)
		}
		return
	}
	for _, p := range proposals {
		n.accept(p.Token, n.appendEntry(Command, p.Data))
	}
	n.replicate()
	n.advanceCommit()
}

func (n *Node) accept(token, index uint64) {
	n.pending.answers = append(n.pending.answers, Accepted{Token: token, Index: index, Term: n.state.Term})
}

// read handles a Read event by starting a new round of heartbeats.
func (n *Node) read(tokens []uint64) {
	if n.leadership == nil {
		for _, t := range tokens {
			n.refuse(t, NotLeader)
		}
		return
	}
	n.broadcast()
	// Until the no-op entry is committed, entries of earlier terms may be
	// committed without this leader's knowledge.
	index := max(n.commit, n.leadership.noOpIndex)
	n.leadership.reads = append(n.leadership.reads, pendingRead{tokens: tokens, round: n.leadership.round, index: index})
	n.advanceCommit()
}

func (l *leadership) answerReads(n *Node) {
	round := quorumValue(n, math.MaxUint64, func(p *progress) uint64 { return p.ackedRound }, cmp.Compare[uint64])
	for len(l.reads) > 0 && l.reads[0].round <= round && l.reads[0].index <= n.commit {
		for _, t := range l.reads[0].tokens {
			n.pending.reads = append(n.pending.reads, ReadReady{t})
		}
		l.reads = l.reads[1:]
	}
}

func (l *leadership) refuseReads(n *Node) {
	for _, r := range l.reads {
		for _, t := range r.tokens {
			n.refuse(t, NotLeader)
		}
	}
}

func (l *leadership) isActive(n *Node, id ID) bool {
	p := l.members[id]
	return id == n.config.ID || p != nil && n.now.Sub(p.ackedAt) < n.config.ElectionTimeout
}

// isCaughtUp reports whether a member has all entries that were committed an
// election timeout ago.
func (l *leadership) isCaughtUp(n *Node, id ID) bool {
	p := l.members[id]
	if p == nil || !l.isActive(n, id) {
		return false
	}
	return p.match >= n.commit || p.match > 0 && n.now.Sub(p.caughtUpAt) < n.config.ElectionTimeout
}

func (l *leadership) fillStatus(n *Node, s *Status) {
	s.Confirmed = n.confirmed
	for _, m := range n.membership().Members() {
		if l.isActive(n, m.ID) {
			s.Active = append(s.Active, m.ID)
		}
	}
	for _, m := range n.membership().Learners {
		if l.isCaughtUp(n, m.ID) {
			s.CaughtUp = append(s.CaughtUp, m.ID)
		}
	}
}
