package shfleet_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"sequoiahollow/coordination/shfleet"
	"sequoiahollow/state/shmodel"
)

func document(version, base uint64, text string) shfleet.Document {
	return shfleet.Document{Version: version, Base: base, Source: []byte(text)}
}

// Guards against two accepted documents with the same version, a repeated
// document that is refused, and an older version that replaces a newer one.
func TestPutDocument(t *testing.T) {
	steps := []struct {
		name    string
		put     shfleet.Document
		want    shfleet.Result
		version uint64
	}{
		{"first", document(3, 0, "a"), shfleet.Accepted, 3},
		{"repeated", document(3, 0, "a"), shfleet.Accepted, 3},
		{"other edit under the same number", document(3, 0, "b"), shfleet.Conflict, 3},
		{"next", document(7, 3, "c"), shfleet.Accepted, 7},
		{"concurrent edit of an old base", document(8, 3, "d"), shfleet.Conflict, 7},
		{"earlier one repeated late", document(3, 0, "a"), shfleet.Accepted, 7},
		{"lower version on the current one", document(5, 7, "e"), shfleet.Conflict, 7},
	}
	var s shfleet.State
	for i, step := range steps {
		got := s.Apply(uint64(i+1), time.Time{}, shfleet.PutDocument{Document: step.put})
		assert.Equal(t, got, step.want, step.name)
		assert.Equal(t, s.Document.Version, step.version, step.name)
	}
}

func backend(id string, born int64, address string) shfleet.Backend {
	return shfleet.Backend{
		Instance: shfleet.Instance{ID: shmodel.BackendServer(id), Born: born},
		Service:  "lookups", Address: address, Zone: "a", Slots: 3,
	}
}

func putBackends(backends ...shfleet.Backend) shfleet.Command {
	return shfleet.PutBackends{Backends: backends}
}

func asLeaving(b shfleet.Backend) shfleet.Backend {
	b.Leaving = true
	return b
}

// Guards against announcements that are accepted after their process has ended or
// was replaced, and against a draining backend server that counts as ready again.
func TestLifetimes(t *testing.T) {
	end := shfleet.RemoveBackends{Instances: []shfleet.Instance{{ID: "x", Born: 10}}, Ended: true}
	silent := shfleet.RemoveBackends{Instances: []shfleet.Instance{{ID: "x", Born: 10}}}
	withdrawn := shfleet.RemoveBackends{Instances: []shfleet.Instance{{ID: "x"}}, Ended: true}
	x := backend("x", 10, "1:1")
	cases := []struct {
		name     string
		commands []shfleet.Command
		want     []shfleet.Backend
	}{
		{"ended, then late announcement", []shfleet.Command{putBackends(x), end, putBackends(x)}, nil},
		{"silent, then announced again", []shfleet.Command{putBackends(x), silent, putBackends(x)}, []shfleet.Backend{x}},
		{"silent, withdrawn without start time, then late announcement", []shfleet.Command{putBackends(x), silent, withdrawn, putBackends(x)}, nil},
		{"withdrawn without start time, then late announcement", []shfleet.Command{putBackends(x), withdrawn, putBackends(x)}, nil},
		{"withdrawn while silent, then started again", []shfleet.Command{putBackends(x), silent, withdrawn, putBackends(backend("x", 11, "1:1"))}, []shfleet.Backend{backend("x", 11, "1:1")}},
		{"leaving is not reset", []shfleet.Command{putBackends(x), putBackends(asLeaving(x)), putBackends(x)}, []shfleet.Backend{asLeaving(x)}},
		{"started again under its ID", []shfleet.Command{putBackends(asLeaving(x)), putBackends(backend("x", 11, "1:1"))}, []shfleet.Backend{backend("x", 11, "1:1")}},
		{"late announcement of an earlier lifetime", []shfleet.Command{putBackends(backend("x", 11, "1:1")), putBackends(x)}, []shfleet.Backend{backend("x", 11, "1:1")}},
		{"address taken over", []shfleet.Command{putBackends(x), putBackends(backend("y", 20, "1:1"))}, []shfleet.Backend{backend("y", 20, "1:1")}},
		{"late announcement of the former process at the address", []shfleet.Command{putBackends(backend("y", 20, "1:1")), putBackends(x)}, []shfleet.Backend{backend("y", 20, "1:1")}},
		{"end of an earlier lifetime", []shfleet.Command{putBackends(backend("x", 11, "1:1")), end}, []shfleet.Backend{backend("x", 11, "1:1")}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var s shfleet.State
			for i, command := range c.commands {
				s.Apply(uint64(i+1), time.Time{}, command)
			}
			got := s.Instances()
			for i := range got {
				assert.Assert(t, got[i].At > 0)
				got[i].At = 0
			}
			assert.DeepEqual(t, got, c.want)
		})
	}
}

