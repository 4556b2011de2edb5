package shcontrol

import (
	"bytes"
	"encoding/json"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The files of testdata were written by the code of commit 4181267.

func readStored(t *testing.T, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", name))
	assert.NilError(t, err)
	return data
}

// readStoredLines returns the lines of a file without their line ends.
func readStoredLines(t *testing.T, name string) [][]byte {
	t.Helper()
	return bytes.Split(bytes.TrimSuffix(readStored(t, name), []byte("\n")), []byte("\n"))
}

// assertStored checks that all types of a codec occur in a file and that each
// line is unchanged after decoding and encoding.
func assertStored[I any](t *testing.T, name string, c codec[I]) {
	t.Helper()
	found := map[string]bool{}
	for _, line := range readStoredLines(t, name) {
		value, err := c.decode("decode", line)
		assert.NilError(t, err)
		encoded, err := c.encode("encode", value)
		assert.NilError(t, err)
		assert.Equal(t, string(encoded), string(line))
		var e envelope
		assert.NilError(t, json.Unmarshal(line, &e))
		found[e.Type] = true
	}
	assert.DeepEqual(t, slices.Sorted(maps.Keys(found)), slices.Sorted(maps.Keys(c)))
}

// Guards against a log or message of an earlier build that cannot be read after
// an update, because a type or a field got another name in the JSON form.
func TestStoredCommandsAndResults(t *testing.T) {
	t.Run("commands", func(t *testing.T) { assertStored(t, "commands.jsonl", commands) })
	t.Run("results", func(t *testing.T) { assertStored(t, "results.jsonl", results) })
}

func restoreStored(t *testing.T, name string) *State {
	t.Helper()
	var s State
	assert.NilError(t, s.Restore(readStored(t, name)))
	return &s
}

func assertSnapshot(t *testing.T, s *State, name string) {
	t.Helper()
	data, err := s.Snapshot()
	assert.NilError(t, err)
	assert.Equal(t, string(data), string(readStored(t, name)))
}

// Guards against a snapshot of an earlier build that cannot be restored, or is
// restored only partly, because a field of the state got another JSON name.
func TestStoredSnapshot(t *testing.T) {
	assertSnapshot(t, restoreStored(t, "snapshot.json"), "snapshot.json")
}

// Guards against replicas of an earlier and of this build that diverge during an
// update: commands must have the stored results and lead to the stored state.
// The results also depend on hashes of claim keys and of edits in the snapshot.
func TestStoredCommandsHaveStoredResults(t *testing.T) {
	s := restoreStored(t, "snapshot.json")
	for _, line := range readStoredLines(t, "steps.jsonl") {
		var step struct {
			At      time.Time       `json:"at"`
			Command json.RawMessage `json:"command"`
			Result  json.RawMessage `json:"result"`
		}
		assert.NilError(t, json.Unmarshal(line, &step))
		command, err := DecodeCommand(step.Command)
		assert.NilError(t, err)
		result, err := EncodeResult(s.Apply(step.At, command))
		assert.NilError(t, err)
		assert.Equal(t, string(result), string(step.Result), "%s", step.Command)
	}
	assertSnapshot(t, s, "snapshot-after-steps.json")
}
