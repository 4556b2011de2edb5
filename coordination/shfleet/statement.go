package shfleet

import (
	"maps"
	"slices"
	"time"

	"sequoiahollow/state/shmodel"
)

const (
	// statementLifetime is how long a statement is kept after the removal of its backend
	// server. Announcements may be late by seconds, for as long as a link is cut. A start
	// time or a number that was wrong keeps a backend server out no longer than that.
	statementLifetime = time.Minute
	// maxStatements bounds the statements of backend servers that are not listed.
	maxStatements = 16384
	// statementSweep is the number of commands after which statements are dropped. Each
	// sweep takes time for all of them.
	statementSweep = 256
)

// statement is what a lifetime of a backend server has said of itself, as far as a late
// announcement must not undo it. It is kept when the backend server is removed.
type statement struct {
	Born int64 `json:"born"`
	// Sequence is the number of the last recorded announcement.
	Sequence int64 `json:"sequence"`
	// Leaving says that one of the announcements said so.
	Leaving bool `json:"leaving,omitempty"`
	Ended   bool `json:"ended,omitempty"`
	// RemovedAt is when the backend server was removed, in Unix seconds, zero while it is
	// listed.
	RemovedAt int64 `json:"removedAt,omitempty"`
}

func (x statement) expired(at time.Time) bool {
	return x.RemovedAt > 0 && x.RemovedAt < at.Add(-statementLifetime).Unix()
}

// outdates reports whether an announcement with a sequence number is no later than what
// is known.
func (x statement) outdates(i Instance, sequence int64) bool {
	return i.Born < x.Born || i.Born == x.Born && (x.Ended || sequence <= x.Sequence)
}

// Outdated reports whether an announcement with a sequence number, or a later one, has
// been recorded for a listed backend server.
func (s *State) Outdated(i Instance, sequence int64) bool {
	known, ok := s.Statements[i.ID]
	return ok && known.RemovedAt == 0 && known.outdates(i, sequence)
}

// putNumbered records an announcement unless it is older than what is known or comes from
// another program. One of a service that is not in the document leaves no statement: it may
// come from another program too, and its backend server gets no requests. Before the first
// document no service is known, and all leave one.
func (s *State) putNumbered(at time.Time, b Backend, sequence int64) {
	if s.isForeign(b) {
		return
	}
	if known, ok := s.Statements[b.ID]; ok {
		if known.expired(at) {
			delete(s.Statements, b.ID)
		} else if known.outdates(b.Instance, sequence) {
			return
		}
	}
	if !s.putBackend(at, b) || s.Document.Version > 0 && !s.namesService(b.Service) {
		return
	}
	if s.Statements == nil {
		s.Statements = map[shmodel.BackendServer]statement{}
	}
	s.Statements[b.ID] = statement{Born: b.Born, Sequence: sequence, Leaving: s.Backends[b.ID].Leaving}
}

// dropUnnamedStatements drops the statements of listed backend servers whose service is not
// in the document.
func (s *State) dropUnnamedStatements() {
	maps.DeleteFunc(s.Statements, func(id shmodel.BackendServer, _ statement) bool {
		b, ok := s.Backends[id]
		return ok && !s.namesService(b.Service)
	})
}

// isForeign reports whether an announcement comes from another program: its service is in
// no document, while that of the backend server with its ID, or at its address, is.
func (s *State) isForeign(b Backend) bool {
	if _, ok := s.ForeignAt(b); ok {
		return true
	}
	known, ok := s.Backends[b.ID]
	return ok && s.namesService(known.Service) && !s.namesService(b.Service)
}

// recordLeaving returns whether the lifetime of an announcement leaves by all that it has
// said.
func (s *State) recordLeaving(b Backend) bool {
	known, ok := s.Statements[b.ID]
	if !ok || known.Born != b.Born {
		return b.Leaving
	}
	known.Leaving = known.Leaving || b.Leaving
	known.RemovedAt = 0
	s.Statements[b.ID] = known
	return known.Leaving
}

// endStatement records that a lifetime has been removed.
func (s *State) endStatement(at time.Time, i Instance, ended bool) {
	known, ok := s.Statements[i.ID]
	if !ok || i.Born < known.Born {
		return
	}
	if i.Born > known.Born {
		known = statement{Born: i.Born}
	}
	known.Ended = known.Ended || ended
	known.RemovedAt = max(at.Unix(), 1)
	s.Statements[i.ID] = known
}

// forgetStatements drops the statements of backend servers that were removed longer than
// statementLifetime ago and, beyond maxStatements, the older half.
func (s *State) forgetStatements(at time.Time) {
	maps.DeleteFunc(s.Statements, func(_ shmodel.BackendServer, x statement) bool { return x.expired(at) })
	var removed []int64
	for _, x := range s.Statements {
		if x.RemovedAt > 0 {
			removed = append(removed, x.RemovedAt)
		}
	}
	if len(removed) <= maxStatements {
		return
	}
	slices.Sort(removed)
	middle := removed[len(removed)/2]
	maps.DeleteFunc(s.Statements, func(_ shmodel.BackendServer, x statement) bool {
		return x.RemovedAt > 0 && x.RemovedAt <= middle
	})
}
