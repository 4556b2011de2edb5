package shcontrol

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"sequoiahollow/state/shmodel"
)

const (
	// MaxRecordedAnswer is the largest recorded answer, in bytes of header and
	// body.
	MaxRecordedAnswer = 64 << 10

	// maxExpiredPerApply bounds how many entries of one map a command may
	// expire. A command adds at most one entry to each map, so the backlog of
	// expired entries shrinks with every command.
	maxExpiredPerApply = 8
)

// claim is the full state of a key, kept for the retention period.
type claim struct {
	Digest    shmodel.Digest    `json:"digest"`
	RequestID shmodel.RequestID `json:"requestId"`
	Attempt   Attempt           `json:"attempt"`
	// Status is in-progress, answered, unknown or not-run.
	Status ClaimStatus `json:"status"`
	Reason string      `json:"reason,omitempty"`
	Answer Answer      `json:"answer,omitzero"`
}

// forbiddenClaim identifies a request that may no longer claim a key.
type forbiddenClaim struct {
	Key       shmodel.ClaimKey  `json:"key"`
	RequestID shmodel.RequestID `json:"requestId"`
}

// claims is the state of once-only work. Attempt numbers increase per key,
// across all requests that claim the key, so a proposal that is applied twice
// or late is never granted twice.
type claims struct {
	// Full holds the claims within the retention period, Forbidden the settled
	// requests, Used the hashes of keys whose claims are older.
	Full      agingMap[shmodel.ClaimKey, claim] `json:"full"`
	Forbidden agingMap[forbiddenClaim, bool]    `json:"forbidden"`
	Used      keyHashes                         `json:"used"`

	// inProgress holds the keys of claims in progress. It is derived from Full
	// and not part of a snapshot.
	inProgress map[shmodel.ClaimKey]bool
}

func (c claim) result() ClaimResult {
	return ClaimResult{
		Status:    c.Status,
		RequestID: c.RequestID,
		Attempt:   c.Attempt,
		Reason:    c.Reason,
		Answer:    c.Answer,
	}
}

// withStatus returns the result for the claim with another status and without
// the answer.
func (c claim) withStatus(s ClaimStatus) ClaimResult {
	r := c.result()
	r.Status = s
	r.Answer = Answer{}
	return r
}

// open applies an OpenClaim. clockError is the largest difference between the
// clocks of VMs.
func (cs *claims) open(at time.Time, clockError time.Duration, c OpenClaim) Result {
	if c.Key.Key == "" || c.RequestID == 0 || c.Attempt.Number == 0 {
		return Rejected{Reason: "a claim needs a key, a request ID and an attempt number"}
	}
	held, exists := cs.Full.get(c.Key)
	if _, ok := cs.Forbidden.get(forbiddenClaim{Key: c.Key, RequestID: c.RequestID}); ok {
		return held.withStatus(ClaimForbidden)
	}
	if exists && held.Digest != c.Digest {
		return held.withStatus(ClaimConflict)
	}
	if exists && held.Status != ClaimNotRun {
		return held.result()
	}
	if exists && c.Attempt.Number <= held.Attempt.Number {
		return held.result()
	}
	if !exists && cs.Used.has(c.Key) {
		return ClaimResult{Status: ClaimUsedBefore}
	}
	c.Attempt.DispatchBy = canonical(c.Attempt.DispatchBy)
	// A proposal that is applied after its dispatch deadline may belong to a
	// request whose not-run claim or settlement has already expired.
	if !c.Attempt.DispatchBy.IsZero() && at.After(c.Attempt.DispatchBy.Add(clockError)) {
		return Rejected{Reason: "the dispatch deadline has passed"}
	}
	opened := claim{
		Digest:    c.Digest,
		RequestID: c.RequestID,
		Attempt:   c.Attempt,
		Status:    ClaimInProgress,
	}
	cs.put(at, c.Key, opened)
	return opened.withStatus(ClaimGranted)
}

// close applies a CloseClaim.
func (cs *claims) close(at time.Time, c CloseClaim) Result {
	status, ok := statusOf(c.Outcome)
	if !ok {
		return Rejected{Reason: fmt.Sprintf("outcome %q", c.Outcome)}
	}
	held, exists := cs.Full.get(c.Key)
	if !exists {
		return cs.missingResult(c.Key, c.RequestID)
	}
	current := held.RequestID == c.RequestID && held.Attempt.Number == c.Attempt
	if !current || held.Status != ClaimInProgress {
		return held.result()
	}
	held.Status = status
	held.Reason = c.Reason
	if status == ClaimAnswered {
		held.Answer = truncateAnswer(c.Answer)
	}
	cs.put(at, c.Key, held)
	return held.result()
}

// settle applies a SettleClaim. A request whose last attempt did not run is
// forbidden too: its caller may have got the outcome not-run, which a later
// attempt would contradict.
func (cs *claims) settle(at time.Time, c SettleClaim) Result {
	if c.Key.Key == "" || c.RequestID == 0 {
		return Rejected{Reason: "a settlement needs a key and a request ID"}
	}
	held, exists := cs.Full.get(c.Key)
	if !exists && cs.Used.has(c.Key) {
		return ClaimResult{Status: ClaimUsedBefore}
	}
	if exists && held.RequestID == c.RequestID && held.Status != ClaimNotRun {
		return held.result()
	}
	cs.Forbidden.put(at, forbiddenClaim{Key: c.Key, RequestID: c.RequestID}, true)
	switch {
	case !exists || held.Status == ClaimNotRun:
		return held.withStatus(ClaimForbidden)
	case held.Digest != c.Digest && c.Digest != (shmodel.Digest{}):
		return held.withStatus(ClaimConflict)
	}
	return held.result()
}