// Guards against an observer that misses a change after any index, or whose view
// returns to an older state.
func TestObserverCatchesUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s shfleet.State
		var views []shfleet.View
		for i := range 3 {
			views = append(views, shfleet.View{}.Apply(s.Since(uint64(i))))
		}
		for index := uint64(1); index <= 60; index++ {
			s.Apply(index, time.Time{}, drawCommand(t, &s))
			observer := rapid.IntRange(0, len(views)-1).Draw(t, "observer")
			stale := s.Since(0)
			views[observer] = views[observer].Apply(s.Since(views[observer].Index))
			checkView(t, views[observer], &s)
			s.Apply(index, time.Time{}, shfleet.PutBackends{})
			views[observer] = views[observer].Apply(stale)
			checkView(t, views[observer], &s)
		}
		data, err := s.Snapshot()
		assert.NilError(t, err)
		var restored shfleet.State
		assert.NilError(t, restored.Restore(data))
		for _, v := range views {
			checkView(t, v.Apply(restored.Since(v.Index)), &s)
		}
	})
}

// Guards against an observer that keeps evacuations, VMs and crash counts which a control
// VM that was restored from a snapshot no longer has.
func TestWholeChangeReplacesView(t *testing.T) {
	var former, s shfleet.State
	for i, c := range []shfleet.Command{
		shfleet.SetEvacuation{Zone: "z", Evacuated: true},
		shfleet.PutEntry{Entry: shfleet.Entry{VM: "e", Address: "e:1"}},
		shfleet.PutControl{Control: shfleet.Control{VM: "c", Address: "c:1"}},
		shfleet.ReportCrash{Digest: shmodel.Digest{1}},
		putBackends(backend("b", 1, "b:1")),
	} {
		former.Apply(uint64(i+1), time.Time{}, c)
	}
	v := shfleet.View{}.Apply(former.Since(0))
	s.Apply(9, time.Time{}, shfleet.PutBackends{})
	data, err := s.Snapshot()
	assert.NilError(t, err)
	var restored shfleet.State
	assert.NilError(t, restored.Restore(data))
	data, err = json.Marshal(restored.Since(0))
	assert.NilError(t, err)
	var c shfleet.Change
	assert.NilError(t, json.Unmarshal(data, &c))
	v = v.Apply(c)
	assert.Equal(t, len(v.Evacuated)+len(v.Entries)+len(v.Controls)+len(v.CrashCounts)+len(v.Backends), 0)
	assert.Equal(t, v.Index, uint64(9))
}

func drawCommand(t *rapid.T, s *shfleet.State) shfleet.Command {
	id := fmt.Sprint("b", rapid.IntRange(0, 5).Draw(t, "id"))
	born := int64(rapid.IntRange(1, 4).Draw(t, "born"))
	instance := shfleet.Instance{ID: shmodel.BackendServer(id), Born: born}
	switch rapid.IntRange(0, 6).Draw(t, "command") {
	case 0:
		v := s.Document.Version
		return shfleet.PutDocument{Document: document(v+2, v, fmt.Sprint(v))}
	case 1:
		return shfleet.SetEvacuation{Zone: "a", Evacuated: rapid.Bool().Draw(t, "evacuated")}
	case 2:
		return shfleet.RemoveBackends{Instances: []shfleet.Instance{instance}, Ended: rapid.Bool().Draw(t, "ended")}
	case 3:
		return shfleet.PutEntry{Entry: shfleet.Entry{VM: shmodel.VM(id), Address: id, Ready: rapid.Bool().Draw(t, "ready")}}
	case 4:
		return shfleet.RemoveEntries{VMs: []shmodel.VM{shmodel.VM(id)}}
	case 5:
		return shfleet.ReportCrash{Digest: shmodel.Digest{byte(born)}, Cleared: rapid.Bool().Draw(t, "cleared")}
	}
	return putBackends(backend(id, born, fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "address"))))
}

