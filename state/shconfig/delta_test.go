package shconfig_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"sequoiahollow/state/shconfig"
)

// TestDelta guards against deltas that, once applied, result in another
// configuration than the accepted one.
func TestDelta(t *testing.T) {
	before, err := shconfig.Load(folder(t, nil))
	assert.NilError(t, err)
	after, err := shconfig.Load(folder(t, map[string]string{
		"40.json": `{"limits": {"retryShare": 0.2}, "links": {"north-south": {"capBitsPerSecond": 500, "latencyMs": 12}},
			"services": {"ledger": {"hosts": null}}}`,
	}))
	assert.NilError(t, err)
	changes, err := shconfig.Diff(before.Config, after.Config)
	assert.NilError(t, err)
	var paths []string
	for _, change := range changes {
		paths = append(paths, change.Path)
	}
	assert.DeepEqual(t, paths, []string{
		"/limits", "/links/north-south/capBitsPerSecond", "/links/north-south/latencyMs", "/services/ledger/hosts",
	})
	for _, pair := range [][2]shconfig.Config{{before.Config, after.Config}, {after.Config, before.Config}} {
		delta, err := shconfig.Delta(pair[0], pair[1])
		assert.NilError(t, err)
		got, err := shconfig.ApplyDelta(pair[0], delta)
		assert.NilError(t, err)
		assert.DeepEqual(t, got, pair[1])
	}
}

// TestApplyDeltaInvalid guards against accepting a delta that is not a JSON
// object or results in an invalid configuration.
func TestApplyDeltaInvalid(t *testing.T) {
	before, err := shconfig.Load(folder(t, nil))
	assert.NilError(t, err)
	for _, delta := range []string{`{"regions": {"south": null}}`, `{"objective": 1}`, `{`, `[]`} {
		_, err := shconfig.ApplyDelta(before.Config, []byte(delta))
		assert.Assert(t, len(problems(t, err)) > 0, delta)
	}
}
