package shfleet

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/state/shmodel"
)

const (
	// maxRemovals bounds the removed instances that Since can list; an observer
	// that needs older ones gets the whole state. 4096 covers several
	// replacements of all backend servers of the larger variants of the example
	// deployments (about 700).
	maxRemovals = 4096
	// maxAcceptedDocuments bounds the accepted documents whose repetition is
	// recognized: three hours of edits at the design size of 66,000 a day.
	maxAcceptedDocuments = 8192
	// maxRememberedLifetimes bounds the lifetimes that are kept after their
	// removal to recognize late heartbeats. The latest started ones are kept,
	// since a heartbeat may be seconds late but not hours.
	maxRememberedLifetimes = 16384
)

// State is the replicated state. The zero value is the state before the first
// command. A State is not safe for concurrent use.
type State struct {
	stateJSON
}

// stateJSON is the JSON form of a State.
type stateJSON struct {
	Index      uint64                            `json:"index"`
	Document   Document                          `json:"document"`
	DocumentAt uint64                            `json:"documentAt,omitempty"`
	Accepted   []acceptedDocument                `json:"accepted,omitempty"`
	Evacuated  []shmodel.FailureDomain           `json:"evacuated,omitempty"`
	EvacuateAt uint64                            `json:"evacuateAt,omitempty"`
	Backends   map[shmodel.BackendServer]Backend `json:"backends,omitempty"`
	// Ended holds Born of the newest ended lifetime of each ID.
	Ended map[shmodel.BackendServer]int64 `json:"ended,omitempty"`
	// Lapsed holds Born of the last lifetime of each ID that was removed because
	// its announcements stopped.
	Lapsed map[shmodel.BackendServer]int64 `json:"lapsed,omitempty"`
	// Statements holds what the last lifetime of each ID has said of itself, also after
	// its removal.
	Statements map[shmodel.BackendServer]statement `json:"statements,omitempty"`
	// Removals lists the last removed instances, the oldest first. Removals up
	// to the log index RemovedUpTo are no longer listed.
	Removals      []removedInstance      `json:"removals,omitempty"`
	RemovedUpTo   uint64                 `json:"removedUpTo,omitempty"`
	Entries       map[shmodel.VM]Entry   `json:"entries,omitempty"`
	EntriesAt     uint64                 `json:"entriesAt,omitempty"`
	Controls      map[shmodel.VM]Control `json:"controls,omitempty"`
	ControlsAt    uint64                 `json:"controlsAt,omitempty"`
	Ranges        shcontrol.Ranges       `json:"ranges"`
	CrashCounts   []storedCrashCount     `json:"strikes,omitempty"`
	CrashCountsAt uint64                 `json:"strikesAt,omitempty"`
}

type removedInstance struct {
	Instance
	At uint64 `json:"at"`
}

type acceptedDocument struct {
	Version uint64 `json:"version"`
	Sum     []byte `json:"sum"`
}

// Apply applies the command at a log index and at the time that the leader
// assigned to the command.
func (s *State) Apply(index uint64, at time.Time, c Command) Result {
	s.Index = index
	if index%statementSweep == 0 {
		s.forgetStatements(at)
	}
	switch c := c.(type) {
	case PutDocument:
		return s.putDocument(c.Document)
	case SetEvacuation:
		return s.setEvacuation(c)
	case PutBackends:
		for i, b := range c.Backends {
			if i < len(c.Sequences) {
				s.putNumbered(at, b, c.Sequences[i])
			} else {
				s.putBackend(at, b)
			}
		}
	case RemoveBackends:
		for _, i := range c.Instances {
			s.removeBackend(at, i, c.Ended)
		}
	case PutEntry:
		s.putEntry(c.Entry)
	case RemoveEntries:
		for _, vm := range c.VMs {
			if _, ok := s.Entries[vm]; ok {
				delete(s.Entries, vm)
				s.EntriesAt = index
			}
		}
	case PutControl:
		s.putControl(c.Control)
	case ReserveRange:
		s.Ranges.Reserve(at.Round(0).UTC(), c.ReserveRange)
	case ReportCrash:
		s.countCrash(at, c)
	}
	return Accepted
}

