package shlog_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiahollow/transport/shlog"
)

const dir = "log"

func open(t *testing.T, fs *memFS, segmentBytes int64) *shlog.Log {
	t.Helper()
	l, err := shlog.Open(dir, shlog.Options{FS: fs, SegmentBytes: segmentBytes})
	assert.NilError(t, err)
	return l
}

// contents returns the records from index on.
func contents(t *testing.T, l *shlog.Log, from uint64) []string {
	t.Helper()
	found := []string{}
	assert.NilError(t, l.Read(from, l.Next(), func(_ uint64, data []byte) error {
		found = append(found, string(data))
		return nil
	}))
	return found
}

func appendAll(t *testing.T, l *shlog.Log, first uint64, batches ...[]string) {
	t.Helper()
	for _, batch := range batches {
		var records [][]byte
		for _, r := range batch {
			records = append(records, []byte(r))
		}
		assert.NilError(t, l.Append(first, records...))
		first += uint64(len(batch))
	}
}

// Guards against records that are lost, reordered or restored when a suffix is
// replaced, a prefix dropped or the log reset, before and after reopening.
func TestOperations(t *testing.T) {
	fs := newMemFS()
	l := open(t, fs, 100)
	reopen := func(first uint64, records ...string) {
		t.Helper()
		want := append([]string{}, records...)
		assert.DeepEqual(t, contents(t, l, first), want)
		l = open(t, fs, 100)
		assert.Equal(t, l.Next(), first+uint64(len(want)))
		assert.DeepEqual(t, contents(t, l, first), want)
	}
	appendAll(t, l, 1, []string{"a", "b", "c"}, []string{"d"}, []string{"e", "f"})
	reopen(1, "a", "b", "c", "d", "e", "f")
	assert.NilError(t, l.Append(2, []byte("x")))
	reopen(1, "a", "x")
	assert.Equal(t, shlog.KindOf(l.Append(4, []byte("gap"))), shlog.KindIndex)
	appendAll(t, l, 3, []string{"y", "z"})
	assert.NilError(t, l.TruncateSuffix(4))
	reopen(1, "a", "x", "y")
	for i := range 20 {
		appendAll(t, l, uint64(4+i), []string{fmt.Sprint(i)})
	}
	assert.NilError(t, l.DropPrefix(20))
	assert.Assert(t, l.First() > 1 && l.First() <= 20)
	reopen(20, "16", "17", "18", "19")
	assert.NilError(t, l.Reset(100))
	reopen(100)
	appendAll(t, l, 100, []string{"after"})
	reopen(100, "after")
}

// Guards against a torn batch that makes Open fail, is read in part, or hides the
// batches before it. The segment is truncated at every byte of its last batch.
func TestTornTail(t *testing.T) {
	fs := newMemFS()
	l := open(t, fs, 1000)
	appendAll(t, l, 1, []string{"a", "b"})
	file := fs.files[dir+"/0000000000000001.segment"]
	intact := len(file.data)
	// Bytes of a whole segment in a record must not be mistaken for a frame.
	appendAll(t, l, 3, []string{"c", string(file.data), "d"})
	whole := slices.Clone(file.data)
	for size := intact; size < len(whole); size++ {
		file.data = slices.Clone(whole[:size])
		l := open(t, fs, 1000)
		assert.DeepEqual(t, contents(t, l, 1), []string{"a", "b"})
		assert.Equal(t, l.Torn(), int64(size-intact))
		appendAll(t, l, 3, []string{"next"})
		assert.DeepEqual(t, contents(t, open(t, fs, 1000), 1), []string{"a", "b", "next"})
	}
	t.Run("header", func(t *testing.T) {
		for size := range 40 {
			file.data = slices.Clone(whole[:size])
			l := open(t, fs, 1000)
			appendAll(t, l, 1, []string{"first"})
			assert.DeepEqual(t, contents(t, open(t, fs, 1000), 1), []string{"first"})
			file = fs.files[dir+"/0000000000000001.segment"]
		}
	})
}

