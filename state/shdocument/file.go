package shdocument

import (
	"fmt"
	"io"
	"io/fs"
	"os"
)

// ReadFile reads a file of at most limit bytes. It reads at most one byte more,
// so that a wrong file name cannot exhaust the memory. The error is an
// *fs.PathError.
func ReadFile(path string, limit int64) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	data, err := io.ReadAll(io.LimitReader(f, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, &fs.PathError{Op: "read", Path: path, Err: fmt.Errorf("larger than %d bytes", limit)}
	}
	return data, nil
}
