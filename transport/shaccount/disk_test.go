package shaccount

import (
	"errors"
	"io"
	"io/fs"
	"slices"
	"sync"
	"syscall"

	"sequoiahollow/transport/shaccount/internal/shsegment"
)

var errSync = errors.New("sync fault")

// fakeDisk is a folder in memory that distinguishes written from synced bytes. A
// crash keeps the synced bytes and a part of the others.
type fakeDisk struct {
	mu       sync.Mutex
	files    map[string]*fakeFile
	capacity int
	failSync bool
	syncs    int
	// syncBlock, if set, blocks syncs until it is closed.
	syncBlock chan struct{}
	// step, if set, is called after each change with the name of the file. No other
	// change is made meanwhile.
	step   func(name string)
	stepMu sync.Mutex
}

type fakeFile struct {
	disk   *fakeDisk
	name   string
	data   []byte
	synced []byte
	// syncBlock, if set, blocks syncs of this file until it is closed.
	syncBlock chan struct{}
}

func newFakeDisk() *fakeDisk {
	return &fakeDisk{files: make(map[string]*fakeFile), capacity: 1 << 30}
}

// crash returns the disk as a restart finds it: keep returns how many of the
// unsynced bytes of a file survive.
func (d *fakeDisk) crash(keep func(unsynced int) int) *fakeDisk {
	d.mu.Lock()
	defer d.mu.Unlock()
	restarted := newFakeDisk()
	for name, f := range d.files {
		n := len(f.synced)
		if len(f.data) > n {
			n += keep(len(f.data) - n)
		}
		data := slices.Clone(f.data[:n])
		restarted.files[name] = &fakeFile{disk: restarted, name: name, data: data, synced: slices.Clone(data)}
	}
	return restarted
}

// changing returns the function that ends a change of a file.
func (d *fakeDisk) changing(name string) func() {
	d.stepMu.Lock()
	return func() {
		defer d.stepMu.Unlock()
		if d.step != nil {
			d.step(name)
		}
	}
}

func (d *fakeDisk) update(change func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	change()
}

// onlyFile returns the file of a disk that has one file.
func (d *fakeDisk) onlyFile() *fakeFile {
	for _, f := range d.files {
		return f
	}
	return nil
}

func (d *fakeDisk) used() int {
	n := 0
	for _, f := range d.files {
		n += len(f.data)
	}
	return n
}

func (d *fakeDisk) List() ([]string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var names []string
	for name := range d.files {
		names = append(names, name)
	}
	return names, nil
}

func (d *fakeDisk) Open(name string) (shsegment.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.files[name] == nil {
		d.files[name] = &fakeFile{disk: d, name: name}
	}
	return d.files[name], nil
}

func (d *fakeDisk) Read(name string) (shsegment.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.files[name] == nil {
		return nil, fs.ErrNotExist
	}
	return d.files[name], nil
}

func (d *fakeDisk) Sync() error { return nil }

func (f *fakeFile) ReadAt(p []byte, at int64) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if at >= int64(len(f.data)) {
		return 0, io.EOF
	}
	n := copy(p, f.data[at:])
	if n < len(p) {
		return n, io.EOF
	}
	return n, nil
}

func (f *fakeFile) WriteAt(p []byte, at int64) (int, error) {
	defer f.disk.changing(f.name)()
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	free := max(0, f.disk.capacity-f.disk.used())
	n := min(len(p), free)
	f.data = append(f.data[:at], p[:n]...)
	if n < len(p) {
		return n, syscall.ENOSPC
	}
	return n, nil
}

func (f *fakeFile) Sync() error {
	if f.syncBlock != nil {
		<-f.syncBlock
	}
	if f.disk.syncBlock != nil {
		<-f.disk.syncBlock
	}
	defer f.disk.changing(f.name)()
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	f.disk.syncs++
	if f.disk.failSync {
		return errSync
	}
	f.synced = slices.Clone(f.data)
	return nil
}

func (f *fakeFile) Truncate(size int64) error {
	defer f.disk.changing(f.name)()
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	f.data = f.data[:size]
	return nil
}

func (f *fakeFile) Size() (int64, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	return int64(len(f.data)), nil
}

func (f *fakeFile) Close() error { return nil }
