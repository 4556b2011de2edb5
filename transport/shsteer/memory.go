package shsteer

import (
	"errors"
	"math"
	"net/http"
	"time"

	"sequoiahollow/coordination/shmemory"
	"sequoiahollow/state/shsettings"
	"sequoiahollow/transport/internal/shlistener"
	"sequoiahollow/transport/shfront"
	"sequoiahollow/transport/shorigin"
)

// reservedFDs is the number of descriptors that a fleet keeps for files on each VM.
const reservedFDs = 200

// freeFDs returns the descriptors for connections and files of the process, zero for no
// bound.
func freeFDs(s shsettings.Fleet) int {
	if s.MaxFDs <= 2*reservedFDs {
		return s.MaxFDs / 2
	}
	return s.MaxFDs - reservedFDs
}

// HoldBody makes the body of a request count factor bytes for each byte that is read,
// for a handler that holds it whole. See IsShort.
func HoldBody(r *http.Request, factor int64) { shlistener.HoldBody(r, factor) }

// IsShort reports whether a body could not be read for lack of memory.
func IsShort(err error) bool { return shlistener.IsShort(err) }

// ReserveBody takes n bytes for what is decoded from the body of a request, until the
// request ends. See IsShort.
func ReserveBody(r *http.Request, n int64) error { return shlistener.ReserveBody(r, n) }

// ReserveAnswer takes n bytes for the answer to a request, until the request ends. See
// IsShort.
func ReserveAnswer(r *http.Request, n int64) error {
	return shlistener.RequestOf(r.Context()).Reserve(time.Now(), shmemory.Answers, n)
}

// Refuse answers that a request has not run for lack of memory.
func Refuse(w http.ResponseWriter, r *http.Request) { shlistener.Refuse(w, r) }

// overlapRoom returns mayOverlap, but false while there is little room: a request that
// waits for those before it takes no more than its connection.
func (p *process) overlapRoom(mayOverlap func(*http.Request) bool) func(*http.Request) bool {
	if p.budget == nil {
		return mayOverlap
	}
	return func(r *http.Request) bool { return p.budget.Room(2*shlistener.OverlapBytes) && mayOverlap(r) }
}

// purposeHold is the part of what a request holds that is for one purpose.
type purposeHold struct {
	request *shmemory.Request
	purpose shmemory.Purpose
}

// Reserve implements shfront.BodyHold and shorigin.AnswerHold.
func (h purposeHold) Reserve(n int64) error {
	err := h.request.Reserve(time.Now(), h.purpose, n)
	if e, ok := errors.AsType[*shmemory.Error](err); ok && e.Kind == shmemory.KindGivenUp {
		return shfront.ErrGivenUp
	}
	return err
}

// Release implements shfront.BodyHold and shorigin.AnswerHold.
func (h purposeHold) Release(n int64) { h.request.Release(h.purpose, n) }

// Close implements shfront.BodyHold.
func (h purposeHold) Close() { h.Release(math.MaxInt64) }

func holdBody(r *http.Request) shfront.BodyHold {
	return purposeHold{shlistener.RequestOf(r.Context()), shmemory.Bodies}
}

func holdAnswer(r *http.Request) shorigin.AnswerHold {
	return purposeHold{shlistener.RequestOf(r.Context()), shmemory.Answers}
}

// holdHead leaves room to answers: heads may not take all of the bound.
func holdHead(r *http.Request) shorigin.AnswerHold {
	return purposeHold{shlistener.RequestOf(r.Context()), shmemory.Heads}
}
