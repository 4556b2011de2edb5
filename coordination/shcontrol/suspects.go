package shcontrol

import (
	"maps"
	"slices"
	"strings"
	"time"

	"sequoiahollow/state/shmodel"
)

const (
	// maxSoloDuration bounds how far in the future a solo run may end, and thus
	// how long the IDs of ended runs must be kept.
	maxSoloDuration = 10 * time.Minute
)

// Suspect is a digest whose requests may run only solo or not at all, because
// backend servers crashed while running them.
type Suspect struct {
	Digest shmodel.Digest `json:"digest"`
	// Status is solo, busy or quarantined.
	Status SuspectStatus `json:"status"`
	// Crashes is the number of crashes counted against the digest.
	Crashes int `json:"crashes"`
}

// soloRun is a permitted run of a request on a backend server that runs no other
// request at the time.
type soloRun struct {
	RequestID shmodel.RequestID `json:"requestId"`
	VM        shmodel.VM        `json:"vm"`
	Until     time.Time         `json:"until"`
}

// suspect is the state of a digest with at least one reported crash. Shared
// crashes alone never quarantine a digest: a digest that runs on many backend
// servers at once would be refused for crashes that another digest caused. So
// a solo run is permitted even if the limit is 1 or was reached by shared
// crashes.
type suspect struct {
	// SharedCrashes lists the backend servers that crashed while they ran the
	// digest other than in a solo run. Each server counts once, because a report
	// may be repeated.
	SharedCrashes []shmodel.BackendServer `json:"shared,omitempty"`
	// SoloCrashes counts the crashes of solo runs of the digest.
	SoloCrashes int `json:"alone,omitempty"`
	// Run is the solo run in progress; zero if there is none.
	Run soloRun `json:"run,omitzero"`
	// Presumed is the request of the last solo run if that run timed out without
	// a report and was counted as a crash. A late report of the run replaces the
	// presumed outcome.
	Presumed shmodel.RequestID `json:"presumed,omitzero"`
}

// soloRunID identifies a solo run.
type soloRunID struct {
	Digest    shmodel.Digest    `json:"digest"`
	RequestID shmodel.RequestID `json:"requestId"`
	VM        shmodel.VM        `json:"vm"`
	// Until is in Unix nanoseconds.
	Until int64 `json:"until"`
}

// suspectSet is the digests with reported crashes.
type suspectSet struct {
	Suspects map[shmodel.Digest]*suspect `json:"suspects"`
	// Ended is the solo runs that ended recently. A late copy of an OpenSolo
	// must not open a run again: nobody would perform the run, so it would time
	// out and count as a crash.
	Ended agingMap[soloRunID, bool] `json:"ended"`
}

// suspectRules is the part of the configuration that applies to suspects.
type suspectRules struct {
	crashLimit int
	clockError time.Duration
}

// id returns the ID of a solo run of a digest.
func (r soloRun) id(d shmodel.Digest) soloRunID {
	return soloRunID{Digest: d, RequestID: r.RequestID, VM: r.VM, Until: r.Until.UnixNano()}
}

// endRun ends the solo run in progress of a digest.
func (t *suspectSet) endRun(at time.Time, d shmodel.Digest, s *suspect) {
	t.Ended.put(at, s.Run.id(d), true)
	s.Run = soloRun{}
	s.Presumed = 0
}

// expireRun counts a solo run that timed out without a report as a crash: the VM
// of the run may have died before it could report the crash.
func (t *suspectSet) expireRun(at time.Time, rules suspectRules, d shmodel.Digest, s *suspect) {
	if s.Run.RequestID == 0 || !at.After(s.Run.Until.Add(rules.clockError)) {
		return
	}
	request := s.Run.RequestID
	t.endRun(at, d, s)
	s.SoloCrashes++
	s.Presumed = request
}

// forgetEndedRuns drops ended runs whose OpenSolo would be rejected by now.
func (t *suspectSet) forgetEndedRuns(at time.Time, rules suspectRules) {
	for range maxExpiredPerApply {
		if _, ok := t.Ended.popExpired(at, maxSoloDuration+rules.clockError); !ok {
			return
		}
	}
}

func (s *suspect) status(rules suspectRules) SuspectStatus {
	switch {
	case s.SoloCrashes > 0 && s.SoloCrashes+len(s.SharedCrashes) >= rules.crashLimit:
		return SuspectQuarantined
	case s.Run.RequestID != 0:
		return SuspectBusy
	}
	return SuspectSolo
}

