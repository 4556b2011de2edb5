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

// memFS is a file system in memory that knows what is synced. Inject, if set,
// is asked before each change; with an error, a write is done by half and
// anything else is not done.
type memFS struct {
	files  map[string]*memFile
	synced map[string]*memFile // names that survive a crash
	inject func(operation string) error
}

type memFile struct {
	fs     *memFS
	data   []byte
	synced []byte
}

func newMemFS() *memFS {
	return &memFS{files: map[string]*memFile{}, synced: map[string]*memFile{}}
}

func (m *memFS) allowed(operation string) error {
	if m.inject == nil {
		return nil
	}
	return m.inject(operation)
}

func (m *memFS) MkdirAll(string) error { return nil }

func (m *memFS) Create(name string) (shlog.File, error) {
	if err := m.allowed("create"); err != nil {
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
	if err := m.allowed("rename"); err != nil {
		return err
	}
	m.files[to] = m.files[from]
	delete(m.files, from)
	return nil
}

func (m *memFS) Remove(name string) error {
	if err := m.allowed("remove"); err != nil {
		return err
	}
	delete(m.files, name)
	return nil
}

func (m *memFS) SyncDir(string) error {
	if err := m.allowed("sync folder"); err != nil {
		return err
	}
	m.synced = map[string]*memFile{}
	for name, f := range m.files {
		m.synced[name] = f
	}
	return nil
}

// crash loses what was not synced, or some of it. Removals and creations that
// were not synced may be lost, in the order of their names at most from some
// point on, as file systems with a journal do.
func (m *memFS) crash(rng *rand.Rand) {
	m.inject = nil
	if rng.IntN(2) == 0 {
		m.files = m.synced
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
	m.synced = map[string]*memFile{}
	for name, f := range files {
		m.synced[name] = f
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
	err := f.fs.allowed("write")
	if err != nil {
		p = p[:len(p)/2]
	}
	if missing := int(offset) + len(p) - len(f.data); missing > 0 {
		f.data = append(f.data, make([]byte, missing)...)
	}
	return copy(f.data[offset:], p), err
}

func (f *memFile) Truncate(size int64) error {
	if err := f.fs.allowed("truncate"); err != nil {
		return err
	}
	f.data = f.data[:size]
	return nil
}

func (f *memFile) Sync() error {
	if err := f.fs.allowed("sync"); err != nil {
		return err
	}
	f.synced = slices.Clone(f.data)
	return nil
}

func (f *memFile) Close() error { return nil }
