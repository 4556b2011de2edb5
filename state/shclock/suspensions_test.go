package shclock

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// testClocks are a boot clock and a steady clock that a test sets.
type testClocks struct {
	boot   time.Duration
	steady time.Time
	// gap is how long each reading of the boot clock takes.
	gap time.Duration
}

func (c *testClocks) run(d time.Duration) { c.boot += d; c.steady = c.steady.Add(d) }

func (c *testClocks) suspensions() *Suspensions {
	c.steady = time.Unix(1000, 0)
	return &Suspensions{
		Boot:   func() time.Duration { now := c.boot; c.run(c.gap); return now },
		Steady: func() time.Time { return c.steady },
	}
}

// Guards against an age by the steady clock that leaves out a suspension.
func TestSuspensions(t *testing.T) {
	t.Run("running", func(t *testing.T) {
		c := &testClocks{gap: time.Millisecond}
		s := c.suspensions()
		_, first := s.Since()
		c.run(time.Hour)
		now, since := s.Since()
		assert.Equal(t, since, first)
		assert.Equal(t, now, c.steady)
	})
	t.Run("suspended", func(t *testing.T) {
		c := &testClocks{gap: time.Millisecond}
		s := c.suspensions()
		s.Since()
		c.run(time.Second)
		c.boot += 10 * time.Millisecond
		now, since := s.Since()
		assert.Equal(t, since, now)
		c.run(time.Second)
		_, again := s.Since()
		assert.Equal(t, again, since)
	})
	t.Run("many short suspensions", func(t *testing.T) {
		c := &testClocks{}
		s := c.suspensions()
		_, first := s.Since()
		var since time.Time
		for range 4 {
			c.run(time.Second)
			c.boot += 2 * time.Millisecond
			_, since = s.Since()
		}
		assert.Assert(t, since.After(first), "suspensions of 8 ms in all are not noticed")
	})
	t.Run("stopped between readings", func(t *testing.T) {
		c := &testClocks{}
		s := c.suspensions()
		s.Since()
		c.gap = time.Second
		_, since := s.Since()
		assert.Assert(t, since.IsZero())
		c.gap = 0
		now, since := s.Since()
		assert.Equal(t, since, now)
	})
	t.Run("clocks of the system", func(t *testing.T) {
		var s Suspensions
		_, first := s.Since()
		time.Sleep(10 * time.Millisecond)
		_, since := s.Since()
		assert.Assert(t, since.IsZero() || !since.Before(first))
	})
}
