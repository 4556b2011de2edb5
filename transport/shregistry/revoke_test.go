package shregistry_test

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/coordination/shfleet"
	"sequoiahollow/state/shclock"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/transport/shpeer"
	"sequoiahollow/transport/shregistry"
	"sequoiahollow/transport/shwatch"
)

// startKeyObserver starts an observer that accepts keys with a bound for revocations,
// and returns the function that cuts it off.
func startKeyObserver(t *testing.T, v *vm, name shmodel.VM, revokeWithin time.Duration) (*shwatch.Watcher, func()) {
	t.Helper()
	client := shpeer.NewClient(shpeer.Config{Connections: 1})
	w := &shwatch.Watcher{
		VM: name, Client: client, Seeds: func() []string { return v.config.Seeds }, RevokeWithin: revokeWithin,
		Logger: slog.New(slog.DiscardHandler),
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		w.Run(ctx)
	}()
	cut := sync.OnceFunc(func() {
		cancel()
		client.Close()
		<-ended
	})
	t.Cleanup(cut)
	return w, cut
}

func documentWithKey(version uint64, keys ...string) shfleet.Document {
	team := shfleet.Team{Name: "a"}
	for _, k := range keys {
		team.Keys = append(team.Keys, shfleet.DigestKey(k))
	}
	return shfleet.Document{
		Version: version, Base: version - 1, Source: []byte{byte(version)}, Table: shfleet.Table{Teams: []shfleet.Team{team}},
	}
}

func accepts(w *shwatch.Watcher, key string) bool {
	until := w.KeysUntil()
	table := w.View().Table
	return table != nil && table.Team(key) != nil && shclock.SinceBoot() < until
}

func leaderOf(vms []*vm) *vm {
	for _, v := range vms {
		if v.Status().Leader.VM == v.config.VM {
			return v
		}
	}
	return nil
}

// Guards against a key that is accepted longer than the bound after the document that
// takes it away was acknowledged: by a VM that was cut off before, and if the leader
// is lost between the commit and the acknowledgement and the document is sent again.
func TestRevocation(t *testing.T) {
	const revokeWithin = 5 * time.Second
	vms := startGroup(t)
	inTouch, _ := startKeyObserver(t, vms[0], "in-touch", revokeWithin)
	cutOff, cut := startKeyObserver(t, vms[0], "cut-off", revokeWithin)
	retry(t, func(ctx context.Context) error { return vms[1].PutDocument(ctx, documentWithKey(1, "k")) })
	for _, w := range []*shwatch.Watcher{inTouch, cutOff} {
		eventually(t, "the key is accepted", func() bool { return accepts(w, "k") })
	}
	cut()
	assert.Assert(t, accepts(cutOff, "k"))
	leader := leaderOf(vms)
	assert.Assert(t, leader != nil)
	first := make(chan error, 1)
	go func() { first <- leader.PutDocument(context.Background(), documentWithKey(2)) }()
	eventually(t, "the second document is in force", func() bool { return inTouch.View().Version == 2 })
	leader.stop()
	<-first
	other := vms[0]
	if leader == other {
		other = vms[1]
	}
	retry(t, func(ctx context.Context) error { return other.PutDocument(ctx, documentWithKey(2)) })
	acknowledged := shclock.SinceBoot()
	assert.Assert(t, !accepts(inTouch, "k"))
	assert.Assert(t, cutOff.KeysUntil() <= acknowledged+revokeWithin)
	eventually(t, "keys are accepted again", func() bool { return inTouch.KeysUntil() > acknowledged })
	assert.Equal(t, inTouch.View().Version, uint64(2))
}

// Guards against answers that renew permissions though the last confirmation of the
// leader is old, or though it was suspended since.
func TestLeaderThatWasStoppedRenewsNoPermission(t *testing.T) {
	const revokeWithin = 2 * time.Second
	// These are added to the readings of the clocks of all control VMs.
	var steadyStep, bootStep atomic.Int64
	vms := startGroup(t, func(c *shregistry.Config) {
		c.Suspensions = &shclock.Suspensions{
			Boot:   func() time.Duration { return shclock.SinceBoot() + time.Duration(bootStep.Load()) },
			Steady: func() time.Time { return time.Now().Add(time.Duration(steadyStep.Load())) },
		}
	})
	w, _ := startKeyObserver(t, vms[0], "observer", revokeWithin)
	retry(t, func(ctx context.Context) error { return vms[1].PutDocument(ctx, documentWithKey(1, "k")) })
	assertRefusedDuring := func(t *testing.T, change func()) {
		t.Helper()
		eventually(t, "the key is accepted", func() bool { return accepts(w, "k") })
		change()
		eventually(t, "the key is refused", func() bool { return !accepts(w, "k") })
		age, ok := w.Age()
		assert.Assert(t, ok && age < revokeWithin/2, "the leader has not answered for %s", age)
	}
	t.Run("stopped", func(t *testing.T) {
		assertRefusedDuring(t, func() { steadyStep.Store(int64(revokeWithin)) })
		steadyStep.Store(0)
	})
	t.Run("suspended", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		assertRefusedDuring(t, func() {
			go func() {
				for ctx.Err() == nil {
					bootStep.Add(int64(20 * time.Millisecond))
					time.Sleep(20 * time.Millisecond)
				}
			}()
		})
	})
}
