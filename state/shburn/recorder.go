// Package shburn measures how fast services use up the error budget of their
// service level.
//
// A Recorder counts good and bad requests per service and region in time
// buckets: 10 s buckets over 6 h for burn rates, and 1 h buckets over 30 days
// for the error budget. Each daemon reports its counts; Merge adds up the
// reports of all daemons and lists the daemons whose report is missing. The burn
// rate is the share of bad requests divided by the permitted share: at 1 the
// error budget lasts exactly 30 days.
package shburn

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"sequoiahollow/state/shconfig"
	"sequoiahollow/state/shmodel"
)

// Cause is why a request was bad, or Good.
type Cause uint8

// Causes.
const (
	// Good says that the request was good.
	Good Cause = iota
	// Refused says that the request was not run, other than for LinkCap.
	Refused
	// Slow says that the answer came later than the service level permits.
	Slow
	// Unknown says that the caller was not told whether the request ran.
	Unknown
	// BackendFailure says that the answer had a status of 500 or above.
	BackendFailure
	// LinkCap says that the request was refused because the bandwidth cap of a
	// link had too little capacity left.
	LinkCap
	// causes is the number of causes.
	causes
)

// Lengths of the buckets and windows.
const (
	fineBucket   = 10 * time.Second
	coarseBucket = time.Hour
	budgetWindow = 30 * 24 * time.Hour
	fineBuckets  = int64(6 * time.Hour / fineBucket)
	// The current coarse bucket is incomplete and comes on top of 30 days.
	coarseBuckets = int64(budgetWindow/coarseBucket) + 1
)

// Result is the result of a request as its caller saw it. LinkCap says that the
// request was refused because the bandwidth cap of a link had too little capacity
// left.
type Result struct {
	Outcome  shmodel.Outcome
	Status   int
	LinkCap  bool
	Duration time.Duration
}

// CauseOf classifies a request. A good request is answered with a status below
// 500 and within the latency of the level. A level without latency does not bound
// it.
func CauseOf(result Result, level shconfig.ServiceLevel) Cause {
	switch {
	case result.Outcome == shmodel.NotRun && result.LinkCap:
		return LinkCap
	case result.Outcome == shmodel.NotRun:
		return Refused
	case result.Outcome != shmodel.Answered:
		return Unknown
	case result.Status >= 500:
		return BackendFailure
	case level.LatencyMS > 0 && result.Duration > time.Duration(level.LatencyMS)*time.Millisecond:
		return Slow
	}
	return Good
}

// ring holds the counters of the latest buckets in a ring buffer. Writers add
// atomically; only the first writers of a new bucket take the lock.
type ring struct {
	length time.Duration
	// current is the number of the latest bucket: time since 1970 / length.
	current atomic.Int64
	mu      sync.Mutex
	buckets [][causes]atomic.Uint32
}

func newRing(length time.Duration, buckets int64) *ring {
	return &ring{length: length, buckets: make([][causes]atomic.Uint32, buckets)}
}

func (r *ring) number(at time.Time) int64 { return at.UnixNano() / int64(r.length) }

func (r *ring) add(at time.Time, cause Cause) {
	n := r.number(at)
	if n > r.current.Load() {
		r.advance(n)
	}
	if latest := r.current.Load(); n <= latest-int64(len(r.buckets)) {
		// The clock was set back so far that the ring no longer holds the bucket.
		n = latest
	}
	r.buckets[n%int64(len(r.buckets))][cause].Add(1)
}

// advance clears the buckets after the current one up to n and makes n the
// current one.
func (r *ring) advance(n int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	from := max(r.current.Load(), n-int64(len(r.buckets))) + 1
	for i := from; i <= n; i++ {
		for c := range causes {
			r.buckets[i%int64(len(r.buckets))][c].Store(0)
		}
	}
	r.current.Store(max(n, r.current.Load()))
}

// sum adds up the buckets that begin after at - window.
func (r *ring) sum(at time.Time, window time.Duration) Counts {
	var counts Counts
	n := r.number(at)
	latest := r.current.Load()
	for i := max(n-int64(window/r.length)+1, latest-int64(len(r.buckets))+1, 0); i <= min(n, latest); i++ {
		for c := range causes {
			counts.add(c, uint64(r.buckets[i%int64(len(r.buckets))][c].Load()))
		}
	}
	return counts
}

// Series counts the requests of one service in one region. Its methods are safe
// for concurrent use.
type Series struct {
	fine   *ring
	coarse *ring
}

// Observe counts one request that ended at the given time.
func (s *Series) Observe(at time.Time, cause Cause) {
	if cause >= causes {
		cause = Unknown
	}
	s.fine.add(at, cause)
	s.coarse.add(at, cause)
}

func (s *Series) windows(at time.Time) Windows {
	return Windows{
		FiveMinutes:   s.fine.sum(at, 5*time.Minute),
		ThirtyMinutes: s.fine.sum(at, 30*time.Minute),
		OneHour:       s.fine.sum(at, time.Hour),
		SixHours:      s.fine.sum(at, 6*time.Hour),
		ThirtyDays:    s.coarse.sum(at, budgetWindow),
	}
}

type seriesKey struct {
	service shmodel.Service
	region  shmodel.Region
}

// Recorder counts the requests of one daemon. Its methods are safe for
// concurrent use.
type Recorder struct {
	vm    shmodel.VM
	since time.Time

	mu     sync.RWMutex
	series map[seriesKey]*Series
}

// NewRecorder returns a Recorder of a daemon that started at since.
func NewRecorder(vm shmodel.VM, since time.Time) *Recorder {
	return &Recorder{vm: vm, since: since, series: make(map[seriesKey]*Series)}
}

// Series returns the series of a service and of the region that served or refused
// the request. Callers that count many requests should keep it.
func (r *Recorder) Series(service shmodel.Service, region shmodel.Region) *Series {
	k := seriesKey{service, region}
	r.mu.RLock()
	s := r.series[k]
	r.mu.RUnlock()
	if s != nil {
		return s
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if s = r.series[k]; s == nil {
		s = &Series{fine: newRing(fineBucket, fineBuckets), coarse: newRing(coarseBucket, coarseBuckets)}
		r.series[k] = s
	}
	return s
}

// Observe counts one request.
func (r *Recorder) Observe(at time.Time, service shmodel.Service, region shmodel.Region, cause Cause) {
	r.Series(service, region).Observe(at, cause)
}

// Report returns the counts of the windows that end at the given time, ordered by
// service and region.
func (r *Recorder) Report(at time.Time) DaemonReport {
	report := DaemonReport{VM: r.vm, At: at, Since: r.since}
	r.mu.RLock()
	defer r.mu.RUnlock()
	for k, s := range r.series {
		report.Series = append(report.Series, SeriesReport{Service: k.service, Region: k.region, Windows: s.windows(at)})
	}
	slices.SortFunc(report.Series, func(a, b SeriesReport) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Region, b.Region))
	})
	return report
}
