package shregistry

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/coordination/shfleet"
	"sequoiahollow/state/shmodel"
)

// newLeader returns a leader without a store, with observers and a routing table.
func newLeader(observers int) *Registry {
	r := &Registry{changed: make(chan struct{}), lastWatch: map[shmodel.VM]observed{}, leaderSince: time.Now()}
	for i := range observers {
		r.lastWatch[shmodel.VM(fmt.Sprint("e", i))] = observed{at: time.Now()}
	}
	var routes []shfleet.Route
	for i := range 350 {
		routes = append(routes, shfleet.Route{Name: fmt.Sprint("r", i), Host: "h", Prefix: fmt.Sprintf("/%d/", i)})
	}
	r.state.Apply(1, time.Now(), shfleet.PutDocument{Document: shfleet.Document{Version: 1, Table: shfleet.Table{Routes: routes}}})
	r.release()
	return r
}

func (r *Registry) applyTest(index uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.Apply(index, time.Now(), shfleet.PutBackends{Backends: []shfleet.Backend{{
		Instance: shfleet.Instance{ID: shmodel.BackendServer(fmt.Sprint("b", index)), Born: 1},
	}}})
	r.scheduleRelease()
}

// Guards against a leader that answers each of its observers after each command:
// with 118 entry VMs, commands in quick succession left it no time for commits.
// Pattern: fan-out of changes to hundreds of observers.
func TestChangesAreReleasedTogether(t *testing.T) {
	for _, c := range []struct{ observers, most int }{{1, 100}, {118, 9}, {300, 4}, {5000, 3}} {
		t.Run(fmt.Sprint(c.observers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newLeader(c.observers)
				releases := 0
				began := time.Now()
				for i := range 200 {
					r.applyTest(uint64(i + 2))
					_, changed, _ := r.isBehind(0)
					time.Sleep(5 * time.Millisecond)
					select {
					case <-changed:
						releases++
					default:
					}
				}
				assert.Assert(t, releases > 0 && releases <= c.most, "%d releases in %s", releases, time.Since(began))
				time.Sleep(maxReleaseInterval)
				behind, _, _ := r.isBehind(200)
				assert.Assert(t, behind, "the last command is not released after %s", maxReleaseInterval)
				behind, _, _ = r.isBehind(201)
				assert.Assert(t, !behind, "an observer that has all changes is answered at once")
			})
		})
	}
}

// Guards against a large change that is encoded for each observer, and against an
// old one that is sent after another command.
func TestChangeIsEncodedOnce(t *testing.T) {
	r := newLeader(118)
	first := packed(t, r)
	assert.Assert(t, &first[0] == &packed(t, r)[0], "the change was encoded again")
	r.applyTest(2)
	second := packed(t, r)
	c, err := WatchResponse{Packed: second}.Unpack()
	assert.NilError(t, err)
	assert.Equal(t, c.To, uint64(2))
	assert.Equal(t, len(c.Table.Routes), 350)
	assert.Equal(t, len(c.Backends), 1)
	small, none, err := r.packer.pack(r, 1)
	assert.NilError(t, err)
	assert.Equal(t, len(none), 0)
	assert.Equal(t, small.To, uint64(2))
}

func packed(t *testing.T, r *Registry) []byte {
	t.Helper()
	_, data, err := r.packer.pack(r, 0)
	assert.NilError(t, err)
	assert.Assert(t, len(data) > 0, "a change with the routing table is not compressed")
	return data
}

// Guards against an answer that cannot be decoded and is taken for a change.
func TestMalformedChange(t *testing.T) {
	for _, data := range []string{"garbage", "\x00"} {
		_, err := WatchResponse{Packed: []byte(data)}.Unpack()
		assert.ErrorContains(t, err, string(KindMalformed))
	}
}
