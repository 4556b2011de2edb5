package shcrowd

import (
	"testing"

	"golang.org/x/sys/unix"
)

// FillDisk makes each write of a process to a file fail, as on a full disk, or no longer.
func FillDisk(t testing.TB, pid int, full bool) {
	t.Helper()
	var limit unix.Rlimit
	if err := unix.Prlimit(pid, unix.RLIMIT_FSIZE, nil, &limit); err != nil {
		t.Fatal(err)
	}
	limit.Cur = limit.Max
	if full {
		limit.Cur = 0
	}
	if err := unix.Prlimit(pid, unix.RLIMIT_FSIZE, &limit, nil); err != nil {
		t.Fatal(err)
	}
}

// FillDisk is FillDisk for the process.
func (p *Process) FillDisk(full bool) {
	p.t.Helper()
	FillDisk(p.t, p.command.Process.Pid, full)
}
