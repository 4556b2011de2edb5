// Package shusage reads the CPU time and memory of processes, for benchmarks and
// measurements.
package shusage

import (
	"fmt"
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// clockTick is the unit of CPU times in /proc, which is 1/100 s on all Linux
// architectures that Go supports.
const clockTick = 10 * time.Millisecond

// CPU returns the sum of the user and system time of this process.
func CPU() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Heap returns the live bytes of the Go heap after a collection.
func Heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// Process is the resource usage of a process.
type Process struct {
	CPU time.Duration
	// Resident is the resident memory in bytes.
	Resident uint64
}

// OfProcess reads the resource usage of a process from /proc.
func OfProcess(pid int) (Process, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Process{}, err
	}
	// The command name, in parentheses, may contain spaces.
	text := string(data)
	fields := strings.Fields(text[strings.LastIndex(text, ")")+1:])
	const userTime, systemTime, resident = 11, 12, 21
	if len(fields) <= resident {
		return Process{}, fmt.Errorf("process %d: %d fields in stat", pid, len(fields))
	}
	var values [3]uint64
	for i, field := range []int{userTime, systemTime, resident} {
		if values[i], err = strconv.ParseUint(fields[field], 10, 64); err != nil {
			return Process{}, err
		}
	}
	return Process{
		CPU:      time.Duration(values[0]+values[1]) * clockTick,
		Resident: values[2] * uint64(os.Getpagesize()),
	}, nil
}
