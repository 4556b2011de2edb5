package shfleet

import (
	"testing"
	"time"
)

// FuzzCommand guards against a command that makes a control VM panic when it is
// committed: all of them would, again after each restart.
func FuzzCommand(f *testing.F) {
	for _, line := range readStoredLines(f, "commands.jsonl") {
		f.Add(line)
	}
	f.Add([]byte(`{}`))
	f.Add([]byte(`{"putBackends":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := DecodeCommand(data)
		if err != nil {
			return
		}
		var s State
		for i := range uint64(3) {
			s.Apply(i+1, time.Unix(int64(i), 0), c)
		}
		v := View{}.Apply(s.Since(0))
		v.Apply(s.Since(2))
		snapshot, err := s.Snapshot()
		if err != nil {
			t.Fatalf("snapshot after a committed command: %v", err)
		}
		var restored State
		if err := restored.Restore(snapshot); err != nil {
			t.Fatalf("restore of an own snapshot: %v", err)
		}
	})
}

// FuzzSnapshot guards against a damaged snapshot that makes a control VM panic
// instead of refusing it.
func FuzzSnapshot(f *testing.F) {
	for _, name := range []string{"snapshot-of-commands.json", "snapshot-with-dropped-removals.json"} {
		for _, line := range readStoredLines(f, name) {
			f.Add(line)
		}
	}
	f.Fuzz(func(_ *testing.T, data []byte) {
		var s State
		if s.Restore(data) != nil {
			return
		}
		s.Since(0)
		s.Apply(s.Index+1, time.Unix(1, 0), PutEntry{Entry: Entry{VM: "e"}})
	})
}
