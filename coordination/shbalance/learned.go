package shbalance

import (
	"time"

	"sequoiahollow/coordination/shfleet"
	"sequoiahollow/state/shmodel"
)

// routeTimes are the learned response times of a route, without queueing and
// round trips.
type routeTimes struct {
	warm movingAverage
	// unseen is the average for keys that this entry VM has not yet sent to the
	// backend server. Other entry VMs may have sent them.
	unseen movingAverage
	// warmAt is the time of the last observation of warm, and probedAt that of the
	// last request that was sent although by warm it can't be answered in time.
	warmAt   time.Time
	probedAt time.Time
}

// observeWarm records a response time. The first one after a probe replaces the
// average, which had no observations for probeInterval.
func (t *routeTimes) observeWarm(now time.Time, took time.Duration) {
	if t.probedAt.After(t.warmAt) {
		t.warm = movingAverage{}
	}
	t.warm.observe(took)
	t.warmAt = now
}

// isProbeDue reports whether a request should be sent although by the average it
// can't be answered in time. Otherwise nothing would correct an average that keeps
// all requests from being sent.
func (t *routeTimes) isProbeDue(now time.Time) bool {
	return now.Sub(t.warmAt) >= probeInterval && now.Sub(t.probedAt) >= probeInterval
}

// movingAverage is an exponential moving average; zero means unknown.
type movingAverage struct{ mean time.Duration }

func (e *movingAverage) observe(d time.Duration) {
	if e.mean == 0 {
		e.mean = d
		return
	}
	e.mean += time.Duration(observationWeight * float64(d-e.mean))
}

func (e *movingAverage) orDefault(d time.Duration) time.Duration {
	if e.mean == 0 {
		return d
	}
	return e.mean
}

// times returns the learned response times of a route. Routes come and go, so that beyond
// maxRoutes those that were used longest ago are forgotten.
func (b *Balancer) times(r *shfleet.Route) *routeTimes {
	t, ok := b.routes.Get(r.Name)
	if !ok {
		t = &routeTimes{}
	}
	service := shmodel.Service("")
	if len(r.Parts) > 0 {
		service = r.Parts[0].Service
	}
	b.routes.Put(service, r.Name, t)
	return t
}

// isDisturbed reports whether a result came so long after the deadline of the
// request that this VM must have been paused: the origin client ends a request at
// its deadline. The time it took then says nothing about the backend server.
func (c Choice) isDisturbed(now time.Time) bool { return now.Sub(c.at) > c.left+stallMargin }

// observeRoundTrip learns the round trip to a failure domain from how long a new
// connection took, at most maxRoundTrip. A response takes a round trip at least, so
// that an average that is too high is corrected without new connections.
func (b *Balancer) observeRoundTrip(n *backendState, took time.Duration, o Answered) {
	trip := b.roundTrips[n.backend.Zone]
	if trip == nil {
		trip = &movingAverage{}
		b.roundTrips[n.backend.Zone] = trip
	}
	if o.Connect > 0 {
		trip.observe(min(o.Connect, maxRoundTrip))
	}
	trip.mean = max(min(trip.mean, took-o.Transfer), 0)
}
