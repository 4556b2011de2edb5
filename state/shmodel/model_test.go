package shmodel_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiahollow/state/shmodel"
)

func ExampleRequestID() {
	fmt.Println(shmodel.RequestID(255))
	// Output: 00000000000000ff
}

// Guards against request IDs that lose precision in JSON, and against malformed
// text that is accepted as a request ID or digest.
func TestTextForms(t *testing.T) {
	t.Run("request ID", func(t *testing.T) {
		var r shmodel.RequestID
		assert.NilError(t, json.Unmarshal([]byte(`"ffffffffffffffff"`), &r))
		assert.Equal(t, r, shmodel.RequestID(1<<64-1))
		assert.ErrorContains(t, json.Unmarshal([]byte(`"12 4"`), &r), "request ID")
	})
	t.Run("digest", func(t *testing.T) {
		var d shmodel.Digest
		assert.ErrorContains(t, json.Unmarshal([]byte(`"abcd"`), &d), "32 hexadecimal digits")
	})
}
