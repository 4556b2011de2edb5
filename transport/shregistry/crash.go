package shregistry

import (
	"sequoiahollow/coordination/shfleet"
	"sequoiahollow/state/shmodel"
)

// maxReportBytes is more than a crash report has. Longer commands are not decoded.
const maxReportBytes = 1 << 10

// maxReportedCrashes bounds the remembered crash reports. A crash that is forgotten may
// count twice.
const maxReportedCrashes = 4096

// reportedCrash is a crash that was reported for a request.
type reportedCrash struct {
	digest   shmodel.Digest
	instance shfleet.Instance
}

// isRepeatedCrash reports whether the crash of an instance was reported before for
// the same request: several callers may have sent equal requests to it, through
// several entry VMs. The leader keeps that in memory only.
func (r *Registry) isRepeatedCrash(command []byte) bool {
	if len(command) > maxReportBytes {
		return false
	}
	c, err := shfleet.DecodeCommand(command)
	report, ok := c.(shfleet.ReportCrash)
	if err != nil || !ok {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if report.Cleared {
		for k := range r.reportedCrashes.All() {
			if k.digest == report.Digest {
				r.reportedCrashes.Delete(k)
			}
		}
		return false
	}
	if report.Instance == nil {
		return false
	}
	k := reportedCrash{report.Digest, *report.Instance}
	if _, ok := r.reportedCrashes.Get(k); ok {
		return true
	}
	r.reportedCrashes.Max = maxReportedCrashes
	r.reportedCrashes.Put(report.Service, k, struct{}{})
	return false
}
