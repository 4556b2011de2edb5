package shmemory_test

import (
	"errors"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"sequoiahollow/coordination/shmemory"
)

var start = time.Unix(1000, 0)

// client is a connection of a test. Its requests are those in progress.
type client struct {
	*shmemory.Hold
	requests []*shmemory.Request
	evicted  int
	// safe says that a request is served.
	safe   bool
	closed bool
}

func begin(b *shmemory.Budget, now time.Time) (*client, error) {
	c := &client{}
	h, err := b.Begin(now, func() { c.evicted++ })
	c.Hold = h
	return c, err
}

func (c *client) start(t assert.TestingT, now time.Time, body bool) *shmemory.Request {
	r, err := c.Start(now, body)
	assert.NilError(t, err)
	c.requests = append(c.requests, r)
	return r
}

func mustBegin(t *testing.T, b *shmemory.Budget, now time.Time) *client {
	t.Helper()
	c, err := begin(b, now)
	assert.NilError(t, err)
	return c
}

func assertKind(t *testing.T, err error, want shmemory.Kind) {
	t.Helper()
	e, ok := errors.AsType[*shmemory.Error](err)
	assert.Assert(t, ok && e.Kind == want, "%v, want %q", err, want)
}

// Guards against bounds that are exceeded, a request that is given up after it was
// served, and memory that is never given back.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &shmemory.Budget{Limit: 4 << 20, MaxConnections: rapid.IntRange(8, 40).Draw(t, "connections")}
		now := start
		var open []*client
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "ms")) * time.Millisecond)
			if len(open) == 0 || rapid.IntRange(0, 4).Draw(t, "begin") == 0 {
				if c, err := begin(b, now); err == nil {
					open = append(open, c)
				}
			} else {
				i := rapid.IntRange(0, len(open)-1).Draw(t, "client")
				step(t, open[i], now)
				if open[i].closed && len(open[i].requests) == 0 {
					open = append(open[:i], open[i+1:]...)
				}
			}
			s := b.Stats()
			var used int64
			for _, n := range s.Held {
				used += n
			}
			if used > b.Limit+b.Limit/8 || s.Connections > b.MaxConnections*9/8 || s.Connections != len(open) {
				t.Fatalf("%+v", s)
			}
			for _, c := range open {
				if c.evicted > 1 || c.evicted > 0 && c.safe {
					t.Fatalf("evicted %d times, safe %v", c.evicted, c.safe)
				}
			}
		}
		for _, c := range open {
			c.Close()
			for _, r := range c.requests {
				r.End(now)
			}
		}
		if s := b.Stats(); s.Held != (shmemory.Stats{}).Held || s.Connections != 0 {
			t.Fatalf("still held: %+v", s)
		}
	})
}

// step makes one call.
func step(t *rapid.T, c *client, now time.Time) {
	p := rapid.SampledFrom([]shmemory.Purpose{shmemory.Heads, shmemory.Bodies, shmemory.Answers}).Draw(t, "purpose")
	n := rapid.IntRange(1, 1<<20).Draw(t, "bytes")
	call := rapid.IntRange(0, 5).Draw(t, "call")
	switch {
	case call == 0:
		c.Progress(now, n)
		_ = c.Reserve(now, shmemory.Heads, int64(n/16))
	case call == 1:
		c.Close()
		c.closed = true
	case call == 2 || len(c.requests) == 0:
		body := len(c.requests) == 0 && rapid.Bool().Draw(t, "body")
		r, err := c.Start(now, body)
		if (err != nil) != (c.evicted > 0 || c.closed) {
			t.Fatalf("start: %v after %d evictions", err, c.evicted)
		}
		if err == nil {
			c.requests = append(c.requests, r)
			c.safe = c.safe || !body
		}
	case call == 3:
		c.requests[0].End(now)
		c.requests[0].End(now)
		c.requests = c.requests[1:]
		c.safe = c.safe && len(c.requests) > 0
	case call == 4:
		served := c.requests[0].Serving()
		if served != (c.evicted == 0) {
			t.Fatalf("served %v after %d evictions", served, c.evicted)
		}
		c.safe = c.safe || served
	default:
		_ = c.requests[0].Reserve(now, p, int64(n))
		c.requests[0].Release(p, int64(n/4))
	}
}