func (s *State) putDocument(d Document) Result {
	sum := documentChecksum(d)
	for _, a := range s.Accepted {
		if a.Version == d.Version && bytes.Equal(a.Sum, sum) {
			return Accepted
		}
	}
	if d.Base != s.Document.Version || d.Version <= s.Document.Version {
		return Conflict
	}
	first := s.Document.Version == 0
	s.Document, s.DocumentAt = d, s.Index
	if first {
		s.dropUnnamedStatements()
	}
	s.Accepted = append(s.Accepted, acceptedDocument{Version: d.Version, Sum: sum})
	if len(s.Accepted) > maxAcceptedDocuments {
		s.Accepted = slices.Clone(s.Accepted[1:])
	}
	return Accepted
}

func documentChecksum(d Document) []byte {
	sum := sha256.Sum256(d.Source)
	return sum[:16]
}

func (s *State) setEvacuation(c SetEvacuation) Result {
	if slices.Contains(s.Evacuated, c.Zone) == c.Evacuated {
		return Accepted
	}
	if c.Base != nil && *c.Base != s.EvacuateAt {
		return Conflict
	}
	s.EvacuateAt = s.Index
	if c.Evacuated {
		s.Evacuated = append(slices.Clone(s.Evacuated), c.Zone)
	} else {
		s.Evacuated = slices.DeleteFunc(slices.Clone(s.Evacuated), func(z shmodel.FailureDomain) bool { return z == c.Zone })
		// Commands of earlier builds must lead to the same state as there.
		if c.Base != nil {
			s.restartCold(c.Zone)
		}
	}
	return Accepted
}

// restartCold takes the backend servers of a failure domain for cold until they say
// otherwise. They may have become cold while they got no requests, and their next
// announcements come later than the first requests.
func (s *State) restartCold(zone shmodel.FailureDomain) {
	periods := map[shmodel.Service]Millis{}
	for _, x := range s.Document.Table.Services {
		periods[x.Name] = x.ColdPeriod
	}
	for id, b := range s.Backends {
		if period := periods[b.Service]; b.Zone == zone && period > 0 {
			b.ColdFor, b.At = max(b.ColdFor, period), s.Index
			s.Backends[id] = b
		}
	}
}

// putBackend reports whether it has recorded the announcement.
func (s *State) putBackend(at time.Time, b Backend) bool {
	if !s.Admits(b) {
		return false
	}
	for id, other := range s.Backends {
		if id != b.ID && other.Address == b.Address {
			// Another process has the address, so the former one has ended.
			s.removeBackend(at, other.Instance, true)
		}
	}
	if known, ok := s.Backends[b.ID]; ok && known.Born == b.Born {
		b.Leaving = b.Leaving || known.Leaving
	}
	b.Leaving = s.recordLeaving(b)
	if s.Backends == nil {
		s.Backends = map[shmodel.BackendServer]Backend{}
	}
	b.At = s.Index
	s.Backends[b.ID] = b
	return true
}

// Admits reports whether the process lifetime of an announcement may still be
// running: it has not ended, and no newer one is known for its ID or address.
func (s *State) Admits(b Backend) bool {
	if ended, ok := s.Ended[b.ID]; ok && b.Born <= ended {
		return false
	}
	if known, ok := s.Backends[b.ID]; ok && b.Born < known.Born {
		return false
	}
	for id, other := range s.Backends {
		if id != b.ID && other.Address == b.Address && b.Born < other.Born {
			return false
		}
	}
	return true
}

// ForeignAt returns the backend server at the address of an announcement whose
// service is in no document, while that of the backend server is. Such an
// announcement comes from another program and does not show that the backend server
// has ended.
func (s *State) ForeignAt(b Backend) (Backend, bool) {
	if s.namesService(b.Service) {
		return Backend{}, false
	}
	for id, other := range s.Backends {
		if id != b.ID && other.Address == b.Address && s.namesService(other.Service) {
			return other, true
		}
	}
	return Backend{}, false
}

func (s *State) namesService(name shmodel.Service) bool {
	return slices.ContainsFunc(s.Document.Table.Services, func(x Service) bool { return x.Name == name })
}

