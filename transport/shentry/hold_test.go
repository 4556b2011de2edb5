package shentry

import (
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/coordination/shmemory"
	"sequoiahollow/protocol/shwire"
)

// newMemory returns the memory of a request whose process has limit bytes.
func newMemory(t *testing.T, limit int64) *shmemory.Request {
	t.Helper()
	b := &shmemory.Budget{Limit: limit}
	h, err := b.Begin(time.Now(), func() {})
	assert.NilError(t, err)
	r, err := h.Start(time.Now(), true)
	assert.NilError(t, err)
	assert.Assert(t, r.Serving())
	return r
}

// Guards against answers whose memory is not reserved, and against a lack of memory that
// passes for an answer or for a proof that the request was not run.
func TestAnswerMemory(t *testing.T) {
	const little, plenty = 64 << 10, 4 << 20
	id := shwire.HeaderRequestID + ": " + testID.String() + "\r\n"
	long := strings.Repeat("x", 60<<10)
	for _, c := range []struct {
		name, answer string
		fault        Fault
	}{
		{"short", responseText("200 OK", id, "body", 4), ""},
		{"long head", responseText("200 OK", id+"A: "+long+"\r\n", "", 0), FaultMemory},
		{"long body", responseText("200 OK", id, long, len(long)), FaultMemory},
		{"body without a length", "HTTP/1.1 200 OK\r\n" + id + "\r\n" + long, FaultMemory},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, limit := range []int64{little, plenty} {
				address, _ := rawServer(t, c.answer, 1)
				o := newRequest(address)
				o.Memory, o.FirstByteTimeout = newMemory(t, limit), 10*time.Second
				_, fault := NewDispatcher().Send(context.Background(), o)
				if limit == plenty {
					assert.Equal(t, fault, Fault(""))
					continue
				}
				assert.Equal(t, fault, c.fault)
				assert.Assert(t, !fault.ProvesNotRun())
			}
			address, _ := rawServer(t, c.answer, 1)
			o := newRequest(address)
			o.Short, o.FirstByteTimeout = true, 10*time.Second
			_, fault := NewDispatcher().Send(context.Background(), o)
			assert.Equal(t, fault != "", c.fault != "", "fault %q", fault)
		})
	}
}