// Guards against a trickle of single bytes that counts as progress, and against giving
// up connections that make progress or were silent for a short time only.
func TestStalledFirst(t *testing.T) {
	b := &shmemory.Budget{Limit: 1 << 20}
	trickle, fast, brief := mustBegin(t, b, start), mustBegin(t, b, start.Add(time.Millisecond)), mustBegin(t, b, start)
	now := start
	for range 100 {
		now = now.Add(shmemory.StallTime / 100)
		trickle.Progress(now, 1)
		fast.Progress(now, 1000)
	}
	brief.start(t, now, true)
	for _, c := range []*client{trickle, fast, brief} {
		assert.NilError(t, c.Reserve(now, shmemory.Bodies, 100<<10))
	}
	newcomer := mustBegin(t, b, now)
	assert.NilError(t, newcomer.Reserve(now, shmemory.Bodies, 400<<10))
	assert.Equal(t, trickle.evicted, 1)
	assertKind(t, trickle.Reserve(now, shmemory.Bodies, 1), shmemory.KindGivenUp)
	assertKind(t, newcomer.Reserve(now, shmemory.Bodies, 500<<10), shmemory.KindShort)
	assert.Equal(t, fast.evicted+brief.evicted+newcomer.evicted, 0)
	assert.Equal(t, b.Stats().Counts[shmemory.ClosedStalled], uint64(1))
}

// Guards against large bodies that keep small requests out, and against small requests
// that leave no room for answers.
func TestShares(t *testing.T) {
	b := &shmemory.Budget{Limit: 16 << 20}
	large := mustBegin(t, b, start)
	for large.Reserve(start, shmemory.Bodies, 64<<10) == nil {
	}
	small := mustBegin(t, b, start)
	assert.NilError(t, small.Reserve(start, shmemory.Bodies, 100<<10))
	for {
		if _, err := begin(b, start); err != nil {
			break
		}
	}
	assert.NilError(t, small.start(t, start, false).Reserve(start, shmemory.Answers, 1<<20))
	assert.Equal(t, b.Stats().Counts[shmemory.RefusedMemory], uint64(2))
}

// Guards against a process without free descriptors, and against idle connections that
// are closed although others are stalled.
func TestConnections(t *testing.T) {
	b := &shmemory.Budget{MaxConnections: 16}
	idle, serving, stalled := mustBegin(t, b, start), mustBegin(t, b, start), mustBegin(t, b, start)
	idle.start(t, start, false).End(start)
	serving.start(t, start, false)
	now := start.Add(shmemory.StallTime)
	for range 13 {
		mustBegin(t, b, now)
	}
	mustBegin(t, b, now)
	assert.DeepEqual(t, []int{idle.evicted, serving.evicted, stalled.evicted}, []int{0, 0, 1})
	mustBegin(t, b, now)
	assert.DeepEqual(t, []int{idle.evicted, serving.evicted, stalled.evicted}, []int{1, 0, 1})
	_, err := begin(b, now)
	assertKind(t, err, shmemory.KindShort)
	stalled.Close()
	mustBegin(t, b, now.Add(shmemory.StallTime))
}

// Guards against bounds without settings.
func TestZeroValues(t *testing.T) {
	b := &shmemory.Budget{}
	c := mustBegin(t, b, start)
	assert.NilError(t, c.Reserve(start, shmemory.Bodies, math.MaxInt64/2))
	c.Close()
	var none *shmemory.Request
	assert.NilError(t, none.Reserve(start, shmemory.Bodies, 1))
	assert.Assert(t, none.Serving())
	none.End(start)
}
