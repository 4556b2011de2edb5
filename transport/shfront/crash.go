package shfront

import (
	"hash/fnv"
	"time"

	"sequoiahollow/coordination/shfleet"
	"sequoiahollow/state/shmodel"
)

const (
	// firstCrashProbe is how long such a request is refused until one is sent to
	// find out whether it still breaks backend servers. Each further crash
	// multiplies the time by crashProbeFactor, up to maxCrashProbe, so that a request
	// that always does breaks three more in half an hour.
	firstCrashProbe  = 30 * time.Second
	crashProbeFactor = 8
	maxCrashProbe    = time.Hour
	// crashProbeStagger is the time between the probes of two entry VMs. The result of
	// the first one is known everywhere by then.
	crashProbeStagger = 2 * time.Second
	// maxCrashProbes bounds the requests with a time for a probe.
	maxCrashProbes = 1024
)

// reasonCrashes is why a request with a crash count is not sent, or not again.
const reasonCrashes = "the request broke several backend servers"

// crashProbe is when a request that was refused for its crash count may be sent.
type crashProbe struct {
	count int
	at    time.Time
}

// mayProbeCrash reports whether a request with a crash count of shfleet.CrashLimit or more may
// be sent as a probe. Only an answer would clear the count, so that a request that is
// never sent would be refused for good. The entry VMs take turns, in an order that
// depends on the request.
func (h *Handler) mayProbeCrash(now time.Time, s shmodel.Service, d shmodel.Digest, count int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	wait := firstCrashProbe
	for range count - shfleet.CrashLimit {
		wait = min(wait*crashProbeFactor, maxCrashProbe)
	}
	p, ok := h.crashProbes.Get(d)
	if !ok || p.count != count {
		p = crashProbe{count: count, at: now.Add(wait + crashProbeStagger*time.Duration(h.probeRank(d)))}
	}
	due := !now.Before(p.at)
	if due {
		p.at = now.Add(wait)
	}
	h.crashProbes.Max = maxCrashProbes
	h.crashProbes.Put(s, d, p)
	return due
}

// probeRank returns the number of entry VMs whose turn comes before that of this one.
func (h *Handler) probeRank(d shmodel.Digest) int {
	weight := func(vm shmodel.VM) uint64 {
		f := fnv.New64a()
		f.Write([]byte(vm))
		f.Write(d[:])
		return f.Sum64()
	}
	own, rank := weight(h.Place.VM), 0
	for _, e := range h.View().Entries {
		if e.VM != h.Place.VM && e.Ready && weight(e.VM) > own {
			rank++
		}
	}
	return rank
}
