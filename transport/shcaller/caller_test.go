package shcaller_test

import (
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiahollow/transport/shcaller"
)

// Guards against a zero Client that panics, and an error that names no reason.
func TestZeroClient(t *testing.T) {
	var c shcaller.Client
	c.Forget("ledger")
	_, err := c.Lookup(t.Context(), "ledger")
	e, ok := errors.AsType[*shcaller.Error](err)
	assert.Assert(t, ok)
	assert.Equal(t, e.Kind, shcaller.KindLookup)
	assert.Error(t, err, "lookup: lookup: no entry VM to ask")
}