func (s *State) removeBackend(at time.Time, i Instance, ended bool) {
	known, listed := s.Backends[i.ID]
	if i.Born == 0 {
		// Without a start time, the last known lifetime is meant.
		i.Born = max(known.Born, s.Lapsed[i.ID], s.Statements[i.ID].Born)
	}
	s.endStatement(at, i, ended)
	if ended && i.Born > 0 && i.Born >= s.Ended[i.ID] {
		s.Ended = rememberLifetime(s.Ended, i)
	}
	if !listed || known.Born > i.Born {
		return
	}
	if !ended {
		s.Lapsed = rememberLifetime(s.Lapsed, i)
	}
	delete(s.Backends, i.ID)
	s.Removals = append(s.Removals, removedInstance{Instance: i, At: s.Index})
	if excess := len(s.Removals) - maxRemovals; excess > 0 {
		s.RemovedUpTo = s.Removals[excess-1].At
		s.Removals = slices.Clone(s.Removals[excess:])
	}
}

// rememberLifetime adds a lifetime to a map. If the map exceeds
// maxRememberedLifetimes, rememberLifetime drops the older half of the entries.
func rememberLifetime(lifetimes map[shmodel.BackendServer]int64, i Instance) map[shmodel.BackendServer]int64 {
	if lifetimes == nil {
		lifetimes = map[shmodel.BackendServer]int64{}
	}
	lifetimes[i.ID] = i.Born
	if len(lifetimes) > maxRememberedLifetimes {
		born := slices.Sorted(maps.Values(lifetimes))
		middle := born[len(born)/2]
		maps.DeleteFunc(lifetimes, func(_ shmodel.BackendServer, at int64) bool { return at < middle })
	}
	return lifetimes
}

func (s *State) putEntry(e Entry) {
	if s.Entries[e.VM] == e {
		return
	}
	s.Entries = putVM(s.Entries, e.VM, e, func(x Entry) string { return x.Address })
	s.EntriesAt = s.Index
}

func (s *State) putControl(c Control) {
	if s.Controls[c.VM] == c {
		return
	}
	s.Controls = putVM(s.Controls, c.VM, c, func(x Control) string { return x.Address })
	s.ControlsAt = s.Index
}

// putVM adds a VM to a map and removes other VMs with the same address.
func putVM[T any](vms map[shmodel.VM]T, vm shmodel.VM, value T, address func(T) string) map[shmodel.VM]T {
	if vms == nil {
		vms = map[shmodel.VM]T{}
	}
	maps.DeleteFunc(vms, func(_ shmodel.VM, other T) bool { return address(other) == address(value) })
	vms[vm] = value
	return vms
}

// Backend returns a backend server by its ID.
func (s *State) Backend(id shmodel.BackendServer) (Backend, bool) {
	b, ok := s.Backends[id]
	return b, ok
}

// Instances returns the current backend servers, sorted by ID.
func (s *State) Instances() []Backend {
	list := slices.Collect(maps.Values(s.Backends))
	slices.SortFunc(list, func(a, b Backend) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// EntryVMs returns all entry VMs, sorted by name.
func (s *State) EntryVMs() []Entry {
	list := slices.Collect(maps.Values(s.Entries))
	slices.SortFunc(list, func(a, b Entry) int { return cmp.Compare(a.VM, b.VM) })
	return list
}

// ControlVMs returns all control VMs that ever announced themselves, sorted by
// name.
func (s *State) ControlVMs() []Control {
	list := slices.Collect(maps.Values(s.Controls))
	slices.SortFunc(list, func(a, b Control) int { return cmp.Compare(a.VM, b.VM) })
	return list
}

// Snapshot returns the state as JSON.
func (s *State) Snapshot() ([]byte, error) { return json.Marshal(s.stateJSON) }

// Restore replaces the state with that of a snapshot. On an error the state is
// unchanged.
func (s *State) Restore(data []byte) error {
	var restored stateJSON
	if err := json.Unmarshal(data, &restored); err != nil {
		return &Error{Op: "restore", Kind: KindMalformed, Err: err}
	}
	s.stateJSON = restored
	return nil
}
