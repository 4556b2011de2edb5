package shsteer

import (
	"context"
	"slices"
	"sync"

	"sequoiahollow/coordination/shfair"
	"sequoiahollow/coordination/shfleet"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/transport/shfront"
)

// maxQueuedReports bounds the queue of crash reports for the leader.
const maxQueuedReports = 64

// reportQueue holds the crash reports that have not been sent to the leader. Services take
// turns, so that many lost answers of one do not hold up the reports of another. The zero
// value is an empty queue. It is safe for concurrent use.
type reportQueue struct {
	mu      sync.Mutex
	waiting shfair.Map[shmodel.Service, reportKey, shfront.CrashReport]
	// turns are the services with reports, the next one first.
	turns []shmodel.Service
	added chan struct{}
}

// reportKey makes equal reports one.
type reportKey struct {
	digest   shmodel.Digest
	instance shfleet.Instance
	cleared  bool
}

// put adds a report. Beyond maxQueuedReports it returns the one that is dropped.
func (q *reportQueue) put(r shfront.CrashReport) (dropped shfront.CrashReport, ok bool) {
	k := reportKey{digest: r.Digest, cleared: r.Cleared}
	if r.Instance != nil {
		k.instance = *r.Instance
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting.Max = maxQueuedReports
	dropped, ok = q.waiting.Put(r.Service, k, r)
	if !slices.Contains(q.turns, r.Service) {
		q.turns = append(q.turns, r.Service)
	}
	select {
	case q.signal() <- struct{}{}:
	default:
	}
	return dropped, ok
}

// signal returns the channel that has a value if there may be reports. The caller holds
// the mutex.
func (q *reportQueue) signal() chan struct{} {
	if q.added == nil {
		q.added = make(chan struct{}, 1)
	}
	return q.added
}

// take removes the next report. It returns false if ctx ends before there is one.
func (q *reportQueue) take(ctx context.Context) (shfront.CrashReport, bool) {
	for {
		q.mu.Lock()
		r, ok := q.next()
		added := q.signal()
		q.mu.Unlock()
		if ok {
			return r, true
		}
		select {
		case <-added:
		case <-ctx.Done():
			return shfront.CrashReport{}, false
		}
	}
}

// next removes the oldest report of the service whose turn it is.
func (q *reportQueue) next() (shfront.CrashReport, bool) {
	for len(q.turns) > 0 {
		s := q.turns[0]
		q.turns = q.turns[1:]
		k, r, ok := q.waiting.Oldest(s)
		if !ok {
			continue
		}
		q.waiting.Delete(k)
		if _, _, more := q.waiting.Oldest(s); more {
			q.turns = append(q.turns, s)
		}
		return r, true
	}
	return shfront.CrashReport{}, false
}
