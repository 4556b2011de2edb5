package shentry

import (
	"errors"
	"io"
	"sync"
	"time"

	"sequoiahollow/coordination/shmemory"
)

// firstBuffer is the size in bytes of the buffer for an answer, which doubles up to
// bufferLimit. It is not reserved.
const firstBuffer = 4 << 10

// answerMemory is the memory that the answer to one attempt takes until it was received or,
// if it is longer than bufferLimit, passed on.
type answerMemory struct {
	// request has the bound; nil for none.
	request *shmemory.Request

	mu    sync.Mutex
	taken map[shmemory.Purpose]int64
	short bool
	// closed says that nothing more can be reserved.
	closed bool
}

// reserve takes n bytes. It may be called after release by the goroutine of the transport
// that reads the head of an answer which nobody waits for any more.
func (m *answerMemory) reserve(p shmemory.Purpose, n int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return errors.New("no memory for a long answer, or for one that nobody waits for")
	}
	err := m.request.Reserve(time.Now(), p, n)
	if e, ok := errors.AsType[*shmemory.Error](err); ok && e.Kind == shmemory.KindGivenUp {
		// The caller has left. The answer may be kept for a resend.
		return nil
	}
	if err != nil {
		m.short = true
		return err
	}
	if m.taken == nil {
		m.taken = map[shmemory.Purpose]int64{}
	}
	m.taken[p] += n
	return nil
}

// reserveHead leaves room to bodies: heads may not take all of the bound.
func (m *answerMemory) reserveHead(n int64) error { return m.reserve(shmemory.Heads, n) }

// isShort reports whether a reservation has failed.
func (m *answerMemory) isShort() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.short
}

// release returns everything.
func (m *answerMemory) release() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	for p, n := range m.taken {
		m.request.Release(p, n)
	}
	m.taken = nil
}

// readStart reads a body to its end, or a byte more than bufferLimit.
func (m *answerMemory) readStart(body io.Reader) ([]byte, error) {
	buffer := make([]byte, 0, firstBuffer)
	for {
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		switch {
		case errors.Is(err, io.EOF):
			return buffer, nil
		case err != nil:
			return nil, err
		case len(buffer) > bufferLimit:
			return buffer, nil
		case len(buffer) < cap(buffer):
			continue
		}
		size := min(2*cap(buffer), bufferLimit+1)
		if err := m.reserve(shmemory.Answers, int64(size)); err != nil {
			return nil, err
		}
		buffer = append(make([]byte, 0, size), buffer...)
	}
}
