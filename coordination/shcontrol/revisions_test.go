package shcontrol_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/state/shconfig"
)

func edit(id string, base uint64, hours int) shcontrol.ApplyConfig {
	return shcontrol.ApplyConfig{
		EditID: id, Author: "ann", BaseRevision: base,
		Config: shconfig.Config{Limits: shconfig.Limits{ClaimHours: hours}},
	}
}

// Guards against two accepted edits with the same revision number, revision
// numbers that decrease, and a resend that is applied as a new edit.
func TestRacingEdits(t *testing.T) {
	var s shcontrol.State
	apply := func(c shcontrol.ApplyConfig) shcontrol.ConfigResult {
		return s.Apply(start, c).(shcontrol.ConfigResult)
	}
	first := apply(edit("a", 0, 1))
	assert.DeepEqual(t, first, shcontrol.ConfigResult{Accepted: true, Revision: 1, Config: edit("a", 0, 1).Config})
	lost := apply(edit("b", 0, 2))
	assert.DeepEqual(t, lost, shcontrol.ConfigResult{Revision: 1, Config: first.Config})

	const more = 1500
	for i := range more {
		assert.Assert(t, apply(edit(fmt.Sprint(i), uint64(i)+1, i)).Accepted)
	}
	assert.DeepEqual(t, apply(edit("a", 0, 1)), first)
	assert.Assert(t, !apply(edit("b", 0, 2)).Accepted)
	other := s.Apply(start, edit("a", 0, 3))
	assert.DeepEqual(t, other, shcontrol.Rejected{Reason: `edit ID "a" was used by another edit`})

	revision, _ := s.Config()
	assert.Equal(t, revision, uint64(more+1))
	history := s.History()
	assert.Equal(t, len(history), 1000)
	assert.DeepEqual(t, history[999], shcontrol.Revision{Number: more + 1, EditID: fmt.Sprint(more - 1), Author: "ann", At: start})
	edits, err := s.Edits(2)
	assert.NilError(t, err)
	assert.Equal(t, len(edits), 2)
	assert.Equal(t, edits[0].Number, uint64(more+1))
	assert.Equal(t, fmt.Sprintf("%s", edits[1].Changes), "[{/limits/claimHours 1497 1498}]")
	old, _ := s.Changes(more + 1 - 1001)
	assert.Assert(t, old.Config != nil)
	recent, _ := s.Changes(more)
	assert.Equal(t, string(recent.Patch), `{"limits":{"claimHours":1499}}`)
	_, newer := s.Changes(more + 1)
	assert.Assert(t, !newer)
}

// Guards against daemons that, from any earlier revision, do not reach the
// current configuration by applying a change.
func TestChangesLeadToTheCurrentConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s shcontrol.State
		configs := []shconfig.Config{{}}
		for i := range rapid.IntRange(1, 8).Draw(t, "edits") {
			c := drawConfig(t)
			s.Changes(0)
			s.Apply(start, shcontrol.ApplyConfig{EditID: fmt.Sprint(i), BaseRevision: uint64(i), Config: c})
			configs = append(configs, c)
		}
		if rapid.Bool().Draw(t, "restored") {
			assert.NilError(t, s.Restore([]byte(snapshot(t, &s))))
		}
		_, current := s.Config()
		want, err := json.Marshal(current)
		assert.NilError(t, err)
		for since := range len(configs) - 1 {
			change, ok := s.Changes(uint64(since))
			assert.Assert(t, ok)
			got, err := change.Apply(configs[since])
			assert.NilError(t, err)
			data, err := json.Marshal(got)
			assert.NilError(t, err)
			assert.Equal(t, string(data), string(want), "since %d", since)
		}
	})
}
