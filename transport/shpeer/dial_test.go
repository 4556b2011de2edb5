package shpeer

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a connection that is delayed by 1 s because its first SYN was
// sent while the peer was down, and TCP retransmits it only then.
func TestDialOfSilentAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		up := time.Now().Add(400 * time.Millisecond)
		connect := func(ctx context.Context, _, _ string) (net.Conn, error) {
			if time.Now().Before(up) {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			c, _ := net.Pipe()
			return c, nil
		}
		start := time.Now()
		c, err := dial(t.Context(), "peer", connect)
		assert.NilError(t, err)
		assert.NilError(t, c.Close())
		assert.Assert(t, time.Since(start) < time.Second, "connected after %v", time.Since(start))
	})
}

// Guards against a dial that goes on after the deadline of its caller, and against
// one that retries a refused connection without a pause.
func TestDialEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 700*time.Millisecond)
		defer cancel()
		_, err := dial(ctx, "peer", func(ctx context.Context, _, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		})
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		refused, calls := errors.New("refused"), 0
		_, err = dial(t.Context(), "peer", func(context.Context, string, string) (net.Conn, error) {
			calls++
			return nil, refused
		})
		assert.ErrorIs(t, err, refused)
		assert.Equal(t, calls, 1)
	})
}
