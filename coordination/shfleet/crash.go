package shfleet

import (
	"slices"
	"time"

	"sequoiahollow/state/shmodel"
)

const (
	// CrashLimit is the crash count from which a request is refused.
	CrashLimit = 3
	// maxCrashCounts bounds the digests with crash counts.
	maxCrashCounts = 1024
	// crashCountLifetime is how long a count is kept after the last crash. It is longer
	// than the time between two requests that are sent to find out whether they still
	// crash backend servers.
	crashCountLifetime = 4 * time.Hour
	// minCrashShare is the part of the counts of a service that each of the counts below
	// CrashLimit, and those from it on, may take before others go first.
	minCrashShare = 0.25
)

// CrashCount is the number of reported crashes of backend servers while they ran
// the request with a digest.
type CrashCount struct {
	Digest shmodel.Digest `json:"digest"`
	Count  int            `json:"count"`
}

// storedCrashCount is a CrashCount with what decides how long it is kept.
type storedCrashCount struct {
	CrashCount
	// Service is that of the last crash, "" if an earlier build reported it.
	Service shmodel.Service `json:"service,omitempty"`
	// At is the time of the last crash in Unix seconds, zero if an earlier build
	// reported it.
	At int64 `json:"at,omitempty"`
}

// countCrash counts a reported crash or removes a count. The counts are in the order of
// their last crashes.
func (s *State) countCrash(at time.Time, c ReportCrash) {
	i := slices.IndexFunc(s.CrashCounts, func(k storedCrashCount) bool { return k.Digest == c.Digest })
	if c.Cleared && i < 0 {
		return
	}
	counted := storedCrashCount{CrashCount: CrashCount{Digest: c.Digest, Count: 1}, Service: c.Service}
	if c.Service != "" {
		counted.At = at.Unix()
	}
	counts := slices.Clone(s.CrashCounts)
	if i >= 0 {
		counted.Count += counts[i].Count
		counts = slices.Delete(counts, i, i+1)
	}
	if !c.Cleared {
		oldest := at.Add(-crashCountLifetime).Unix()
		counts = slices.DeleteFunc(counts, func(k storedCrashCount) bool { return k.At > 0 && k.At < oldest })
		counts = append(counts, counted)
	}
	if len(counts) > maxCrashCounts {
		i := leastCrashCount(counts)
		counts = slices.Delete(counts, i, i+1)
	}
	s.CrashCounts, s.CrashCountsAt = counts, s.Index
}

// leastCrashCount returns the index of the count that says least: one of the service with
// the most counts, so that lost answers of one service do not push out what is known of
// another. Of these it is the oldest of the lowest count that more than minCrashShare of
// them have, where all from CrashLimit on are the same. So requests that broke one
// connection go before those that crash whatever runs them, and new ones still get the
// time to be counted again.
func leastCrashCount(counts []storedCrashCount) int {
	sizes, largest := map[shmodel.Service]int{}, shmodel.Service("")
	for _, k := range counts {
		if sizes[k.Service]++; sizes[k.Service] > sizes[largest] {
			largest = k.Service
		}
	}
	var levels [CrashLimit + 1]int
	for _, k := range counts {
		if k.Service == largest {
			levels[min(k.Count, CrashLimit)]++
		}
	}
	level := slices.IndexFunc(levels[:], func(n int) bool { return float64(n) > minCrashShare*float64(sizes[largest]) })
	return slices.IndexFunc(counts, func(k storedCrashCount) bool {
		return k.Service == largest && min(k.Count, CrashLimit) == level
	})
}

// crashCounts returns the counts for observers. It is not nil: in JSON that would say that
// they have not changed.
func (s *State) crashCounts() []CrashCount {
	counts := make([]CrashCount, len(s.CrashCounts))
	for i, k := range s.CrashCounts {
		counts[i] = k.CrashCount
	}
	return counts
}