func checkView(t *rapid.T, v shfleet.View, s *shfleet.State) {
	assert.Equal(t, v.Index, s.Index)
	assert.Equal(t, v.Version, s.Document.Version)
	got := slices.SortedFunc(maps.Values(v.Backends), func(a, b shfleet.Backend) int { return compareByID(a, b) })
	assert.DeepEqual(t, append([]shfleet.Backend{}, got...), append([]shfleet.Backend{}, s.Instances()...))
	assert.DeepEqual(t, append([]shfleet.Entry{}, v.Entries...), append([]shfleet.Entry{}, s.EntryVMs()...))
	assert.Equal(t, v.Evacuated["a"], slices.Contains(s.Evacuated, "a"))
	assert.Equal(t, len(v.CrashCounts), len(s.CrashCounts))
}

func compareByID(a, b shfleet.Backend) int {
	if a.ID < b.ID {
		return -1
	}
	return 1
}

// Guards against accepting tables that would drop or misroute requests.
func TestValidate(t *testing.T) {
	validTable := func() shfleet.Table {
		return shfleet.Table{
			Routes: []shfleet.Route{{
				Name: "r", Host: "h", Prefix: "/a/", Kind: shmodel.Idempotent, Timeout: 1, Attempts: 1,
				Parts: []shfleet.Part{{Service: "s", Weight: 1}},
			}},
			Services: []shfleet.Service{{Name: "s"}},
		}
	}
	assert.NilError(t, validTable().Validate())
	cases := []struct {
		want   string
		mutate func(*shfleet.Table)
	}{
		{"host is empty", func(x *shfleet.Table) { x.Routes[0].Host = "" }},
		{"no attempt", func(x *shfleet.Table) { x.Routes[0].Attempts = 0 }},
		{"timeout", func(x *shfleet.Table) { x.Routes[0].Timeout = 0 }},
		{"weights add up to 0", func(x *shfleet.Table) { x.Routes[0].Parts[0].Weight = 0 }},
		{"not defined", func(x *shfleet.Table) { x.Routes[0].Parts[0].Service = "t" }},
		{"prefix", func(x *shfleet.Table) { x.Routes[0].Prefix = "/a" }},
		{"share host and prefix", func(x *shfleet.Table) { x.Routes = append(x.Routes, x.Routes[0]) }},
		{"listed twice", func(x *shfleet.Table) { x.Services = append(x.Services, x.Services[0]) }},
	}
	for _, c := range cases {
		x := validTable()
		c.mutate(&x)
		assert.ErrorContains(t, x.Validate(), c.want)
	}
}

func ExampleRouteIndex_Route() {
	x := shfleet.NewRouteIndex(shfleet.Table{Routes: []shfleet.Route{
		{Name: "all", Host: "shop", Prefix: "/"},
		{Name: "orders", Host: "shop", Prefix: "/orders/"},
	}})
	fmt.Println(x.Route("shop", "/orders/7").Name, x.Route("shop", "/order").Name, x.Route("other", "/"))
	// Output: orders all <nil>
}

// Guards against another program whose announcement names the address of a running
// backend server and takes it out of use.
func TestForeignAt(t *testing.T) {
	var s shfleet.State
	running := backend("a", 5, "10.0.0.1:80")
	s.Apply(1, time.Time{}, putBackends(running))
	with := func(service shmodel.Service, address string) shfleet.Backend {
		b := backend("b", 9, address)
		b.Service = service
		return b
	}
	isForeign := func(b shfleet.Backend) bool { _, ok := s.ForeignAt(b); return ok }
	assert.Assert(t, !isForeign(with("unnamed", running.Address)), "no document names a service yet")
	d := document(3, 0, "x")
	d.Table.Services = []shfleet.Service{{Name: "lookups"}, {Name: "payments"}}
	s.Apply(2, time.Time{}, shfleet.PutDocument{Document: d})
	assert.Assert(t, isForeign(with("unnamed", running.Address)))
	assert.Assert(t, !isForeign(with("unnamed", "10.0.0.2:80")), "nobody else has the address")
	assert.Assert(t, !isForeign(with("payments", running.Address)), "addresses are used again by other services")
	again := running
	again.Service = "unnamed"
	assert.Assert(t, !isForeign(again), "it is the backend server itself")
}
