package shusage_test

import (
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/internal/shusage"
)

// Guards against reading the wrong fields of /proc/PID/stat: CPU and OfProcess
// must agree on the CPU time of this process.
func TestOfProcess(t *testing.T) {
	for shusage.CPU() < 100*time.Millisecond {
		shusage.Heap()
	}
	before := shusage.CPU()
	p, err := shusage.OfProcess(os.Getpid())
	assert.NilError(t, err)
	after := shusage.CPU()
	// User and system time are each rounded down to 10 ms.
	assert.Assert(t, p.CPU >= before-20*time.Millisecond, "%v, %v", p.CPU, before)
	assert.Assert(t, p.CPU <= after+20*time.Millisecond, "%v, %v", p.CPU, after)
	assert.Assert(t, p.Resident > 1<<20 && p.Resident < 1<<32, "%d", p.Resident)
}