func (cs *claims) put(at time.Time, key shmodel.ClaimKey, c claim) {
	cs.Full.put(at, key, c)
	cs.index(key, c)
}

func (cs *claims) index(key shmodel.ClaimKey, c claim) {
	if c.Status != ClaimInProgress {
		delete(cs.inProgress, key)
		return
	}
	if cs.inProgress == nil {
		cs.inProgress = map[shmodel.ClaimKey]bool{}
	}
	cs.inProgress[key] = true
}

// rebuild derives inProgress from Full after a restore.
func (cs *claims) rebuild() {
	cs.inProgress = nil
	for key := range cs.Full.entries {
		c, _ := cs.Full.get(key)
		cs.index(key, c)
	}
}

// overdue returns up to limit claims in progress whose dispatch deadline has
// passed on every clock within clockError.
func (cs *claims) overdue(now time.Time, clockError time.Duration, limit int) map[shmodel.ClaimKey]ClaimResult {
	found := map[shmodel.ClaimKey]ClaimResult{}
	for key := range cs.inProgress {
		c, ok := cs.Full.get(key)
		if !ok || !now.After(c.Attempt.DispatchBy.Add(clockError)) {
			continue
		}
		if len(found) == limit {
			break
		}
		found[key] = c.result()
	}
	return found
}

// missingResult returns the result for a key without a claim in Full.
func (cs *claims) missingResult(key shmodel.ClaimKey, id shmodel.RequestID) ClaimResult {
	if cs.Used.has(key) {
		return ClaimResult{Status: ClaimUsedBefore}
	}
	if _, ok := cs.Forbidden.get(forbiddenClaim{Key: key, RequestID: id}); ok {
		return ClaimResult{Status: ClaimForbidden}
	}
	return ClaimResult{Status: ClaimNotRun}
}

// expire replaces claims older than age by the hash of their key. A claim
// whose attempts did not run is dropped without a hash: the key was never used.
func (cs *claims) expire(at time.Time, age time.Duration) {
	for range maxExpiredPerApply {
		e, ok := cs.Full.popExpired(at, age)
		if !ok {
			break
		}
		delete(cs.inProgress, e.Key)
		if e.Value.Status != ClaimNotRun {
			cs.Used.add(e.Key)
		}
	}
	for range maxExpiredPerApply {
		if _, ok := cs.Forbidden.popExpired(at, age); !ok {
			break
		}
	}
}

func statusOf(o shmodel.Outcome) (ClaimStatus, bool) {
	switch o {
	case shmodel.Answered:
		return ClaimAnswered, true
	case shmodel.Unknown:
		return ClaimUnknown, true
	case shmodel.NotRun:
		return ClaimNotRun, true
	}
	return "", false
}

// truncateAnswer drops the parts of an answer that exceed MaxRecordedAnswer.
func truncateAnswer(a Answer) Answer {
	header := 0
	for name, values := range a.Header {
		for _, v := range values {
			header += len(name) + len(v)
		}
	}
	if header > MaxRecordedAnswer {
		return Answer{Status: a.Status, Truncated: true}
	}
	if header+len(a.Body) > MaxRecordedAnswer {
		a.Body = nil
		a.Truncated = true
	}
	return a
}

// keyHash is the truncated hash of a used key; it is kept forever.
type keyHash [16]byte

// keyHashes is a set of used keys. Its JSON form is the sorted hashes in one
// base64 string.
type keyHashes struct{ set map[keyHash]struct{} }

func hashKey(key shmodel.ClaimKey) keyHash {
	data := binary.AppendUvarint(nil, uint64(len(key.Service)))
	data = append(data, key.Service...)
	data = append(data, key.Key...)
	sum := sha256.Sum256(data)
	return keyHash(sum[:16])
}

func (h *keyHashes) has(key shmodel.ClaimKey) bool {
	_, ok := h.set[hashKey(key)]
	return ok
}

func (h *keyHashes) add(key shmodel.ClaimKey) {
	if h.set == nil {
		h.set = map[keyHash]struct{}{}
	}
	h.set[hashKey(key)] = struct{}{}
}

// MarshalJSON implements json.Marshaler.
func (h *keyHashes) MarshalJSON() ([]byte, error) {
	sorted := make([]keyHash, 0, len(h.set))
	for hash := range h.set {
		sorted = append(sorted, hash)
	}
	slices.SortFunc(sorted, func(a, b keyHash) int { return slices.Compare(a[:], b[:]) })
	data := make([]byte, 0, len(sorted)*len(keyHash{}))
	for _, hash := range sorted {
		data = append(data, hash[:]...)
	}
	return json.Marshal(data)
}

// UnmarshalJSON implements json.Unmarshaler.
func (h *keyHashes) UnmarshalJSON(text []byte) error {
	var data []byte
	if err := decodeStrict(text, &data); err != nil {
		return err
	}
	if len(data)%len(keyHash{}) != 0 {
		return fmt.Errorf("key hashes: %d bytes are no multiple of %d", len(data), len(keyHash{}))
	}
	h.set = make(map[keyHash]struct{}, len(data)/len(keyHash{}))
	for hash := range slices.Chunk(data, len(keyHash{})) {
		h.set[keyHash(hash)] = struct{}{}
	}
	return nil
}