// report applies a ReportCrash.
func (t *suspectSet) report(at time.Time, rules suspectRules, c ReportCrash) Result {
	if c.BackendServer == "" || len(c.Digests) == 0 || (c.Solo && len(c.Digests) != 1) {
		return Rejected{Reason: "a crash needs a backend server and digests, a solo crash just one"}
	}
	statuses := make([]SuspectStatus, 0, len(c.Digests))
	for _, d := range c.Digests {
		s := t.Suspects[d]
		if s == nil {
			s = t.add(d)
			s.addSharedCrash(c.BackendServer)
		} else {
			t.expireRun(at, rules, d, s)
			t.countCrash(at, c, d, s)
		}
		statuses = append(statuses, s.status(rules))
	}
	return SuspectResult{Statuses: statuses}
}

func (t *suspectSet) add(d shmodel.Digest) *suspect {
	if t.Suspects == nil {
		t.Suspects = map[shmodel.Digest]*suspect{}
	}
	t.Suspects[d] = &suspect{}
	return t.Suspects[d]
}

// countCrash counts another reported crash of a suspect digest.
func (t *suspectSet) countCrash(at time.Time, c ReportCrash, d shmodel.Digest, s *suspect) {
	if !c.Solo {
		s.addSharedCrash(c.BackendServer)
		return
	}
	if s.Run.RequestID != 0 && (c.RequestID == 0 || c.RequestID == s.Run.RequestID) {
		t.endRun(at, d, s)
		s.SoloCrashes++
		return
	}
	// The timed-out run did crash; expireRun has counted the crash already.
	if c.RequestID == s.Presumed {
		s.Presumed = 0
	}
}

func (s *suspect) addSharedCrash(b shmodel.BackendServer) {
	if !slices.Contains(s.SharedCrashes, b) {
		s.SharedCrashes = append(s.SharedCrashes, b)
	}
}

// open applies an OpenSolo. A repeated proposal of the run in progress gets
// the same result.
func (t *suspectSet) open(at time.Time, rules suspectRules, c OpenSolo) Result {
	requested := soloRun{RequestID: c.RequestID, VM: c.VM, Until: canonical(c.Until)}
	remaining := requested.Until.Sub(at)
	if c.RequestID == 0 || c.VM == "" || remaining <= 0 || remaining > maxSoloDuration {
		return Rejected{Reason: "a solo run needs a request ID, a VM and an end within 10 minutes"}
	}
	t.forgetEndedRuns(at, rules)
	s := t.Suspects[c.Digest]
	if s == nil {
		return singleStatus(SuspectNone)
	}
	t.expireRun(at, rules, c.Digest, s)
	status := s.status(rules)
	if status == SuspectBusy && s.Run.id(c.Digest) == requested.id(c.Digest) {
		return singleStatus(SuspectGranted)
	}
	if _, ended := t.Ended.get(requested.id(c.Digest)); ended || status != SuspectSolo {
		return singleStatus(status)
	}
	s.Run = requested
	return singleStatus(SuspectGranted)
}

// close applies a CloseSolo.
func (t *suspectSet) close(at time.Time, rules suspectRules, c CloseSolo) Result {
	s := t.Suspects[c.Digest]
	if s == nil || c.RequestID == 0 {
		return singleStatus(t.statusOf(rules, c.Digest))
	}
	t.expireRun(at, rules, c.Digest, s)
	switch c.RequestID {
	case s.Run.RequestID:
		t.endRun(at, c.Digest, s)
	case s.Presumed:
		s.SoloCrashes--
		s.Presumed = 0
	default:
		return singleStatus(s.status(rules))
	}
	if c.Succeeded {
		delete(t.Suspects, c.Digest)
	}
	return singleStatus(t.statusOf(rules, c.Digest))
}

func (t *suspectSet) statusOf(rules suspectRules, d shmodel.Digest) SuspectStatus {
	if s := t.Suspects[d]; s != nil {
		return s.status(rules)
	}
	return SuspectNone
}

// list returns the suspects, sorted by digest.
func (t *suspectSet) list(rules suspectRules) []Suspect {
	digests := slices.SortedFunc(maps.Keys(t.Suspects), func(a, b shmodel.Digest) int {
		return strings.Compare(a.String(), b.String())
	})
	suspects := make([]Suspect, 0, len(digests))
	for _, d := range digests {
		s := t.Suspects[d]
		suspects = append(suspects, Suspect{
			Digest:  d,
			Status:  s.status(rules),
			Crashes: s.SoloCrashes + len(s.SharedCrashes),
		})
	}
	return suspects
}

func singleStatus(s SuspectStatus) SuspectResult {
	return SuspectResult{Statuses: []SuspectStatus{s}}
}
