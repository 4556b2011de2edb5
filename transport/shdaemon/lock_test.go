package shdaemon

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against two processes that write to one data folder.
func TestLockFolder(t *testing.T) {
	folder := t.TempDir()
	first, err := lockFolder(folder)
	assert.NilError(t, err)
	_, err = lockFolder(folder)
	assert.ErrorContains(t, err, "in use by another process")
	assert.NilError(t, first.Close())
	again, err := lockFolder(folder)
	assert.NilError(t, err)
	assert.NilError(t, again.Close())
}
