package shfleet

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The files of testdata were written by the code of commit 4181267. The first
// command has the index firstStoredIndex and all commands the time storedAt.
const firstStoredIndex = 10

var storedAt = time.Date(2026, 1, 2, 3, 4, 5, 6, time.UTC)

func readStored(t testing.TB, name string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", name))
	assert.NilError(t, err)
	return data
}

// readStoredLines returns the lines of a file without their line ends.
func readStoredLines(t testing.TB, name string) [][]byte {
	t.Helper()
	return bytes.Split(bytes.TrimSuffix(readStored(t, name), []byte("\n")), []byte("\n"))
}

func readStoredCommands(t *testing.T) []Command {
	t.Helper()
	var commands []Command
	for _, line := range readStoredLines(t, "commands.jsonl") {
		c, err := DecodeCommand(line)
		assert.NilError(t, err)
		commands = append(commands, c)
	}
	return commands
}

func assertSnapshot(t *testing.T, s *State, name string) {
	t.Helper()
	data, err := s.Snapshot()
	assert.NilError(t, err)
	assert.Equal(t, string(data), string(readStored(t, name)))
}

// Guards against a log or message of an earlier build that cannot be read after
// an update, because a command or a field got another name in the JSON form.
func TestStoredCommands(t *testing.T) {
	lines := readStoredLines(t, "commands.jsonl")
	found := map[string]bool{}
	for i, c := range readStoredCommands(t) {
		encoded, err := EncodeCommand(c)
		assert.NilError(t, err)
		assert.Equal(t, string(encoded), string(lines[i]))
		found[reflect.TypeOf(c).Name()] = true
	}
	for f := range reflect.TypeFor[wireCommand]().Fields() {
		assert.Assert(t, found[f.Name], "no stored command of type %s", f.Name)
	}
}

// Guards against a snapshot of an earlier build that is restored only partly,
// because a field of the state got another name in the JSON form.
func TestStoredSnapshots(t *testing.T) {
	for _, name := range []string{"snapshot-of-commands.json", "snapshot-with-dropped-removals.json"} {
		t.Run(name, func(t *testing.T) {
			var s State
			assert.NilError(t, s.Restore(readStored(t, name)))
			assertSnapshot(t, &s, name)
		})
	}
}

// Guards against replicas of an earlier and of this build that diverge during an
// update, and against changes that observers of another build cannot read: the
// stored commands must lead to the stored changes and to the stored state.
func TestStoredCommandsLeadToStoredState(t *testing.T) {
	var s State
	lines := readStoredLines(t, "changes.jsonl")
	for i, c := range readStoredCommands(t) {
		index := uint64(firstStoredIndex + i)
		assert.Equal(t, s.Apply(index, storedAt, c), Accepted)
		data, err := json.Marshal(s.Since(index - 1))
		assert.NilError(t, err)
		assert.Equal(t, string(data), string(lines[i]))
	}
	assertSnapshot(t, &s, "snapshot-of-commands.json")
}

// Guards against an observer that loses parts of a change from another build.
func TestStoredChanges(t *testing.T) {
	for _, line := range readStoredLines(t, "changes.jsonl") {
		var c Change
		assert.NilError(t, json.Unmarshal(line, &c))
		data, err := json.Marshal(c)
		assert.NilError(t, err)
		assert.Equal(t, string(data), string(line))
	}
}
