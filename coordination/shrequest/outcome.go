package shrequest

import (
	"time"

	"sequoiahollow/state/shmodel"
	"sequoiahollow/state/shrecord"
)

// outcome returns the outcome of a request without an answer: not-run if every
// attempt certainly did not run, otherwise unknown. An attempt that found work
// in progress under its key, or the key used before, is uncertain.
func (r *Receiver) outcome() shmodel.Outcome {
	if r.keyTaken {
		return shmodel.Unknown
	}
	for _, a := range r.attempts {
		if a.state != notRun {
			return shmodel.Unknown
		}
	}
	return shmodel.NotRun
}

// finish ends the request without an answer.
func (r *Receiver) finish(now time.Time, reason Reason, retryAfter time.Duration) []Effect {
	outcome := r.outcome()
	if outcome == shmodel.NotRun && r.mustLookUpKey(reason) {
		return r.beginKeyLookup(reason, retryAfter)
	}
	r.refusal = RefuseCaller{Reason: reason, RetryAfter: retryAfter}
	out := r.abandonAttempts(now)
	// In stage opening the opening record may have been written although no copy
	// is confirmed.
	if !r.opened && r.stage != opening && outcome == shmodel.NotRun {
		r.stage = refusing
		refused := r.record(shrecord.Refused)
		refused.Outcome = shmodel.NotRun
		refused.Reason = string(reason)
		return append(out, WriteRecord{Record: refused, Await: true})
	}
	out = append(out, r.recordLateOpening()...)
	r.stage = receiverFinished
	out = append(out, r.closingRecord(now, outcome, reason, Execution{}))
	if outcome == shmodel.NotRun {
		return append(out, r.refusal)
	}
	return append(out, AnswerCaller{Outcome: shmodel.Unknown, Reason: reason})
}

// answer ends the request with the answer of an attempt.
func (r *Receiver) answer(now time.Time, number uint32, x Execution) []Effect {
	if r.streaming != 0 && r.streaming != number {
		return nil
	}
	out := append(r.abandonAttempts(now), r.recordLateOpening()...)
	r.stage = receiverFinished
	out = append(out, r.closingRecord(now, shmodel.Answered, ReasonNone, x))
	return append(out, AnswerCaller{
		Outcome:  shmodel.Answered,
		Answer:   x.Answer,
		Replayed: x.Replayed,
		Attempt:  number,
		Streamed: r.streaming == number && number != 0,
	})
}

// recordLateOpening writes the opening record of a request that ends without
// one because another request with its key determines its outcome.
func (r *Receiver) recordLateOpening() []Effect {
	if r.opened || r.stage == opening {
		return nil
	}
	r.opened = true
	return []Effect{WriteRecord{Record: r.record(shrecord.Opened)}}
}

// abort ends the request after a streamed answer broke off.
func (r *Receiver) abort(now time.Time) []Effect {
	r.stage = receiverFinished
	out := r.abandonAttempts(now)
	out = append(out, r.closingRecord(now, shmodel.Unknown, ReasonLostAnswer, Execution{}))
	return append(out, AbortCaller{})
}

// record returns a record with the fields that are the same for all kinds.
func (r *Receiver) record(kind shrecord.Kind) shrecord.Record {
	q := r.Request
	return shrecord.Record{
		RequestID:    q.ID,
		Kind:         kind,
		VM:           r.VM,
		Service:      q.Service,
		Method:       q.Method,
		Path:         q.Path,
		Operation:    q.Operation,
		Key:          q.Key,
		Caller:       q.Caller,
		FromRegion:   r.Region,
		RequestBytes: q.RequestBytes,
	}
}

// abandonAttempts cancels and records the attempts that are still in progress
// when the request ends.
func (r *Receiver) abandonAttempts(now time.Time) []Effect {
	out := r.cancelOthers(0)
	for i, a := range r.attempts {
		if a.state == inProgress {
			x := Execution{Outcome: shmodel.Unknown, Reason: ReasonCanceled}
			out = append(out, r.attemptRecord(now, uint32(i+1), x))
		}
	}
	return out
}

func (r *Receiver) attemptRecord(now time.Time, number uint32, x Execution) Effect {
	a := r.attempts[number-1]
	rec := r.record(shrecord.Attempted)
	rec.Attempt = number
	rec.ToRegion = a.region
	rec.BackendServer = x.BackendServer
	rec.Outcome = x.Outcome
	rec.Reason = string(x.Reason)
	rec.Status = x.Answer.Status
	rec.AnswerBytes = x.Bytes
	rec.DurationUS = now.Sub(a.started).Microseconds()
	return WriteRecord{Record: rec}
}

func (r *Receiver) closingRecord(now time.Time, outcome shmodel.Outcome, reason Reason, x Execution) Effect {
	rec := r.record(shrecord.Closed)
	rec.Outcome = outcome
	rec.Reason = string(reason)
	rec.BackendServer = x.BackendServer
	rec.Status = x.Answer.Status
	rec.AnswerBytes = x.Bytes
	rec.Replayed = x.Replayed
	rec.DurationUS = now.Sub(r.started).Microseconds()
	return WriteRecord{Record: rec}
}