// Guards against damage that is truncated or skipped without an error: each byte
// of the batch before the last one is damaged in turn.
func TestDamage(t *testing.T) {
	const header = 40
	for _, segmentBytes := range []int64{1000, 1} {
		fs := newMemFS()
		l := open(t, fs, segmentBytes)
		appendAll(t, l, 1, []string{"a", "b"}, []string{"c", "d"}, []string{"e"})
		name := dir + "/0000000000000001.segment"
		if segmentBytes == 1 {
			name = dir + "/0000000000000002.segment"
		}
		file := fs.files[name]
		// The header of a frame has 24 bytes and its body here 10.
		start, end := header, header+34
		if segmentBytes == 1000 {
			start, end = end, end+34
		}
		for at := start; at < end; at++ {
			file.data[at] ^= 0x40
			_, err := shlog.Open(dir, shlog.Options{FS: fs, SegmentBytes: segmentBytes})
			e, ok := errors.AsType[*shlog.Error](err)
			assert.Assert(t, ok && e.Kind == shlog.KindDamaged, "byte %d: %v", at, err)
			assert.Equal(t, e.File, name)
			assert.Equal(t, e.Offset, int64(start))
			found := []string{}
			report, err := shlog.Scan(dir, shlog.Options{FS: fs}, func(_ uint64, data []byte) error {
				found = append(found, string(data))
				return nil
			})
			assert.NilError(t, err)
			assert.DeepEqual(t, found, []string{"a", "b", "e"})
			assert.DeepEqual(t, report.Gaps, []shlog.Gap{{First: 3, Last: 4}})
			assert.Equal(t, len(report.Damage), 1)
			assert.Equal(t, report.Damage[0].File, name)
			assert.Equal(t, report.Damage[0].Offset, int64(start))
			file.data[at] ^= 0x40
		}
		assert.DeepEqual(t, contents(t, open(t, fs, segmentBytes), 1), []string{"a", "b", "c", "d", "e"})
	}
}

// Guards against a log that can still be used after its content became uncertain,
// and against one that cannot be used although a full disk left it intact.
func TestFailedOperations(t *testing.T) {
	for _, c := range []struct {
		name  string
		fails []string
		kind  shlog.Kind
	}{
		{"full disk", []string{"write"}, shlog.KindFull},
		{"full disk, not undone", []string{"write", "truncate"}, shlog.KindFailed},
		{"failed sync", []string{"sync"}, shlog.KindFailed},
	} {
		t.Run(c.name, func(t *testing.T) {
			fs := newMemFS()
			l := open(t, fs, 1000)
			appendAll(t, l, 1, []string{"a"})
			fs.inject = func(operation string) error {
				if slices.Contains(c.fails, operation) {
					return errInjected
				}
				return nil
			}
			err := l.Append(2, []byte("lost"))
			assert.Equal(t, shlog.KindOf(err), c.kind)
			assert.Assert(t, errors.Is(err, errInjected))
			fs.inject = nil
			err = l.Append(2, []byte("b"))
			if c.kind == shlog.KindFailed {
				assert.Equal(t, shlog.KindOf(err), c.kind)
				assert.Equal(t, shlog.KindOf(l.DropPrefix(2)), c.kind)
				assert.Equal(t, shlog.KindOf(l.Reset(9)), c.kind)
				return
			}
			assert.NilError(t, err)
			assert.DeepEqual(t, contents(t, open(t, fs, 1000), 1), []string{"a", "b"})
		})
	}
	t.Run("full disk at a new segment", func(t *testing.T) {
		fs := newMemFS()
		l := open(t, fs, 1)
		appendAll(t, l, 1, []string{"a"})
		for _, operation := range []string{"create", "write"} {
			fs.inject = func(o string) error {
				if o == operation {
					return errInjected
				}
				return nil
			}
			assert.Equal(t, shlog.KindOf(l.Append(2, []byte("lost"))), shlog.KindFull)
		}
		fs.inject = nil
		appendAll(t, l, 2, []string{"b"})
		assert.DeepEqual(t, contents(t, open(t, fs, 1), 1), []string{"a", "b"})
	})
}

// model is the expected content of a log.
type model struct {
	first   uint64 // records before it may be removed
	records []string
}

func (m model) next() uint64 { return m.first + uint64(len(m.records)) }

// matches reports whether an opened log has the expected content.
func (m model) matches(t *testing.T, l *shlog.Log) bool {
	t.Helper()
	if l.Next() != m.next() || l.First() > m.first {
		return false
	}
	return slices.Equal(contents(t, l, m.first), m.records)
}

