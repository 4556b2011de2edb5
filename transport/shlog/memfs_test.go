package shlog_test

import (
	"errors"
	"io"
	"io/fs"
	"math/rand/v2"
	"path/filepath"
	"slices"

	"sequoiahollow/transport/shlog"
)

var errInjected = errors.New("injected")

// memFS is a file system in memory that records what is synced. If inject is set,
// it is called before each change. If it returns an error, the change fails: a
// write stores the first half of its data, other changes have no effect.
type memFS struct {
	files       map[string]*memFile
	syncedFiles map[string]*memFile // names that survive a crash
	inject      func(operation string) error
}

type memFile struct {
	fs     *memFS
	data   []byte
	synced []byte
}

func newMemFS() *memFS {
	return &memFS{files: map[string]*memFile{}, syncedFiles: map[string]*memFile{}}
}

func (m *memFS) injectedError(operation string) error {
	if m.inject == nil {
		return nil
	}
	return m.inject(operation)
}

func (m *memFS) MkdirAll(string) error { return nil }

func (m *memFS) Create(name string) (shlog.File, error) {
	if err := m.injectedError("create"); err != nil {
		return nil, err
	}
	m.files[name] = &memFile{fs: m}
	return m.files[name], nil
}

func (m *memFS) Open(name string) (shlog.File, error) {
	if f := m.files[name]; f != nil {
		return f, nil
	}
	return nil, fs.ErrNotExist
}

func (m *memFS) ReadFile(name string) ([]byte, error) {
	if f := m.files[name]; f != nil {
		return slices.Clone(f.data), nil
	}
	return nil, fs.ErrNotExist
}

func (m *memFS) List(dir string) ([]string, error) {
	var names []string
	for name := range m.files {
		if filepath.Dir(name) == dir {
			names = append(names, filepath.Base(name))
		}
	}
	slices.Sort(names)
	return names, nil
}

func (m *memFS) Rename(from, to string) error {
	if err := m.injectedError("rename"); err != nil {
		return err
	}
	m.files[to] = m.files[from]
	delete(m.files, from)
	return nil
}

func (m *memFS) Remove(name string) error {
	if err := m.injectedError("remove"); err != nil {
		return err
	}
	delete(m.files, name)
	return nil
}

func (m *memFS) SyncDir(string) error {
	if err := m.injectedError("sync folder"); err != nil {
		return err
	}
	m.syncedFiles = map[string]*memFile{}
	for name, f := range m.files {
		m.syncedFiles[name] = f
	}
	return nil
}

// crash discards a random part of what was not synced: either all or none of the
// creations, renames and removals since the last SyncDir, and a random suffix of
// the data that was added to each file since its last Sync.
func (m *memFS) crash(rng *rand.Rand) {
	m.inject = nil
	if rng.IntN(2) == 0 {
		m.files = m.syncedFiles
	}
	files := map[string]*memFile{}
	for name, f := range m.files {
		content := slices.Clone(f.synced)
		if rest := len(f.data) - len(content); rest > 0 {
			content = append(content, f.data[len(content):len(content)+rng.IntN(rest+1)]...)
		}
		files[name] = &memFile{fs: m, data: content, synced: slices.Clone(content)}
	}
	m.files = files
	m.syncedFiles = map[string]*memFile{}
	for name, f := range files {
		m.syncedFiles[name] = f
	}
}

func (f *memFile) ReadAt(p []byte, offset int64) (int, error) {
	if offset > int64(len(f.data)) {
		return 0, io.EOF
	}
	n := copy(p, f.data[offset:])
	if n < len(p) {
		return n, io.EOF
	}
	return n, nil
}

func (f *memFile) WriteAt(p []byte, offset int64) (int, error) {
	err := f.fs.injectedError("write")
	if err != nil {
		p = p[:len(p)/2]
	}
	if missing := int(offset) + len(p) - len(f.data); missing > 0 {
		f.data = append(f.data, make([]byte, missing)...)
	}
	return copy(f.data[offset:], p), err
}

func (f *memFile) Truncate(size int64) error {
	if err := f.fs.injectedError("truncate"); err != nil {
		return err
	}
	f.data = f.data[:size]
	return nil
}

func (f *memFile) Sync() error {
	if err := f.fs.injectedError("sync"); err != nil {
		return err
	}
	f.synced = slices.Clone(f.data)
	return nil
}

func (f *memFile) Close() error { return nil }
