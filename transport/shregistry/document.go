package shregistry

import (
	"context"
	"sync"
	"time"

	"sequoiahollow/coordination/shfleet"
)

const (
	// maxReads bounds the documents that are read from the leader at a time. Each takes
	// a multiple of its size until it is decoded. Further calls share the next read.
	maxReads = 4
	// readTimeout bounds a read. It is that of the calls of operators.
	readTimeout = 900 * time.Millisecond
)

// documentReads shares reads of the document between calls.
type documentReads struct {
	mu     sync.Mutex
	active int
	// next is the read that calls wait for while there are maxReads, nil if there is
	// none.
	next *documentRead
}

// documentRead is one read. Its result is set before done is closed.
type documentRead struct {
	done     chan struct{}
	document shfleet.Document
	err      error
}

// Document returns the document in force, confirmed by a quorum, as the operator
// sent it: Source is set, but Table is empty. The version is zero before the first
// document. Calls may share one Source, which must not be changed.
func (r *Registry) Document(ctx context.Context) (shfleet.Document, error) {
	read := r.joinRead()
	select {
	case <-read.done:
		return read.document, read.err
	case <-ctx.Done():
		return shfleet.Document{}, &Error{Op: methodDocument, Kind: KindUnavailable, Err: ctx.Err()}
	}
}

// joinRead returns a read that has not begun before the call.
func (r *Registry) joinRead() *documentRead {
	d := &r.documents
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.next != nil {
		return d.next
	}
	read := &documentRead{done: make(chan struct{})}
	if d.active >= maxReads {
		d.next = read
		return read
	}
	d.active++
	go r.readDocuments(read)
	return read
}

// readDocuments reads, then makes the next read if calls wait for one.
func (r *Registry) readDocuments(read *documentRead) {
	d := &r.documents
	for read != nil {
		ctx, cancel := context.WithTimeout(r.ctx, readTimeout)
		read.document, read.err = leaderCall[shfleet.Document](ctx, r, methodDocument, empty{})
		cancel()
		close(read.done)
		d.mu.Lock()
		read, d.next = d.next, nil
		if read == nil {
			d.active--
		}
		d.mu.Unlock()
	}
}
