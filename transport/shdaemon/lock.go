package shdaemon

import (
	"fmt"
	"os"
	"path/filepath"
	"syscall"
)

// lockFolder creates a data folder if it does not exist, and locks it until the
// file is closed or the process ends. Two processes on one folder would damage
// its logs.
func lockFolder(folder string) (*os.File, error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, err
	}
	f, err := os.OpenFile(filepath.Join(folder, "lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close()
		return nil, fmt.Errorf("data folder %s is in use by another process: %w", folder, err)
	}
	return f, nil
}
