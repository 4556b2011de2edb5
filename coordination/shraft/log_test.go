package shraft

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against large entries before a snapshot that stay in memory because they are
// few, and against a member that needs a snapshot for one missed small entry.
func TestTrailingEntriesAreBounded(t *testing.T) {
	for name, c := range map[string]struct {
		size  int
		limit uint64
		want  uint64 // the first of entries 11 to 20 that is kept
	}{
		"small":                 {10, 100, 11},
		"few":                   {10, 3, 18},
		"large":                 {400, 100, 19},
		"larger than the bound": {1001, 100, 21},
	} {
		t.Run(name, func(t *testing.T) {
			l := raftLog{prevIndex: 10}
			for i := range uint64(10) {
				l.entries = append(l.entries, Entry{Index: 11 + i, Data: make([]byte, c.size)})
			}
			assert.Equal(t, l.trailing(20, c.limit, 1000), c.want)
		})
	}
}
