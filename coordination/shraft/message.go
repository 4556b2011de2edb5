package shraft

import (
	"encoding/json"
	"errors"
	"time"
)

// Message is a message between nodes. Term is the sender's term, or in a pre-vote
// the term that the candidate would start.
type Message struct {
	From ID
	To   ID
	Term uint64
	Body Body
}

// Body is the content of a Message. Only the types of this package implement it.
type Body interface{ body() }

// Stamp tells when a leader sent a request; the response returns it. Round counts
// the rounds of heartbeats in the leader's term, from 1. Sent is the time since
// the start of the leader's process.
type Stamp struct {
	Round uint64        `json:"round"`
	Sent  time.Duration `json:"sent"`
}

// Clock is a reading of a member's clock: Elapsed is the time since the member's
// start, and Incarnation a random number chosen at each start.
type Clock struct {
	Incarnation uint64        `json:"start"`
	Elapsed     time.Duration `json:"since"`
}

// RequestHeader is part of every request of a leader. It tells the member when a
// quorum last confirmed the leader: Echo is the newest Clock that the leader got
// from the member, zero if none or if no quorum has confirmed the leader.
// QuorumAge is the time since the confirmation.
type RequestHeader struct {
	Stamp
	Echo      Clock         `json:"echo,omitzero"`
	QuorumAge time.Duration `json:"age,omitempty"`
}

// ResponseHeader is part of every response to a leader.
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

// AppendResponse answers an AppendRequest or a finished snapshot. Unless Rejected
// is set, the log of the responding node matches the leader's up to Index. If it
// is set, Index is the rejected PrevIndex, and no entry after Hint can match;
// HintTerm is the term of the responding node's entry at Hint. A response without
// a Stamp only tells a former leader about a newer term.
type AppendResponse struct {
	ResponseHeader
	Index    uint64 `json:"index"`
	Rejected bool   `json:"rejected,omitempty"`
	Hint     uint64 `json:"hint,omitempty"`
	HintTerm uint64 `json:"hintTerm,omitempty"`
}

// SnapshotRequest carries a chunk of a snapshot. Without Data and Done it asks
// which chunk the receiver needs next.
type SnapshotRequest struct {
	RequestHeader
	Index      uint64     `json:"index"`
	Term       uint64     `json:"term"`
	Membership Membership `json:"membership"`
	Offset     int        `json:"offset"`
	Data       []byte     `json:"data,omitempty"`
	Done       bool       `json:"done,omitempty"`
}

// SnapshotResponse says that its sender needs the chunk at Offset next.
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
