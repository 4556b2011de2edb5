package shsegment

import (
	"io"
	"os"
	"path/filepath"
)

// Folder is the folder that holds the segments and what is derived from them. Tests
// implement it to inject faults.
type Folder interface {
	// List returns the names of all files.
	List() ([]string, error)
	// Open opens a file for reading and writing and creates it if missing.
	Open(name string) (File, error)
	// Read opens a file for reading. The error wraps fs.ErrNotExist if it is missing.
	Read(name string) (File, error)
	// Sync makes the creation of files durable.
	Sync() error
}

// File is a file of a Folder.
type File interface {
	io.ReaderAt
	io.WriterAt
	io.Closer
	Sync() error
	Truncate(size int64) error
	Size() (int64, error)
}

// OSFolder is the Folder at a path of the file system.
type OSFolder string

// List implements Folder.
func (d OSFolder) List() ([]string, error) {
	entries, err := os.ReadDir(string(d))
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, nil
}

// Open implements Folder.
func (d OSFolder) Open(name string) (File, error) {
	f, err := os.OpenFile(filepath.Join(string(d), name), os.O_RDWR|os.O_CREATE, 0o640)
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

// Read implements Folder.
func (d OSFolder) Read(name string) (File, error) {
	f, err := os.Open(filepath.Join(string(d), name))
	if err != nil {
		return nil, err
	}
	return osFile{f}, nil
}

// Sync implements Folder.
func (d OSFolder) Sync() error {
	f, err := os.Open(string(d))
	if err != nil {
		return err
	}
	defer f.Close()
	return f.Sync()
}

type osFile struct{ *os.File }

// Size implements File.
func (f osFile) Size() (int64, error) {
	info, err := f.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}