// step does a random operation and returns the expected content after it.
func (m model) step(rng *rand.Rand, l *shlog.Log, number int) (model, error) {
	within := func() uint64 { return m.first + rng.Uint64N(uint64(len(m.records))+1) }
	switch rng.IntN(8) {
	case 0:
		at := within()
		after := model{m.first, slices.Clone(m.records[:at-m.first])}
		return after, l.TruncateSuffix(at)
	case 1:
		at := within()
		return model{at, m.records[at-m.first:]}, l.DropPrefix(at)
	case 2:
		next := m.next() + rng.Uint64N(5)
		return model{first: next}, l.Reset(next)
	}
	at := m.next()
	if rng.IntN(4) == 0 {
		at = within()
	}
	after := model{m.first, slices.Clone(m.records[:at-m.first])}
	var batch [][]byte
	for i := range 1 + rng.IntN(4) {
		record := fmt.Sprintf("%d.%d", number, i)
		after.records = append(after.records, record)
		batch = append(batch, []byte(record))
	}
	return after, l.Append(at, batch...)
}

// Guards against a log that loses synced records, keeps a part of an operation or
// does not open after a crash at any file operation.
func TestCrashes(t *testing.T) {
	for seed := range uint64(400) {
		rng := rand.New(rand.NewPCG(seed, 2))
		fs := newMemFS()
		l := open(t, fs, 120)
		now := model{first: 1}
		for number := range 60 {
			budget := rng.IntN(40)
			fs.inject = func(string) error {
				budget--
				if budget < 0 {
					return errInjected
				}
				return nil
			}
			after, err := now.step(rng, l, number)
			if err == nil {
				now = after
				continue
			}
			fs.crash(rng)
			l = open(t, fs, 120)
			if after.matches(t, l) {
				now = after
			}
			assert.Assert(t, now.matches(t, l), "seed %d step %d: %v\nbefore %v\nafter %v", seed, number, err, now, after)
		}
	}
}

// Guards against a file that is empty, mixes the old and new content or is
// unreadable after a crash at any point, and against damage that is not detected.
func TestFiles(t *testing.T) {
	const name = "data/meta"
	for fails := range 8 {
		for seed := range uint64(20) {
			fs := newMemFS()
			assert.NilError(t, shlog.SaveFile(fs, name, []byte("old")))
			budget := fails
			fs.inject = func(string) error {
				budget--
				if budget < 0 {
					return errInjected
				}
				return nil
			}
			err := shlog.SaveFile(fs, name, []byte("newer"))
			fs.crash(rand.New(rand.NewPCG(seed, 3)))
			data, found, loadErr := shlog.LoadFile(fs, name)
			assert.NilError(t, loadErr)
			assert.Assert(t, found)
			if err == nil {
				assert.Equal(t, string(data), "newer")
			} else {
				assert.Assert(t, string(data) == "old" || string(data) == "newer", "%q", data)
			}
		}
	}
	fs := newMemFS()
	_, found, err := shlog.LoadFile(fs, name)
	assert.Assert(t, !found && err == nil)
	assert.NilError(t, shlog.SaveFile(fs, name, []byte("old")))
	fs.files[name].data[1] ^= 1
	_, _, err = shlog.LoadFile(fs, name)
	assert.Equal(t, shlog.KindOf(err), shlog.KindDamaged)
}

// Guards against an OS whose operations differ from those of memFS.
func TestOS(t *testing.T) {
	folder := t.TempDir() + "/deep/log"
	l, err := shlog.Open(folder, shlog.Options{SegmentBytes: 64})
	assert.NilError(t, err)
	appendAll(t, l, 1, []string{"a", "b"}, []string{"c"}, []string{"d"})
	assert.NilError(t, l.DropPrefix(3))
	assert.NilError(t, l.Close())
	assert.Equal(t, shlog.KindOf(l.Append(5, nil)), shlog.KindFailed)
	l, err = shlog.Open(folder, shlog.Options{})
	assert.NilError(t, err)
	assert.DeepEqual(t, contents(t, l, 3), []string{"c", "d"})
	assert.NilError(t, l.Close())
	assert.NilError(t, shlog.SaveFile(shlog.OS{}, folder+"/meta", []byte("x")))
	data, found, err := shlog.LoadFile(shlog.OS{}, folder+"/meta")
	assert.NilError(t, err)
	assert.Assert(t, found && string(data) == "x")
}
