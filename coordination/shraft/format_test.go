package shraft

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"gotest.tools/v3/assert"
)

// assertMessage checks that a message is unchanged after decoding and encoding,
// and returns the name of the type of its body.
func assertMessage(t *testing.T, line []byte) string {
	t.Helper()
	var m Message
	assert.NilError(t, json.Unmarshal(line, &m))
	got, err := json.Marshal(m)
	assert.NilError(t, err)
	assert.Equal(t, string(got), string(line))
	return reflect.TypeOf(m.Body).Name()
}

// assertBodies checks that found has the names of all types of bodies.
func assertBodies(t *testing.T, found map[string]bool) {
	t.Helper()
	for f := range reflect.TypeFor[wireMessage]().Fields() {
		if f.Type.Kind() == reflect.Pointer {
			assert.Assert(t, found[f.Name], "no stored message with a body of type %s", f.Name)
		}
	}
}

// Guards against nodes of an earlier and of this build that misread each other's
// messages during an update, because a body or a field got another name in the
// JSON form. The messages were written by the code of commit 4181267.
func TestStoredMessages(t *testing.T) {
	data, err := os.ReadFile(filepath.Join("testdata", "messages.jsonl"))
	assert.NilError(t, err)
	found := map[string]bool{}
	for line := range bytes.Lines(data) {
		found[assertMessage(t, bytes.TrimSuffix(line, []byte("\n")))] = true
	}
	assertBodies(t, found)
}

// Guards against stored and sent entries that are taken for another kind after
// an update, because the kinds got other numbers.
func TestStoredEntryKinds(t *testing.T) {
	assert.DeepEqual(t, []EntryKind{Command, NoOp, MembershipChange}, []EntryKind{0, 1, 2})
}
