package shentry

import (
	"net"
	"net/http"
	"time"

	"sequoiahollow/coordination/shdirectory"
	"sequoiahollow/protocol/shwire"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/transport/shview"
)

// lookupShiftBytes is taken from the grant for the link when a lookup sends a
// caller to another region: the bytes that a caller is expected to exchange while
// it caches the answer.
const lookupShiftBytes = 256 << 10

func lookup(v *shview.View, region shmodel.Region, caller string, service shmodel.Service) []shdirectory.Heartbeat {
	return shdirectory.Lookup(v.Entries, shdirectory.Query{
		Service: service, Region: region, Caller: caller, LatencyMS: v.LatencyMS(region), Drains: v.Drains,
	})
}

func (e *Entry) handleEntries(w http.ResponseWriter, r *http.Request) {
	v := e.View()
	name := shmodel.Service(r.URL.Query().Get("service"))
	if !v.Ready() {
		WriteProblem(w, problemOf(http.StatusServiceUnavailable, "no configuration", "", 0, ""), time.Second)
		return
	}
	if v.Config.Find(string(name), "") == nil {
		WriteProblem(w, problemOf(http.StatusNotFound, "unknown service", "no service has the name "+string(name), 0, ""), 0)
		return
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		host = r.RemoteAddr
	}
	entries := lookup(v, e.Place.Region, host, name)
	if len(entries) == 0 || !e.tryShift(entries[0].Place.Region) {
		WriteProblem(w, problemOf(http.StatusServiceUnavailable, "no entry VM", "no entry VM may take callers of this region now", 0, ""), time.Second)
		return
	}
	WriteJSON(w, http.StatusOK, shwire.Entries{
		Service: name, Revision: v.Revision, CacheForMS: v.Config.Config.Limits.LookupCacheMS, Entries: addresses(entries),
	})
}

// tryShift reports whether a caller of this region may be sent to a region. For
// another region it takes the expected traffic from the grant for the link.
func (e *Entry) tryShift(to shmodel.Region) bool {
	return to == e.Place.Region || e.Links.TryTake(to, lookupShiftBytes)
}

func addresses(entries []shdirectory.Heartbeat) []shwire.EntryAddress {
	list := make([]shwire.EntryAddress, 0, len(entries))
	for _, h := range entries {
		list = append(list, shwire.EntryAddress{
			VM: h.VM, Region: h.Place.Region, FailureDomain: h.Place.FailureDomain, Address: h.CallerAddress,
		})
	}
	return list
}
