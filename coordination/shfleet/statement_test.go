package shfleet_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"sequoiahollow/coordination/shfleet"
	"sequoiahollow/state/shmodel"
)

// numbered returns an announcement whose number can be read from what it says.
func numbered(id string, born, sequence int64, leaving bool) shfleet.PutBackends {
	b := backend(id, born, "10.0.0.1:"+id)
	b.ColdFor, b.Leaving = shfleet.Millis(sequence), leaving
	return shfleet.PutBackends{Backends: []shfleet.Backend{b}, Sequences: []int64{sequence}}
}

// naming is a document that names the service of the backend servers.
func naming() shfleet.PutDocument {
	d := document(1, 0, "d")
	d.Table.Services = []shfleet.Service{{Name: "lookups"}}
	return shfleet.PutDocument{Document: d}
}

// seenLifetime is what an observer has seen of a lifetime.
type seenLifetime struct {
	sequence shfleet.Millis
	leaving  bool
	ended    bool
}

// Guards against an announcement that arrives late, twice or after a removal and undoes a
// later one: what is seen of a lifetime never goes back, on no replica and after any
// restart.
func TestLateAnnouncements(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s shfleet.State
		s.Apply(1, time.Time{}, naming())
		at := time.Unix(1_700_000_000, 0)
		seen := map[shfleet.Instance]seenLifetime{}
		newest := map[shmodel.BackendServer]int64{}
		for index := uint64(2); index <= 61; index++ {
			// Statements are kept for a minute after a removal.
			at = at.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "milliseconds")) * time.Millisecond)
			id := fmt.Sprint(rapid.IntRange(0, 1).Draw(t, "id"))
			i := shfleet.Instance{ID: shmodel.BackendServer(id), Born: int64(rapid.IntRange(1, 3).Draw(t, "born"))}
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				ended := rapid.Bool().Draw(t, "ended")
				if known, ok := s.Backend(i.ID); !ended && (!ok || known.Born != i.Born) {
					continue
				}
				s.Apply(index, at, shfleet.RemoveBackends{Instances: []shfleet.Instance{i}, Ended: ended})
				if x := seen[i]; ended {
					x.ended = true
					seen[i] = x
				}
			case 1:
				data, err := s.Snapshot()
				assert.NilError(t, err)
				s = shfleet.State{}
				assert.NilError(t, s.Restore(data))
			case 2:
				// Another program names the backend server in use.
				known, ok := s.Backend(i.ID)
				if !ok {
					continue
				}
				c := numbered(id, known.Born+int64(rapid.IntRange(0, 1).Draw(t, "later")), 1000, false)
				c.Backends[0].Service = "unnamed"
				s.Apply(index, at, c)
				assert.Equal(t, s.Backends[i.ID], known)
			default:
				sequence := int64(rapid.IntRange(0, 9).Draw(t, "sequence"))
				// A lifetime that leaves says so from its fifth announcement on.
				s.Apply(index, at, numbered(id, i.Born, sequence, i.Born != 2 && sequence >= 5))
			}
			for _, b := range s.Instances() {
				x := seen[b.Instance]
				assert.Assert(t, b.Born >= newest[b.ID], "an earlier lifetime of %s is back", b.ID)
				assert.Assert(t, !x.ended, "%v is back after its end", b.Instance)
				assert.Assert(t, b.ColdFor >= x.sequence, "%v: announcement %d undid %d", b.Instance, b.ColdFor, x.sequence)
				assert.Assert(t, b.Leaving || !x.leaving, "%v no longer leaves", b.Instance)
				newest[b.ID] = b.Born
				seen[b.Instance] = seenLifetime{sequence: b.ColdFor, leaving: b.Leaving}
			}
		}
	})
}

