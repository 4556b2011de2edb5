package shlog

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
)

// FS has the file operations that this package needs. Tests inject faults
// through it.
type FS interface {
	MkdirAll(dir string) error
	// Create makes an empty file or empties an existing one.
	Create(name string) (File, error)
	// Open opens an existing file for reading and writing.
	Open(name string) (File, error)
	ReadFile(name string) ([]byte, error)
	// List returns the names of the files in a folder, sorted.
	List(dir string) ([]string, error)
	Rename(from, to string) error
	Remove(name string) error
	// SyncDir makes changes to the names in a folder durable.
	SyncDir(dir string) error
}

// File is an open file.
type File interface {
	io.ReaderAt
	io.WriterAt
	io.Closer
	Truncate(size int64) error
	Sync() error
}

const (
	filePermissions   = 0o600
	folderPermissions = 0o700
)

// OS is the FS of the operating system.
type OS struct{}

// MkdirAll implements FS.
func (OS) MkdirAll(dir string) error { return os.MkdirAll(dir, folderPermissions) }

// Create implements FS.
func (OS) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_RDWR|os.O_CREATE|os.O_TRUNC, filePermissions)
}

// Open implements FS.
func (OS) Open(name string) (File, error) { return os.OpenFile(name, os.O_RDWR, 0) }

// ReadFile implements FS.
func (OS) ReadFile(name string) ([]byte, error) { return os.ReadFile(name) }

// List implements FS.
func (OS) List(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

// Rename implements FS.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (OS) Remove(name string) error { return os.Remove(name) }

// SyncDir implements FS.
func (OS) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// temporarySuffix is the suffix of a file that is being written. A crash may
// leave such a file.
const temporarySuffix = ".new"

var errChecksum = errors.New("checksum does not match")

// SaveFile replaces a file by one with the given content and a checksum. The
// file and its folder are synced; after a crash the file has either the former or
// the new content. An error has KindFull or KindFile if the file still has the
// former content, and KindFailed if it may have either.
func SaveFile(f FS, name string, data []byte) error {
	const op = "save file"
	temporary := name + temporarySuffix
	file, err := f.Create(temporary)
	if err != nil {
		return newError(op, KindFile, err)
	}
	content := appendChecksum(data)
	if _, err := file.WriteAt(content, 0); err != nil {
		return newError(op, KindFull, errors.Join(err, file.Close()))
	}
	if err := file.Sync(); err != nil {
		return newError(op, KindFile, errors.Join(err, file.Close()))
	}
	if err := file.Close(); err != nil {
		return newError(op, KindFile, err)
	}
	if err := f.Rename(temporary, name); err != nil {
		return newError(op, KindFailed, err)
	}
	if err := f.SyncDir(filepath.Dir(name)); err != nil {
		return newError(op, KindFailed, err)
	}
	return nil
}

// LoadFile returns the content that SaveFile stored, and whether the file exists.
// An error has KindDamaged if the content does not match its checksum.
func LoadFile(f FS, name string) ([]byte, bool, error) {
	const op = "load file"
	content, err := f.ReadFile(name)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, false, nil
	}
	if err != nil {
		return nil, false, newError(op, KindFile, err)
	}
	data, ok := verifyChecksum(content)
	if !ok {
		return nil, false, damaged(op, name, 0, errChecksum)
	}
	return data, true, nil
}
