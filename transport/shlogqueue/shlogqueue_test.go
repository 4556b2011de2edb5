package shlogqueue_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
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

// reportedCounts returns the counts of all reports of dropped lines, in order.
func reportedCounts(t *testing.T, text string) []uint64 {
	t.Helper()
	var counts []uint64
	for line := range strings.Lines(text) {
		if !strings.HasPrefix(line, "{") {
			continue
		}
		var report struct {
			Msg   string `json:"msg"`
			Count uint64 `json:"count"`
		}
		assert.NilError(t, json.Unmarshal([]byte(line), &report))
		assert.Equal(t, report.Msg, "log lines dropped")
		counts = append(counts, report.Count)
	}
	return counts
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
	// There are two reports if lines are dropped before the goroutine of the
	// queue first runs, and more while it writes the first report.
	reported := uint64(0)
	for _, count := range reportedCounts(t, text) {
		reported += count
	}
	assert.Equal(t, reported, dropped, "the reports do not add up to the number of dropped lines")
}

// Guards against a line that is dropped during the writing of a report and is in
// no later report, or in both.
func TestLinesDroppedDuringReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &blockingWriter{open: make(chan struct{})}
		q := shlogqueue.New(g)
		lines := 0
		write := func() {
			fmt.Fprintf(q, "line %d\n", lines)
			lines++
		}
		writeUntilDropped := func(total uint64) {
			for q.Dropped() < total {
				assert.Assert(t, lines < 5000, "only %d lines were dropped", q.Dropped())
				write()
			}
		}
		write()
		synctest.Wait() // The queue is writing line 0.
		writeUntilDropped(3)
		g.open <- struct{}{}
		synctest.Wait() // The queue is writing the first report.
		writeUntilDropped(5)
		close(g.open)
		q.Close()
		text := g.text.String()
		assert.DeepEqual(t, reportedCounts(t, text), []uint64{3, 2})
		assert.Equal(t, strings.Count(text, "line "), lines-5)
	})
}

// Guards against queued lines that are lost when a process ends.
func TestClose(t *testing.T) {
	var b bytes.Buffer
	q := shlogqueue.New(&b)
	fmt.Fprint(q, "last\n")
	q.Close()
	assert.Equal(t, b.String(), "last\n")
}

// Guards against queued lines that are lost when Close meets a goroutine that has
// just found the queue empty.
func TestCloseRightAfterWrite(t *testing.T) {
	for range 20000 {
		var b bytes.Buffer
		q := shlogqueue.New(&b)
		fmt.Fprint(q, "last\n")
		q.Close()
		assert.Equal(t, b.String(), "last\n")
	}
}

// failingWriter fails while failing is set.
type failingWriter struct {
	failing bool
	text    bytes.Buffer
}

func (f *failingWriter) Write(p []byte) (int, error) {
	if f.failing {
		return 0, errors.New("write failed")
	}
	return f.text.Write(p)
}

// Guards against lines that are lost without being counted: written after Close,
// or while the destination fails.
func TestUncountedLines(t *testing.T) {
	t.Run("after Close", func(t *testing.T) {
		q := shlogqueue.New(&bytes.Buffer{})
		q.Close()
		fmt.Fprint(q, "late\n")
		assert.Equal(t, q.Dropped(), uint64(1))
	})
	t.Run("destination fails", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := &failingWriter{failing: true}
			q := shlogqueue.New(f)
			fmt.Fprint(q, "first\n")
			synctest.Wait()
			fmt.Fprint(q, "second\n")
			synctest.Wait()
			f.failing = false
			q.Close()
			assert.Equal(t, q.Dropped(), uint64(2))
			assert.DeepEqual(t, reportedCounts(t, f.text.String()), []uint64{2})
		})
	})
}
