package shpeer_test

import (
	"bytes"
	"context"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/transport/shpeer"
)

// lockedBuffer is a bytes.Buffer for concurrent use.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// Guards against a message that makes a handler panic and so ends the process of
// a control VM, for all callers.
func TestPanicEndsOnlyItsCall(t *testing.T) {
	output := &lockedBuffer{}
	s, c, address := startPair(t, shpeer.Config{Logger: slog.New(slog.NewTextHandler(output, nil))})
	shpeer.Handle(s, "panic", func(_ context.Context, list []int) (text, error) { return text{}, []error{nil}[len(list)] })
	t.Run("call", func(t *testing.T) {
		_, err := shpeer.Call[text](withTimeout(t, time.Second), c, address, "panic", []int{1})
		assert.Equal(t, shpeer.KindOf(err), shpeer.KindFailed)
		assert.ErrorContains(t, err, "index out of range")
	})
	t.Run("notification", func(t *testing.T) {
		assert.NilError(t, shpeer.Notify(withTimeout(t, time.Second), c, address, "panic", []int{1}))
		eventually(t, "both panics are logged", func() bool { return strings.Count(output.String(), "handler of a peer call panicked") == 2 })
	})
	t.Run("next call", func(t *testing.T) {
		answer, err := echo(withTimeout(t, time.Second), c, address, "still here")
		assert.NilError(t, err)
		assert.Equal(t, answer, "still here")
	})
}
