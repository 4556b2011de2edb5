// Package shlogqueue writes log lines without ever blocking the writer.
//
// Lines wait in a bounded queue for one goroutine that writes them. When the
// destination is too slow and the queue is full, new lines are dropped. The
// goroutine reports the number of lines dropped since its last report before it
// writes the next queued line.
package shlogqueue

import (
	"fmt"
	"io"
	"sync/atomic"
)

// queueCapacity is the number of lines that the queue holds. At about 400 bytes
// per line, a full queue takes about 800 KiB.
const queueCapacity = 2048

// Queue is an io.Writer that takes one log line per Write. Make one with New.
type Queue struct {
	lines chan []byte
	// unreported counts the dropped lines since the last report.
	unreported   atomic.Uint64
	droppedTotal atomic.Uint64
	closing      chan struct{}
	done         chan struct{}
}

// New returns a Queue that writes to w from its own goroutine.
func New(w io.Writer) *Queue {
	q := &Queue{lines: make(chan []byte, queueCapacity), closing: make(chan struct{}), done: make(chan struct{})}
	go q.run(w)
	return q
}

// Write implements io.Writer. It queues a copy of line, or drops the line if the
// queue is full. It never returns an error.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.unreported.Add(1)
		q.droppedTotal.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since New.
func (q *Queue) Dropped() uint64 { return q.droppedTotal.Load() }

// Close writes the queued lines and stops the goroutine. Call it once.
func (q *Queue) Close() {
	close(q.closing)
	<-q.done
}

func (q *Queue) run(w io.Writer) {
	defer close(q.done)
	for {
		select {
		case line := <-q.lines:
			q.write(w, line)
			continue
		default:
		}
		select {
		case line := <-q.lines:
			q.write(w, line)
		case <-q.closing:
			return
		}
	}
}

// write reports the dropped lines, if any, and writes line. It ignores errors of
// w, because w is where errors are logged.
func (q *Queue) write(w io.Writer, line []byte) {
	if n := q.unreported.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"count\":%d}\n", n)
	}
	_, _ = w.Write(line)
}
