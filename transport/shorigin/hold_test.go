package shorigin_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/transport/shorigin"
)

// bounded is an AnswerHold with a bound.
type bounded struct{ taken, bound int64 }

func (b *bounded) Reserve(n int64) error {
	if b.taken+n > b.bound {
		return errors.New("short")
	}
	b.taken += n
	return nil
}

func (b *bounded) Release(n int64) { b.taken -= n }

// Guards against an answer beyond the memory for it, against one that takes more than
// its size in the end, and against a backend server that is blamed for a lack of memory.
func TestAnswerHold(t *testing.T) {
	const size = 600 << 10
	for bound, kind := range map[int64]shorigin.Kind{2 << 20: "", 300 << 10: shorigin.KindNoMemory} {
		s := newStub(t, fmt.Sprintf("HTTP/1.1 200 OK\r\nId: {id}\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size)))
		r, hold := request("1", 5*time.Second), &bounded{bound: bound}
		r.Hold = hold
		answer, err := (&shorigin.Client{}).Do(context.Background(), s.address(), r)
		assert.Equal(t, shorigin.KindOf(err), kind, "%v", err)
		if kind == "" {
			assert.Equal(t, len(answer.Body), size)
			assert.Equal(t, hold.taken, int64(768<<10))
		}
	}
}

// Guards against more connections to backend servers than there are descriptors, and
// against a request that is not sent although an idle connection could be closed.
func TestMaxConnections(t *testing.T) {
	first, second, silent := newStub(t, good), newStub(t, good), newStub(t, replySilence)
	c := &shorigin.Client{MaxConnections: 1}
	for _, s := range []*stub{first, second, first} {
		_, err := c.Do(context.Background(), s.address(), request("1", 5*time.Second))
		assert.NilError(t, err)
	}
	assert.Equal(t, first.conns.Load(), int32(2))
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		_, err := c.Do(ctx, silent.address(), request("2", time.Minute))
		ended <- err
	}()
	for silent.requests.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	_, err := c.Do(context.Background(), second.address(), request("3", 5*time.Second))
	assert.Equal(t, shorigin.KindOf(err), shorigin.KindWithheld, "%v", err)
	cancel()
	assert.Equal(t, shorigin.KindOf(<-ended), shorigin.KindCanceled)
	_, err = c.Do(context.Background(), second.address(), request("4", 5*time.Second))
	assert.NilError(t, err)
}

// Guards against a long head beyond the memory for it, and against one that takes memory
// while the next answer is read.
func TestHeadHold(t *testing.T) {
	const size = 40 << 10
	field := "A: " + strings.Repeat("x", size) + "\r\n"
	other := "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 0\r\n" + field + "\r\n"
	own := "HTTP/1.1 200 OK\r\nId: {id}\r\nContent-Length: 0\r\n" + field + "\r\n"
	for _, c := range []struct {
		name, answers string
		bound         int64
		kind          shorigin.Kind
	}{
		{"room", own, 256 << 10, ""},
		{"no room", own, size, shorigin.KindNoMemory},
		{"room, behind another answer", other + own, 256 << 10, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newStub(t, c.answers)
			r, hold := request("1", 5*time.Second), &bounded{bound: c.bound}
			r.HeadHold = hold
			_, err := (&shorigin.Client{}).Do(context.Background(), s.address(), r)
			assert.Equal(t, shorigin.KindOf(err), c.kind, "%v", err)
			assert.Assert(t, hold.taken <= c.bound)
		})
	}
}