// Guards against a late announcement that brings a removed backend server back as it was
// before it left.
func TestLateAnnouncementAfterRemoval(t *testing.T) {
	for name, remove := range map[string]shfleet.Command{
		"silent":   shfleet.RemoveBackends{Instances: []shfleet.Instance{{ID: "1", Born: 7}}},
		"withdrew": shfleet.RemoveBackends{Instances: []shfleet.Instance{{ID: "1"}}, Ended: true},
	} {
		t.Run(name, func(t *testing.T) {
			at := time.Unix(1_700_000_000, 0)
			var s shfleet.State
			apply := func(c shfleet.Command) { s.Apply(s.Index+1, at, c) }
			apply(naming())
			apply(numbered("1", 7, 3, false))
			apply(numbered("1", 7, 4, true))
			apply(remove)
			apply(numbered("1", 7, 3, false))
			assert.Equal(t, len(s.Instances()), 0)
			apply(numbered("1", 7, 5, false))
			for _, b := range s.Instances() {
				assert.Assert(t, b.Leaving && name == "silent")
			}
			assert.Equal(t, len(s.Instances()) == 1, name == "silent")
		})
	}
	t.Run("before the first document", func(t *testing.T) {
		var s shfleet.State
		apply := func(c shfleet.Command) { s.Apply(s.Index+1, time.Unix(1_700_000_000, 0), c) }
		apply(numbered("1", 7, 3, false))
		apply(numbered("1", 7, 4, true))
		unnamed := numbered("2", 7, 1000, true)
		unnamed.Backends[0].Service = "unnamed"
		apply(unnamed)
		apply(naming())
		apply(shfleet.RemoveBackends{Instances: []shfleet.Instance{{ID: "1", Born: 7}}})
		apply(numbered("1", 7, 3, false))
		_, ok := s.Backend("1")
		assert.Assert(t, !ok)
		// Another program must not keep a backend server out.
		apply(shfleet.RemoveBackends{Instances: []shfleet.Instance{{ID: "2", Born: 7}}})
		apply(numbered("2", 7, 1, false))
		b, ok := s.Backend("2")
		assert.Assert(t, ok && !b.Leaving)
	})
	t.Run("an earlier lifetime", func(t *testing.T) {
		at := time.Unix(1_700_000_000, 0)
		var s shfleet.State
		apply := func(c shfleet.Command) { s.Apply(s.Index+1, at, c) }
		apply(naming())
		apply(numbered("1", 7, 1, false))
		apply(numbered("1", 9, 1, false))
		apply(shfleet.RemoveBackends{Instances: []shfleet.Instance{{ID: "1", Born: 9}}})
		apply(numbered("1", 7, 8, false))
		assert.Equal(t, len(s.Instances()), 0)
		// A clock that was set back must not keep a backend server out for good.
		at = at.Add(2 * time.Minute)
		apply(numbered("1", 7, 9, false))
		assert.Equal(t, len(s.Instances()), 1)
	})
}

// Guards against statements without a bound, and against one of a listed backend server
// that is dropped for it.
func TestStatementsAreBounded(t *testing.T) {
	at := time.Unix(1_700_000_000, 0)
	var s shfleet.State
	apply := func(c shfleet.Command) { s.Apply(s.Index+1, at, c) }
	apply(naming())
	apply(numbered("listed", 1, 9, false))
	const removed = 40_000
	for i := range int64(removed) {
		if i%1000 == 0 {
			at = at.Add(time.Second)
		}
		id := fmt.Sprint(i)
		apply(shfleet.PutBackends{Backends: []shfleet.Backend{backend(id, i+1, id)}, Sequences: []int64{1}})
		apply(shfleet.RemoveBackends{Instances: []shfleet.Instance{{ID: shmodel.BackendServer(id), Born: i + 1}}, Ended: true})
	}
	assert.Assert(t, len(s.Statements) < removed/2, "%d statements", len(s.Statements))
	apply(numbered("listed", 1, 8, false))
	b, ok := s.Backend("listed")
	assert.Assert(t, ok)
	assert.Equal(t, b.ColdFor, shfleet.Millis(9))
}

// Guards against backend servers that get all their traffic at once when an evacuation
// ends, although they became cold meanwhile and have not said so yet.
func TestEndOfEvacuationStartsColdPeriod(t *testing.T) {
	var s shfleet.State
	apply := func(c shfleet.Command) { s.Apply(s.Index+1, time.Time{}, c) }
	evacuate := func(evacuated bool) {
		base := s.EvacuateAt
		apply(shfleet.SetEvacuation{Zone: "z", Evacuated: evacuated, Base: &base})
	}
	coldFor := func(id shmodel.BackendServer) shfleet.Millis { return s.Backends[id].ColdFor }
	d := document(1, 0, "d")
	d.Table.Services = []shfleet.Service{{Name: "s", ColdRate: 16, ColdPeriod: 3000}}
	apply(shfleet.PutDocument{Document: d})
	inZone, other := backend("a", 1, "a:1"), backend("b", 1, "b:1")
	inZone.Service, inZone.Zone, other.Service, other.Zone = "s", "z", "s", "y"
	apply(shfleet.PutBackends{Backends: []shfleet.Backend{inZone, other}, Sequences: []int64{1, 1}})
	evacuate(true)
	assert.Equal(t, coldFor("a"), shfleet.Millis(0))
	evacuate(false)
	assert.Equal(t, coldFor("a"), shfleet.Millis(3000))
	assert.Equal(t, s.Backends["a"].At, s.Index)
	assert.Equal(t, coldFor("b"), shfleet.Millis(0))
	// A repeated order starts no further period.
	evacuate(false)
	assert.Assert(t, s.Backends["a"].At < s.Index)
	apply(shfleet.PutBackends{Backends: []shfleet.Backend{inZone}, Sequences: []int64{2}})
	assert.Equal(t, coldFor("a"), shfleet.Millis(0))
}
