package shcontrol

import (
	"encoding/json"
	"fmt"
	"time"

	"sequoiahollow/state/shconfig"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/state/shrecord"
)

// State is the replicated state. The zero value is the state before the first
// command. A State is not safe for concurrent use. The values that its methods
// return share configurations with the State and must not be modified.
type State struct {
	revisions revisions
	claims    claims
	grants    grants
	ranges    Ranges
	suspects  suspectSet
	drains    drains
}

// stateJSON is the JSON form of a State.
type stateJSON struct {
	Revisions *revisions  `json:"revisions"`
	Claims    *claims     `json:"claims"`
	Grants    *grants     `json:"grants"`
	Ranges    *Ranges     `json:"ranges"`
	Suspects  *suspectSet `json:"strikes"`
	Drains    *drains     `json:"drains"`
}

func (s *State) jsonForm() stateJSON {
	return stateJSON{
		Revisions: &s.revisions,
		Claims:    &s.claims,
		Grants:    &s.grants,
		Ranges:    &s.ranges,
		Suspects:  &s.suspects,
		Drains:    &s.drains,
	}
}

// Apply applies a command at the time that the leader assigned to the command.
// Times may go backwards when the leader changes; no rule depends on their
// order.
func (s *State) Apply(at time.Time, c Command) Result {
	at = canonical(at)
	limits := s.revisions.Config.Limits
	s.claims.expire(at, claimRetention(limits))
	switch c := c.(type) {
	case ApplyConfig:
		return s.revisions.edit(at, c)
	case OpenClaim:
		return s.claims.open(at, clockError(limits), c)
	case CloseClaim:
		return s.claims.close(at, c)
	case SettleClaim:
		return s.claims.settle(at, c)
	case RequestGrant:
		return s.grants.request(at, s.revisions.Config, c)
	case ExpireGrant:
		return s.grants.expire(c)
	case ReserveRange:
		return s.ranges.Reserve(at, c)
	case ReportCrash:
		return s.suspects.report(at, suspectRulesOf(limits), c)
	case OpenSolo:
		return s.suspects.open(at, suspectRulesOf(limits), c)
	case CloseSolo:
		return s.suspects.close(at, suspectRulesOf(limits), c)
	case SetDrain:
		return s.drains.set(c)
	}
	return Rejected{Reason: fmt.Sprintf("unknown command %T", c)}
}

// Snapshot returns the state as JSON. Snapshots of equal states are equal byte
// for byte.
func (s *State) Snapshot() ([]byte, error) {
	data, err := json.Marshal(s.jsonForm())
	if err != nil {
		return nil, &Error{Op: "snapshot", Kind: Unencodable, Err: err}
	}
	return data, nil
}

// Restore replaces the state with that of a snapshot. On an error the state is
// unchanged.
func (s *State) Restore(data []byte) error {
	var restored State
	i := restored.jsonForm()
	if err := decodeStrict(data, &i); err != nil {
		return &Error{Op: "restore", Kind: Malformed, Err: err}
	}
	restored.claims.rebuild()
	restored.grants.rebuild()
	*s = restored
	return nil
}

// Config returns the configuration in force and its revision.
func (s *State) Config() (uint64, shconfig.Config) {
	return s.revisions.Current, s.revisions.Config
}

// Changes returns the change from a revision to the current one. It reports
// false if the revision is the current one or later.
func (s *State) Changes(since uint64) (Change, bool) { return s.revisions.since(since) }

// History returns the last 1,000 revisions, the oldest first.
func (s *State) History() []Revision {
	history := make([]Revision, 0, len(s.revisions.History))
	for _, e := range s.revisions.History {
		history = append(history, e.Revision)
	}
	return history
}

// Claim returns the state of a key. It reports false if no claim of the key is
// known.
func (s *State) Claim(key shmodel.ClaimKey) (ClaimResult, bool) {
	if held, ok := s.claims.Full.get(key); ok {
		return held.result(), true
	}
	if s.claims.Used.has(key) {
		return ClaimResult{Status: ClaimUsedBefore}, true
	}
	return ClaimResult{}, false
}

// Overdue returns up to limit claims in progress whose dispatch deadline has
// passed on every clock within the permitted clock error. Their attempts may
// need settlement.
func (s *State) Overdue(now time.Time, limit int) map[shmodel.ClaimKey]ClaimResult {
	return s.claims.overdue(now, clockError(s.revisions.Config.Limits), limit)
}

// Grants returns the active grants, sorted by ID.
func (s *State) Grants() []Grant { return s.grants.list() }

// Ranges returns all reserved ranges of request IDs, the lowest first.
func (s *State) Ranges() []shrecord.Range { return s.ranges.List() }

// Suspects returns the digests with reported crashes, sorted by digest.
func (s *State) Suspects() []Suspect {
	return s.suspects.list(suspectRulesOf(s.revisions.Config.Limits))
}

// Drains returns the VMs and regions that are draining.
func (s *State) Drains() Drains { return s.drains.list() }

func claimRetention(l shconfig.Limits) time.Duration {
	if l.ClaimHours <= 0 {
		return shconfig.DefaultClaimRetention
	}
	return time.Duration(l.ClaimHours) * time.Hour
}

func clockError(l shconfig.Limits) time.Duration {
	if l.ClockErrorMS <= 0 {
		return shconfig.DefaultClockError
	}
	return time.Duration(l.ClockErrorMS) * time.Millisecond
}

func suspectRulesOf(l shconfig.Limits) suspectRules {
	rules := suspectRules{crashLimit: l.CrashLimit, clockError: clockError(l)}
	if rules.crashLimit <= 0 {
		rules.crashLimit = shconfig.DefaultCrashLimit
	}
	return rules
}

// canonical returns a time in UTC and without monotonic clock reading, so that
// the time is equal to its decoded JSON form. A time without a JSON form becomes
// zero; it would make every later snapshot fail.
func canonical(t time.Time) time.Time {
	t = t.Round(0).UTC()
	if t.Year() < 0 || t.Year() > 9999 {
		return time.Time{}
	}
	return t
}
