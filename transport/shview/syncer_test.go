package shview

import (
	"log/slog"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/state/shconfig"
)

// beat sends n heartbeats; up lists the control VMs that answer, and quorum
// those that are confirmed. It returns how often each was asked.
func beat(s *Syncer, n int, up, quorum map[int]bool) map[int]int {
	asked := map[int]int{}
	for range n {
		i := s.next()
		asked[i]++
		if up[i] {
			s.answered(!quorum[i])
		} else {
			s.failed()
		}
	}
	return asked
}

// Guards against an entry VM that leaves the control VM of its region for good,
// so that a region that is cut off loses its directory.
func TestSyncerTarget(t *testing.T) {
	all := map[int]bool{0: true, 1: true, 2: true}
	for _, c := range []struct {
		name       string
		up, quorum map[int]bool
		most       int
	}{
		{"all up", all, all, 0},
		{"nearest down", map[int]bool{1: true, 2: true}, all, 1},
		{"region cut off", map[int]bool{0: true}, nil, 0},
		{"nearest cut off from the quorum", all, map[int]bool{2: true}, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &Syncer{Addresses: []string{"a", "b", "c"}}
			beat(s, 20, c.up, c.quorum)
			asked := beat(s, 20, c.up, c.quorum)
			assert.Assert(t, asked[c.most] >= 10, "asked %v", asked)
		})
	}
	t.Run("returns to the nearest", func(t *testing.T) {
		s := &Syncer{Addresses: []string{"a", "b", "c"}}
		beat(s, 20, map[int]bool{2: true}, all)
		asked := beat(s, 20, all, all)
		assert.Assert(t, asked[0] >= 15, "asked %v", asked)
	})
}

// Guards against daemons with different limits: a change of the objective must
// select the same defaults as the whole configuration does after a restart.
func TestChangeKeepsDefaultsOut(t *testing.T) {
	folder, err := shconfig.Load("../../examples/huon-ridge/config")
	assert.NilError(t, err)
	s := &Syncer{Log: slog.New(slog.DiscardHandler)}
	var v View
	s.install(&v, 1, folder.Config)
	assert.Equal(t, v.Config.Config.Limits.ReserveShare, shconfig.DefaultReserveShareHeadroom)
	s.change(&v, shcontrol.Change{From: 1, To: 2, Patch: []byte(`{"objective":"latency"}`)})
	assert.Equal(t, v.Revision, uint64(2))
	assert.Equal(t, v.Config.Config.Limits.ReserveShare, shconfig.DefaultReserveShareLatency)
}

// Guards against a configuration that reverts when a control VM is behind.
func TestRevisionOnlyRises(t *testing.T) {
	folder, err := shconfig.Load("../../examples/huon-ridge/config")
	assert.NilError(t, err)
	s := &Syncer{Log: slog.New(slog.DiscardHandler)}
	var v View
	s.install(&v, 5, folder.Config)
	older := folder.Config
	older.Objective = shconfig.Latency
	s.change(&v, shcontrol.Change{To: 4, Config: &older})
	assert.Equal(t, v.Revision, uint64(5))
	assert.Equal(t, v.Config.Config.Objective, shconfig.Headroom)
}
