// Package shlogqueue writes log lines without ever blocking the writer.
//
// Lines wait in a bounded queue for one goroutine that writes them. Lines are
// dropped when the queue is full, when the destination fails, and after Close.
// The goroutine reports the number of lines dropped since its last report before
// it writes the next queued line, and once more when it ends.
package shlogqueue

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// queueCapacity is the number of lines that the queue holds. At about 400 bytes
// per line, a full queue takes about 800 KiB.
const queueCapacity = 2048

// Queue is an io.Writer that takes one log line per Write. Make one with New.
type Queue struct {
	// mu guards closed, so that no Write sends on lines after Close has closed it.
	mu     sync.RWMutex
	closed bool
	lines  chan []byte
	done   chan struct{}
	// unreported counts the dropped lines since the last report.
	unreported   atomic.Uint64
	droppedTotal atomic.Uint64
}

// New returns a Queue that writes to w from its own goroutine.
func New(w io.Writer) *Queue {
	q := &Queue{lines: make(chan []byte, queueCapacity), done: make(chan struct{})}
	go q.run(w)
	return q
}

// Write implements io.Writer. It queues a copy of line, or drops the line if the
// queue is full or closed. It never returns an error.
func (q *Queue) Write(line []byte) (int, error) {
	q.mu.RLock()
	defer q.mu.RUnlock()
	if q.closed {
		q.drop()
		return len(line), nil
	}
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.drop()
	}
	return len(line), nil
}

func (q *Queue) drop() {
	q.unreported.Add(1)
	q.droppedTotal.Add(1)
}

// Dropped returns the number of lines dropped since New.
func (q *Queue) Dropped() uint64 { return q.droppedTotal.Load() }

// Close writes the queued lines and stops the goroutine. Call it once.
func (q *Queue) Close() {
	q.mu.Lock()
	q.closed = true
	close(q.lines)
	q.mu.Unlock()
	<-q.done
}

func (q *Queue) run(w io.Writer) {
	defer close(q.done)
	for line := range q.lines {
		q.report(w)
		// An error of w cannot be logged, because w is where errors are logged.
		if _, err := w.Write(line); err != nil {
			q.drop()
		}
	}
	q.report(w)
}

// report writes the number of dropped lines, if any. If that fails, the next
// report includes them.
func (q *Queue) report(w io.Writer) {
	n := q.unreported.Swap(0)
	if n == 0 {
		return
	}
	if _, err := fmt.Fprintf(w, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"count\":%d}\n", n); err != nil {
		q.unreported.Add(n)
	}
}
