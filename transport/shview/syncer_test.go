package shview

import (
	"log/slog"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/state/shconfig"
)

// sendHeartbeats sends n heartbeats; up lists the control VMs that answer, and
// quorum those that a quorum confirms. It returns the heartbeats that each
// control VM got.
func sendHeartbeats(s *Syncer, n int, up, quorum map[int]bool) map[int]int {
	asked := map[int]int{}
	for range n {
		i := s.pickControlVM()
		asked[i]++
		if up[i] {
			s.onAnswer(!quorum[i])
		} else {
			s.onFailure()
		}
	}
	return asked
}

// Guards against an entry VM that never returns to the control VM of its
// region, so that a partitioned region loses its directory.
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
			sendHeartbeats(s, 20, c.up, c.quorum)
			asked := sendHeartbeats(s, 20, c.up, c.quorum)
			assert.Assert(t, asked[c.most] >= 10, "asked %v", asked)
		})
	}
	t.Run("returns to the nearest", func(t *testing.T) {
		s := &Syncer{Addresses: []string{"a", "b", "c"}}
		sendHeartbeats(s, 20, map[int]bool{2: true}, all)
		asked := sendHeartbeats(s, 20, all, all)
		assert.Assert(t, asked[0] >= 15, "asked %v", asked)
	})
}

// Guards against daemons with different limits: a patch of the objective must
// select the same default limits as the whole configuration does after a
// restart.
func TestChangeReselectsDefaults(t *testing.T) {
	folder, err := shconfig.Load("../../examples/huon-ridge/config")
	assert.NilError(t, err)
	s := &Syncer{Log: slog.New(slog.DiscardHandler)}
	var v View
	s.installConfig(&v, 1, folder.Config)
	assert.Equal(t, v.Config.Config.Limits.ReserveShare, shconfig.DefaultReserveShareHeadroom)
	s.applyChange(&v, shcontrol.Change{From: 1, To: 2, Patch: []byte(`{"objective":"latency"}`)})
	assert.Equal(t, v.Revision, uint64(2))
	assert.Equal(t, v.Config.Config.Limits.ReserveShare, shconfig.DefaultReserveShareLatency)
}

// Guards against a return to an older revision when a control VM is behind.
func TestRevisionOnlyRises(t *testing.T) {
	folder, err := shconfig.Load("../../examples/huon-ridge/config")
	assert.NilError(t, err)
	s := &Syncer{Log: slog.New(slog.DiscardHandler)}
	var v View
	s.installConfig(&v, 5, folder.Config)
	older := folder.Config
	older.Objective = shconfig.Latency
	s.applyChange(&v, shcontrol.Change{To: 4, Config: &older})
	assert.Equal(t, v.Revision, uint64(5))
	assert.Equal(t, v.Config.Config.Objective, shconfig.Headroom)
}
