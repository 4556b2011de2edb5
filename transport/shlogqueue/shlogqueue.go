// Package shlogqueue writes log lines without ever blocking the writer.
//
// Lines wait in a bounded queue for one goroutine that writes them. When the
// destination is too slow and the queue is full, lines are dropped and counted;
// a line that states the number follows as soon as there is room.
package shlogqueue

import (
	"fmt"
	"io"
	"sync/atomic"
)

// queuedLines bounds the lines that wait, about 400 bytes each.
const queuedLines = 2048

// Queue is an io.Writer that takes one line per Write. Make one with New.
type Queue struct {
	lines   chan []byte
	dropped atomic.Uint64
	total   atomic.Uint64
	closing chan struct{}
	done    chan struct{}
}

// New returns a queue in front of w.
func New(w io.Writer) *Queue {
	q := &Queue{lines: make(chan []byte, queuedLines), closing: make(chan struct{}), done: make(chan struct{})}
	go q.run(w)
	return q
}

// Write implements io.Writer. It never fails.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
		q.total.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (q *Queue) Dropped() uint64 { return q.total.Load() }

// Close writes what waits and returns.
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

// write writes a line. There is nowhere to report that standard output is gone.
func (q *Queue) write(w io.Writer, line []byte) {
	if n := q.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"count\":%d}\n", n)
	}
	_, _ = w.Write(line)
}
