package shleader_test

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/protocol/shwire"
	"sequoiahollow/transport/shleader"
	"sequoiahollow/transport/shpeer"
)

// startVM starts a control VM that handles calls by f, and returns its address.
func startVM(t *testing.T, f func(context.Context) (string, error)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := shpeer.NewServer(shpeer.Config{})
	shpeer.Handle(s, "m", func(ctx context.Context, _ struct{}) (string, error) { return f(ctx) })
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	return l.Addr().String()
}

// Guards against calls that wait again for a lost leader, because the other VMs still
// name it.
func TestLostLeaderIsNamedByOthers(t *testing.T) {
	const callTimeout, elected = 200 * time.Millisecond, 300 * time.Millisecond
	began := time.Now()
	var calls atomic.Int32
	// It answers nothing, not even at the deadline of the call.
	ended := make(chan struct{})
	defer close(ended)
	lost := startVM(t, func(context.Context) (string, error) {
		calls.Add(1)
		<-ended
		return "", context.Canceled
	})
	hint, err := json.Marshal(shwire.LeaderHint{Address: lost})
	assert.NilError(t, err)
	other := startVM(t, func(context.Context) (string, error) {
		if time.Since(began) < elected {
			return "", &shpeer.Error{Op: "m", Kind: shpeer.KindFailed, Err: errors.New("not the leader"), Data: hint}
		}
		return "leader", nil
	})
	c := shpeer.NewClient(shpeer.Config{Connections: 1})
	defer c.Close()
	f := shleader.Finder{CallTimeout: callTimeout, SilentTime: time.Second}
	answer, err := shleader.Call[string](t.Context(), &f, c, func() []string { return []string{lost, other} }, "m", struct{}{})
	assert.NilError(t, err)
	assert.Equal(t, answer, "leader")
	assert.Equal(t, calls.Load(), int32(1))
}
