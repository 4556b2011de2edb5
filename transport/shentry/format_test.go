package shentry

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiahollow/coordination/shrequest"
)

// assertHeader checks that the value of a header holds a T, and that it is
// unchanged after decoding and encoding.
func assertHeader[T any](t *testing.T, text string) {
	t.Helper()
	var v T
	assert.NilError(t, decodeHeader(text, &v))
	got, err := encodeHeader(v)
	assert.NilError(t, err)
	assert.Equal(t, got, text)
}

// Guards against entry VMs of an earlier and of this build that misread each
// other's headers during an update. The fields of a request have no JSON names,
// so renaming one in Go changes the header. The headers were written by the code
// of commit 4181267, with no field zero.
func TestStoredHeaders(t *testing.T) {
	data, err := os.ReadFile(filepath.Join("testdata", "headers.json"))
	assert.NilError(t, err)
	var stored map[string]string
	assert.NilError(t, json.Unmarshal(data, &stored))
	assert.Equal(t, len(stored), 2)
	t.Run("forward", func(t *testing.T) { assertHeader[forwardRequest](t, stored[headerForward]) })
	t.Run("execution", func(t *testing.T) { assertHeader[shrequest.Execution](t, stored[headerExecution]) })
}
