package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// enforceMemory kills a process that uses more than its memory, as the platform
// does, and starts it again after a short delay.
func (f *fleet) enforceMemory(d *daemon, limitMB int, ends *atomic.Int32) {
	peak := 0
	for {
		select {
		case <-f.stopping:
			f.run.say("%s used %d MB at most", d.name, peak)
			return
		case <-time.After(5 * time.Millisecond):
		}
		used := residentMB(d.pid())
		peak = max(peak, used)
		if used <= limitMB {
			continue
		}
		ends.Add(1)
		f.run.say("FAULT: %s uses %d MB of %d MB, the platform ends it", d.name, used, limitMB)
		d.signal(syscall.SIGKILL)
		<-d.done()
		time.Sleep(restartDelay)
		if f.start(d) != nil {
			return
		}
		f.run.say("%s is started again", d.name)
	}
}

// residentMB returns the resident memory of a process in MiB, 0 if it has ended.
func residentMB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return pages * os.Getpagesize() >> 20
}
