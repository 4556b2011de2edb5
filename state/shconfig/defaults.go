package shconfig

import "time"

// Defaults of Limits and of optional fields of services.
const (
	// DefaultLookupCache is how long callers may cache a lookup answer.
	DefaultLookupCache = 5 * time.Second
	// DefaultCrashLimit is the number of backend servers that a request may
	// crash before it is quarantined.
	DefaultCrashLimit = 2
	// DefaultRetryShare is the retry budget as a share of requests.
	DefaultRetryShare = 0.10
	// DefaultHedgeShare is the hedging budget as a share of requests under the
	// latency objective. The headroom objective does no hedging.
	DefaultHedgeShare = 0.05
	// DefaultReserveShareHeadroom and DefaultReserveShareLatency are the share
	// of slots that are not lent to other regions, under each objective.
	DefaultReserveShareHeadroom = 0.20
	DefaultReserveShareLatency  = 0.10
	// DefaultClaimRetention is how long claims keep their answers.
	DefaultClaimRetention = 24 * time.Hour
	// DefaultClockError is the largest difference between the clocks of VMs.
	DefaultClockError = 500 * time.Millisecond
	// DefaultMaxBodyBytes bounds the request body of a service.
	DefaultMaxBodyBytes = 1 << 20
)

// Bounds of the values that operators may set. They catch values given in the
// wrong unit, such as seconds in a field of milliseconds.
const (
	// MaxLookupCache bounds the drain time: a VM that stops serves until every
	// cached lookup answer has expired.
	MaxLookupCache = time.Minute
	// MaxTimeout bounds the timeout of a request.
	MaxTimeout = time.Hour
	// MaxClockError bounds the difference between the clocks of VMs.
	MaxClockError = 10 * time.Second
	// MaxClaimRetention bounds the size of the replicated state.
	MaxClaimRetention = 31 * 24 * time.Hour
	// MaxLatency bounds the latencies of regions and links.
	MaxLatency = 10 * time.Second
	// MaxBodyBytesLimit bounds MaxBodyBytes, since bodies of once-only
	// requests are held in memory while their digest is computed.
	MaxBodyBytesLimit = 64 << 20
	// MaxFileBytes bounds one file of a configuration folder. The design size
	// of 33 regions with 1,056 links needs less than 1 MiB.
	MaxFileBytes = 4 << 20
)

// WithDefaults returns the limits with each zero value replaced by the default
// for the objective. HedgeShare is always zero under Headroom.
func (l Limits) WithDefaults(o Objective) Limits {
	l.LookupCacheMS = orDefault(l.LookupCacheMS, DefaultLookupCache.Milliseconds())
	l.CrashLimit = orDefault(l.CrashLimit, DefaultCrashLimit)
	l.RetryShare = orDefault(l.RetryShare, DefaultRetryShare)
	l.ClaimHours = orDefault(l.ClaimHours, int(DefaultClaimRetention/time.Hour))
	l.ClockErrorMS = orDefault(l.ClockErrorMS, DefaultClockError.Milliseconds())
	if o == Headroom {
		l.HedgeShare = 0
		l.ReserveShare = orDefault(l.ReserveShare, DefaultReserveShareHeadroom)
		return l
	}
	l.HedgeShare = orDefault(l.HedgeShare, DefaultHedgeShare)
	l.ReserveShare = orDefault(l.ReserveShare, DefaultReserveShareLatency)
	return l
}

// BodyLimit returns MaxBodyBytes or its default.
func (s Service) BodyLimit() int64 { return orDefault(s.MaxBodyBytes, DefaultMaxBodyBytes) }

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
