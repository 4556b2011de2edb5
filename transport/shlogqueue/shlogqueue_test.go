package shlogqueue_test

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/transport/shlogqueue"
)

// blockingWriter blocks each Write until open is closed or sends a value.
type blockingWriter struct {
	open chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (g *blockingWriter) Write(p []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.Write(p)
}

// Guards against a blocked standard output that blocks the callers of Write, and
// against lines that are dropped but not reported.
func TestBlockedDestination(t *testing.T) {
	g := &blockingWriter{open: make(chan struct{})}
	q := shlogqueue.New(g)
	const lines = 5000
	start := time.Now()
	for i := range lines {
		fmt.Fprintf(q, "line %d\n", i)
	}
	assert.Assert(t, time.Since(start) < time.Second)
	dropped := q.Dropped()
	assert.Assert(t, dropped > 0 && dropped < lines)
	close(g.open)
	q.Close()
	text := g.text.String()
	assert.Equal(t, uint64(strings.Count(text, "line ")), lines-dropped)
	assert.Assert(t, strings.Contains(text, fmt.Sprintf(`"count":%d`, dropped)), "the number of dropped lines is not told")
}

// Guards against queued lines that are lost when a process ends.
func TestClose(t *testing.T) {
	var b bytes.Buffer
	q := shlogqueue.New(&b)
	fmt.Fprint(q, "last\n")
	q.Close()
	assert.Equal(t, b.String(), "last\n")
}
