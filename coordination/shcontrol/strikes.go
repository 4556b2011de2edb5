package shcontrol

import (
	"maps"
	"slices"
	"strings"
	"time"

	"sequoiahollow/state/shmodel"
)

// defaultCrashLimit is the number of crashed backend servers at which a digest
// is quarantined if the configuration does not say.
const defaultCrashLimit = 2

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
// servers at once would be refused for crashes that another one caused.
type suspect struct {
	Shared []shmodel.BackendServer `json:"shared,omitempty"`
	// Alone counts the crashes of the digest when nothing else ran.
	Alone int `json:"alone,omitempty"`
	// Run is the solo run in progress; zero if none.
	Run solo `json:"run,omitzero"`
	// Ended is the last solo run that ended. A late copy of its OpenSolo must
	// not open a run that nobody performs.
	Ended solo `json:"ended,omitzero"`
	// Presumed is set if Ended ran out without a report and was counted as a
	// crash. A late report of that run replaces the presumption.
	Presumed bool `json:"presumed,omitempty"`
}

// strikes is the digests with a strike.
type strikes struct {
	Suspects map[shmodel.Digest]*suspect `json:"suspects"`
}

// strikeRules is the part of the configuration that applies to strikes.
type strikeRules struct {
	limit      int
	clockError time.Duration
}

// end ends the run in progress.
func (s *suspect) end() {
	s.Ended = s.Run
	s.Run = solo{}
	s.Presumed = false
}

// expire counts a run that nobody reported as a crash: its VM may have died
// before it could report the crash.
func (s *suspect) expire(at time.Time, rules strikeRules) {
	if s.Run.RequestID == 0 || !at.After(s.Run.Until.Add(rules.clockError)) {
		return
	}
	s.end()
	s.Alone++
	s.Presumed = true
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
			s.expire(at, rules)
			s.crash(c)
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

// crash counts a reported crash.
func (s *suspect) crash(c ReportCrash) {
	if !c.Solo {
		s.share(c.BackendServer)
		return
	}
	if s.Run.RequestID != 0 && (c.RequestID == 0 || c.RequestID == s.Run.RequestID) {
		s.end()
		s.Alone++
		return
	}
	// The presumption was right; the crash is counted already.
	if s.Presumed && c.RequestID == s.Ended.RequestID {
		s.Presumed = false
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
	c.Until = canonical(c.Until)
	if c.RequestID == 0 || c.VM == "" || !c.Until.After(at) {
		return Rejected{Reason: "a solo run needs a request ID, a VM and a deadline in the future"}
	}
	s := t.Suspects[c.Digest]
	if s == nil {
		return single(SuspectNone)
	}
	s.expire(at, rules)
	asked := solo{RequestID: c.RequestID, VM: c.VM, Until: c.Until}
	status := s.status(rules)
	switch {
	case status == SuspectBusy && s.Run == asked:
		return single(SuspectGranted)
	case status != SuspectSolo:
		return single(status)
	case s.Ended == asked:
		return single(SuspectSolo)
	}
	s.Run = asked
	return single(SuspectGranted)
}

// end applies a CloseSolo.
func (t *strikes) end(at time.Time, rules strikeRules, c CloseSolo) Result {
	s := t.Suspects[c.Digest]
	if s == nil {
		return single(SuspectNone)
	}
	s.expire(at, rules)
	running := s.Run.RequestID != 0 && s.Run.RequestID == c.RequestID
	presumed := s.Presumed && s.Ended.RequestID == c.RequestID
	switch {
	case !running && !presumed:
		return single(s.status(rules))
	case c.Succeeded:
		delete(t.Suspects, c.Digest)
		return single(SuspectNone)
	case running:
		s.end()
	case presumed:
		s.Alone--
		s.Presumed = false
	}
	return single(s.status(rules))
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
