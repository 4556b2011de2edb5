package shcontrol

import (
	"maps"
	"slices"
	"strings"
	"time"

	"sequoiahollow/state/shmodel"
)

const (
	// maxSolo bounds how far in the future a solo run may end, and with it how
	// long ended runs have to be remembered.
	maxSolo = 10 * time.Minute
)

// Suspect is a digest that does not run like any other.
type Suspect struct {
	Digest shmodel.Digest `json:"digest"`
	// Status is solo, busy or quarantined.
	Status SuspectStatus `json:"status"`
	// Crashes is the number of crashes counted against the digest.
	Crashes int `json:"crashes"`
}

// solo is a permitted solo run.
type solo struct {
	RequestID shmodel.RequestID `json:"requestId"`
	VM        shmodel.VM        `json:"vm"`
	Until     time.Time         `json:"until"`
}

// suspect is the state of a digest with a strike. Crashes that it shared with
// other digests count by backend server, because a report may be repeated.
// They never quarantine by themselves: a digest that runs on many backend
// servers at once would be refused for crashes that another one caused. So
// there is a solo run even if the limit is 1 or was reached by shared crashes.
type suspect struct {
	Shared []shmodel.BackendServer `json:"shared,omitempty"`
	// Alone counts the crashes of the digest when nothing else ran.
	Alone int `json:"alone,omitempty"`
	// Run is the solo run in progress; zero if none.
	Run solo `json:"run,omitzero"`
	// Presumed is the request of the last solo run if that ran out without a
	// report and was counted as a crash. A late report of that run replaces the
	// presumption.
	Presumed shmodel.RequestID `json:"presumed,omitzero"`
}

// endedRun identifies a solo run that ended.
type endedRun struct {
	Digest    shmodel.Digest    `json:"digest"`
	RequestID shmodel.RequestID `json:"requestId"`
	VM        shmodel.VM        `json:"vm"`
	// Until is in Unix nanoseconds.
	Until int64 `json:"until"`
}

// strikes is the digests with a strike.
type strikes struct {
	Suspects map[shmodel.Digest]*suspect `json:"suspects"`
	// Ended is the runs that ended lately. A late copy of an OpenSolo must not
	// open a run that nobody performs, since that would count as a crash.
	Ended agingMap[endedRun, bool] `json:"ended"`
}

// strikeRules is the part of the configuration that applies to strikes.
type strikeRules struct {
	limit      int
	clockError time.Duration
}

// run names a solo run of a digest.
func (r solo) run(d shmodel.Digest) endedRun {
	return endedRun{Digest: d, RequestID: r.RequestID, VM: r.VM, Until: r.Until.UnixNano()}
}

// finish ends the run in progress of a digest.
func (t *strikes) finish(at time.Time, d shmodel.Digest, s *suspect) {
	t.Ended.put(at, s.Run.run(d), true)
	s.Run = solo{}
	s.Presumed = 0
}

// expire counts a run that nobody reported as a crash: its VM may have died
// before it could report the crash.
func (t *strikes) expire(at time.Time, rules strikeRules, d shmodel.Digest, s *suspect) {
	if s.Run.RequestID == 0 || !at.After(s.Run.Until.Add(rules.clockError)) {
		return
	}
	request := s.Run.RequestID
	t.finish(at, d, s)
	s.Alone++
	s.Presumed = request
}

// forget drops ended runs that are too old to be opened again.
func (t *strikes) forget(at time.Time, rules strikeRules) {
	for range maxExpiredPerApply {
		if _, ok := t.Ended.popExpired(at, maxSolo+rules.clockError); !ok {
			return
		}
	}
}

func (s *suspect) status(rules strikeRules) SuspectStatus {
	switch {
	case s.Alone > 0 && s.Alone+len(s.Shared) >= rules.limit:
		return SuspectQuarantined
	case s.Run.RequestID != 0:
		return SuspectBusy
	}
	return SuspectSolo
}

