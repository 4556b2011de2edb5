package shraft

import (
	"encoding/json"
	"errors"
	"time"
)

// Message is what nodes send each other. Term is the sender's term, or the term
// that a pre-vote is about.
type Message struct {
	From ID
	To   ID
	Term uint64
	Body Body
}

// Body is the content of a Message. The set is closed.
type Body interface{ body() }

// Stamp marks the messages of a leader, who gets it back in the answer. Round
// counts heartbeats in the leader's term, from 1; Sent is the leader's clock,
// since its start.
type Stamp struct {
	Round uint64        `json:"round"`
	Sent  time.Duration `json:"sent"`
}

// Clock is a reading of a member's clock: the time since its start, and a
// random number that tells one start from another.
type Clock struct {
	Incarnation uint64        `json:"start"`
	Elapsed time.Duration `json:"since"`
}

// RequestHeader carries what a member learns about the leader's quorum. Echo is the
// newest Clock that the leader got from the member, zero if none or if no quorum
// has confirmed the leader. Age is how long ago a quorum did.
type RequestHeader struct {
	Stamp
	Echo Clock         `json:"echo,omitzero"`
	QuorumAge  time.Duration `json:"age,omitempty"`
}

// ResponseHeader is part of every answer to a leader.
type ResponseHeader struct {
	Stamp
	Clock Clock `json:"clock"`
}

// VoteRequest asks for a vote. A pre-vote changes nothing at the receiver.
type VoteRequest struct {
	Pre       bool   `json:"pre,omitempty"`
	LastIndex uint64 `json:"lastIndex"`
	LastTerm  uint64 `json:"lastTerm"`
	// Transfer says that the leader asked the candidate to take over.
	Transfer bool `json:"transfer,omitempty"`
}

// VoteResponse answers a VoteRequest.
type VoteResponse struct {
	Pre     bool `json:"pre,omitempty"`
	Granted bool `json:"granted,omitempty"`
}

// AppendRequest carries entries that follow the entry at PrevIndex, or none.
type AppendRequest struct {
	RequestHeader
	PrevIndex uint64  `json:"prevIndex"`
	PrevTerm  uint64  `json:"prevTerm"`
	Commit    uint64  `json:"commit"`
	Entries   []Entry `json:"entries,omitempty"`
}

// AppendResponse answers an AppendRequest or a finished snapshot. Unless it is
// rejected, the receiver's log matches the leader's up to Index. If it is,
// Index is the rejected PrevIndex, and no entry after Hint can match; HintTerm
// is the term of the receiver's entry at Hint. Without a Stamp it only tells a
// former leader about a newer term.
type AppendResponse struct {
	ResponseHeader
	Index    uint64 `json:"index"`
	Rejected bool   `json:"rejected,omitempty"`
	Hint     uint64 `json:"hint,omitempty"`
	HintTerm uint64 `json:"hintTerm,omitempty"`
}

// SnapshotRequest carries a part of a snapshot. Without Data and Done it asks
// which part is wanted.
type SnapshotRequest struct {
	RequestHeader
	Index      uint64     `json:"index"`
	Term       uint64     `json:"term"`
	Membership Membership `json:"membership"`
	Offset     int        `json:"offset"`
	Data       []byte     `json:"data,omitempty"`
	Done       bool       `json:"done,omitempty"`
}

// SnapshotResponse says that the receiver wants the part at Offset next.
type SnapshotResponse struct {
	ResponseHeader
	Index  uint64 `json:"index"`
	Offset int    `json:"offset"`
}

// TimeoutNow asks the receiver to campaign at once.
type TimeoutNow struct{}

func (VoteRequest) body()      {}
func (VoteResponse) body()     {}
func (AppendRequest) body()    {}
func (AppendResponse) body()   {}
func (SnapshotRequest) body()  {}
func (SnapshotResponse) body() {}
func (TimeoutNow) body()       {}

// wireMessage is the JSON form of a Message. One body is set.
type wireMessage struct {
	From             ID                `json:"from"`
	To               ID                `json:"to"`
	Term             uint64            `json:"term"`
	VoteRequest      *VoteRequest      `json:"voteRequest,omitempty"`
	VoteResponse     *VoteResponse     `json:"voteResponse,omitempty"`
	AppendRequest    *AppendRequest    `json:"appendRequest,omitempty"`
	AppendResponse   *AppendResponse   `json:"appendResponse,omitempty"`
	SnapshotRequest  *SnapshotRequest  `json:"snapshotRequest,omitempty"`
	SnapshotResponse *SnapshotResponse `json:"snapshotResponse,omitempty"`
	TimeoutNow       *TimeoutNow       `json:"timeoutNow,omitempty"`
}

// MarshalJSON implements json.Marshaler.
func (m Message) MarshalJSON() ([]byte, error) {
	w := wireMessage{From: m.From, To: m.To, Term: m.Term}
	switch b := m.Body.(type) {
	case VoteRequest:
		w.VoteRequest = &b
	case VoteResponse:
		w.VoteResponse = &b
	case AppendRequest:
		w.AppendRequest = &b
	case AppendResponse:
		w.AppendResponse = &b
	case SnapshotRequest:
		w.SnapshotRequest = &b
	case SnapshotResponse:
		w.SnapshotResponse = &b
	case TimeoutNow:
		w.TimeoutNow = &b
	default:
		return nil, errors.New("raft message without a body")
	}
	return json.Marshal(w)
}

// UnmarshalJSON implements json.Unmarshaler.
func (m *Message) UnmarshalJSON(data []byte) error {
	var w wireMessage
	if err := json.Unmarshal(data, &w); err != nil {
		return err
	}
	*m = Message{From: w.From, To: w.To, Term: w.Term}
	switch {
	case w.VoteRequest != nil:
		m.Body = *w.VoteRequest
	case w.VoteResponse != nil:
		m.Body = *w.VoteResponse
	case w.AppendRequest != nil:
		m.Body = *w.AppendRequest
	case w.AppendResponse != nil:
		m.Body = *w.AppendResponse
	case w.SnapshotRequest != nil:
		m.Body = *w.SnapshotRequest
	case w.SnapshotResponse != nil:
		m.Body = *w.SnapshotResponse
	case w.TimeoutNow != nil:
		m.Body = *w.TimeoutNow
	default:
		return errors.New("raft message without a known body")
	}
	return nil
}
