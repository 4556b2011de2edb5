package shwatch

import (
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/coordination/shfleet"
	"sequoiahollow/transport/shregistry"
)

const revokeWithin = 5 * time.Second

func newKeyedWatcher(t *testing.T) *Watcher {
	t.Helper()
	w := &Watcher{RevokeWithin: revokeWithin, Logger: slog.New(slog.DiscardHandler)}
	table := shfleet.NewRouteIndex(shfleet.Table{Teams: []shfleet.Team{{Name: "a"}}})
	w.view.Store(&shfleet.View{Index: 7, Table: table})
	return w
}

func millis(d time.Duration) *shfleet.Millis {
	m := shfleet.Millis(d.Milliseconds())
	return &m
}

// Guards against a permission from an answer that may lack an acknowledged revocation.
func TestPermission(t *testing.T) {
	const sentAt = 100 * time.Second
	for _, c := range []struct {
		name      string
		confirmed *shfleet.Millis
		to        uint64
		until     time.Duration
	}{
		{"confirmed", millis(200 * time.Millisecond), 7, sentAt + 3*time.Second},
		{"confirmed long ago", millis(time.Second + time.Millisecond), 7, 0},
		{"not confirmed", nil, 7, 0},
		{"view not at the index of the answer", millis(0), 6, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := newKeyedWatcher(t)
			assert.Equal(t, w.KeysUntil(), time.Duration(0))
			w.renewPermission(sentAt, c.confirmed, shfleet.Change{To: c.to})
			assert.Equal(t, w.KeysUntil(), c.until)
		})
	}
}

// Guards against an entry VM that lets its permission end while there is a leader, and
// against calls without a pause.
func TestHold(t *testing.T) {
	w := newKeyedWatcher(t)
	now := 100 * time.Second
	assertHold := func(t *testing.T, want time.Duration) {
		t.Helper()
		assert.Equal(t, w.hold(now).Duration(), want)
	}
	t.Run("no permission", func(t *testing.T) { assertHold(t, 100*time.Millisecond) })
	w.renewPermission(now, millis(0), shfleet.Change{To: 7})
	t.Run("new permission", func(t *testing.T) { assertHold(t, 500*time.Millisecond) })
	now += time.Second + time.Millisecond
	t.Run("old permission", func(t *testing.T) { assertHold(t, 100*time.Millisecond) })
	t.Run("no teams", func(t *testing.T) {
		w.view.Store(&shfleet.View{Index: 7, Table: shfleet.NewRouteIndex(shfleet.Table{})})
		assert.Assert(t, w.hold(now) == nil)
		assert.Equal(t, w.longestHold(), shregistry.LongPollTimeout)
	})
	t.Run("no bound", func(t *testing.T) {
		w = newKeyedWatcher(t)
		w.RevokeWithin = 0
		assert.Assert(t, w.hold(now) == nil)
	})
}