// report applies a ReportCrash.
func (t *strikes) report(at time.Time, rules strikeRules, c ReportCrash) Result {
	if c.BackendServer == "" || len(c.Digests) == 0 || (c.Solo && len(c.Digests) != 1) {
		return Rejected{Reason: "a crash needs a backend server and digests, a solo crash just one"}
	}
	statuses := make([]SuspectStatus, 0, len(c.Digests))
	for _, d := range c.Digests {
		s := t.Suspects[d]
		if s == nil {
			s = t.add(d)
			s.share(c.BackendServer)
		} else {
			t.expire(at, rules, d, s)
			t.crash(at, c, d, s)
		}
		statuses = append(statuses, s.status(rules))
	}
	return SuspectResult{Statuses: statuses}
}

func (t *strikes) add(d shmodel.Digest) *suspect {
	if t.Suspects == nil {
		t.Suspects = map[shmodel.Digest]*suspect{}
	}
	t.Suspects[d] = &suspect{}
	return t.Suspects[d]
}

// crash counts a reported crash of a digest that has a strike.
func (t *strikes) crash(at time.Time, c ReportCrash, d shmodel.Digest, s *suspect) {
	if !c.Solo {
		s.share(c.BackendServer)
		return
	}
	if s.Run.RequestID != 0 && (c.RequestID == 0 || c.RequestID == s.Run.RequestID) {
		t.finish(at, d, s)
		s.Alone++
		return
	}
	// The presumption was right; the crash is counted already.
	if c.RequestID == s.Presumed {
		s.Presumed = 0
	}
}

func (s *suspect) share(b shmodel.BackendServer) {
	if !slices.Contains(s.Shared, b) {
		s.Shared = append(s.Shared, b)
	}
}

// open applies an OpenSolo. A repeated proposal of the run in progress gets
// the same result.
func (t *strikes) open(at time.Time, rules strikeRules, c OpenSolo) Result {
	asked := solo{RequestID: c.RequestID, VM: c.VM, Until: canonical(c.Until)}
	ahead := asked.Until.Sub(at)
	if c.RequestID == 0 || c.VM == "" || ahead <= 0 || ahead > maxSolo {
		return Rejected{Reason: "a solo run needs a request ID, a VM and an end within 10 minutes"}
	}
	t.forget(at, rules)
	s := t.Suspects[c.Digest]
	if s == nil {
		return single(SuspectNone)
	}
	t.expire(at, rules, c.Digest, s)
	status := s.status(rules)
	if status == SuspectBusy && s.Run.run(c.Digest) == asked.run(c.Digest) {
		return single(SuspectGranted)
	}
	if _, ended := t.Ended.get(asked.run(c.Digest)); ended || status != SuspectSolo {
		return single(status)
	}
	s.Run = asked
	return single(SuspectGranted)
}

// end applies a CloseSolo.
func (t *strikes) end(at time.Time, rules strikeRules, c CloseSolo) Result {
	s := t.Suspects[c.Digest]
	if s == nil || c.RequestID == 0 {
		return single(t.statusOf(rules, c.Digest))
	}
	t.expire(at, rules, c.Digest, s)
	switch c.RequestID {
	case s.Run.RequestID:
		t.finish(at, c.Digest, s)
	case s.Presumed:
		s.Alone--
		s.Presumed = 0
	default:
		return single(s.status(rules))
	}
	if c.Succeeded {
		delete(t.Suspects, c.Digest)
	}
	return single(t.statusOf(rules, c.Digest))
}

func (t *strikes) statusOf(rules strikeRules, d shmodel.Digest) SuspectStatus {
	if s := t.Suspects[d]; s != nil {
		return s.status(rules)
	}
	return SuspectNone
}

// list returns the suspects by digest.
func (t *strikes) list(rules strikeRules) []Suspect {
	digests := slices.SortedFunc(maps.Keys(t.Suspects), func(a, b shmodel.Digest) int {
		return strings.Compare(a.String(), b.String())
	})
	suspects := make([]Suspect, 0, len(digests))
	for _, d := range digests {
		s := t.Suspects[d]
		suspects = append(suspects, Suspect{
			Digest:  d,
			Status:  s.status(rules),
			Crashes: s.Alone + len(s.Shared),
		})
	}
	return suspects
}

func single(s SuspectStatus) SuspectResult {
	return SuspectResult{Statuses: []SuspectStatus{s}}
}
