package shregistry_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"sequoiahollow/coordination/shfleet"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/transport/shloopback"
	"sequoiahollow/transport/shpeer"
	"sequoiahollow/transport/shregistry"
	"sequoiahollow/transport/shwatch"
)

// testTimeout bounds the waits of a test that fails.
const testTimeout = 20 * time.Second

// vm is one control VM of a test.
type vm struct {
	*shregistry.Registry
	config shregistry.Config
	// serving is closed by the server, unless that is closed before it begins to serve.
	serving net.Listener
}

func (v *vm) start(t *testing.T) {
	t.Helper()
	l, err := net.Listen("tcp", v.config.PeerAddress)
	assert.NilError(t, err)
	v.config.Server = shpeer.NewServer(shpeer.Config{})
	v.config.Client = shpeer.NewClient(shpeer.Config{Self: v.config.PeerAddress, Connections: 1})
	v.Registry, err = shregistry.Open(v.config)
	assert.NilError(t, err)
	v.serving = l
	go v.config.Server.Serve(l)
}

func (v *vm) stop() {
	v.Registry.Close()
	v.config.Client.Close()
	v.config.Server.Close()
	_ = v.serving.Close()
}

// startGroup starts five control VMs, of which three are seeds.
func startGroup(t *testing.T, options ...func(*shregistry.Config)) []*vm {
	t.Helper()
	var vms []*vm
	var seeds []string
	for i := range 5 {
		address := shloopback.Free(t)
		if i < 3 {
			seeds = append(seeds, address)
		}
		vms = append(vms, &vm{config: shregistry.Config{
			VM: shmodel.VM(fmt.Sprint("vm", i)), PeerAddress: address, Voters: 5, Bootstrap: true,
			Folder: filepath.Join(t.TempDir(), "fleet"), BackendTimeout: 3 * time.Second,
			Logger: slog.New(slog.DiscardHandler),
		}})
	}
	for _, v := range vms {
		v.config.Seeds = seeds
		for _, o := range options {
			o(&v.config)
		}
		v.start(t)
		t.Cleanup(v.stop)
	}
	waitForVoters(t, vms[0], 5)
	return vms
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(testTimeout), poll.WithDelay(20*time.Millisecond))
}

func waitForVoters(t *testing.T, v *vm, count int) {
	t.Helper()
	eventually(t, "the group is complete", func() bool {
		s := v.Status()
		return len(s.Voters) == count && s.Leader.VM != ""
	})
}

// retry repeats a call until it succeeds, as callers of a control VM do.
func retry(t *testing.T, call func(context.Context) error) {
	t.Helper()
	eventually(t, "the call is acknowledged", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		return call(ctx) == nil
	})
}

func announcement(id string, sequence int64) shregistry.Announcement {
	return shregistry.Announcement{Sequence: sequence, Backend: shfleet.Backend{
		Instance: shfleet.Instance{ID: shmodel.BackendServer(id), Born: 1},
		Service:  "s", Address: id + ":80", Zone: "z", Slots: 3,
	}}
}

func startObserver(t *testing.T, v *vm) *shwatch.Watcher {
	t.Helper()
	client := shpeer.NewClient(shpeer.Config{Connections: 1})
	w := &shwatch.Watcher{
		VM: "observer", Client: client, Seeds: func() []string { return v.config.Seeds }, Logger: slog.New(slog.DiscardHandler),
		Entry: func() *shfleet.Entry { return &shfleet.Entry{VM: "observer", Address: "o:1", Ready: true} },
	}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		client.Close()
	})
	go w.Run(ctx)
	return w
}

// Guards against an announcement or operator command that only some control VMs
// accept, that never reaches observers, or that is accepted twice.
func TestEveryVMTakesCalls(t *testing.T) {
	vms := startGroup(t)
	w := startObserver(t, vms[0])
	for i, v := range vms {
		retry(t, func(ctx context.Context) error { return v.Announce(ctx, announcement(fmt.Sprint("b", i), 1)) })
	}
	d := shfleet.Document{Version: 1, Source: []byte("first")}
	retry(t, func(ctx context.Context) error { return vms[1].PutDocument(ctx, d) })
	retry(t, func(ctx context.Context) error { return vms[3].PutDocument(ctx, d) })
	conflicting := shfleet.Document{Version: 2, Source: []byte("rival")}
	err := vms[2].PutDocument(context.Background(), conflicting)
	assert.ErrorContains(t, err, string(shregistry.KindConflict))
	for _, v := range vms {
		read, err := v.Document(context.Background())
		assert.NilError(t, err)
		assert.Equal(t, string(read.Source), "first")
	}
	leaving := announcement("b0", 2)
	leaving.Leaving = true
	retry(t, func(ctx context.Context) error { return vms[4].Announce(ctx, leaving) })
	retry(t, func(ctx context.Context) error { return vms[4].Withdraw(ctx, "b1", 0) })
	eventually(t, "the observer has all changes", func() bool {
		v := w.View()
		_, withdrawn := v.Backends["b1"]
		return v.Version == 1 && v.Backends["b0"].Leaving && !withdrawn && v.Backends["b4"].Slots == 3
	})
	eventually(t, "backend servers without heartbeats are removed", func() bool { return len(w.View().Backends) == 0 })
	assert.Equal(t, len(w.View().Entries), 1)
}

// Guards against the loss of acknowledged state when all control VMs restart and
// two of the five have lost their disks.
func TestTwoDisksLost(t *testing.T) {
	vms := startGroup(t)
	d := shfleet.Document{Version: 1, Source: []byte("kept")}
	retry(t, func(ctx context.Context) error { return vms[0].PutDocument(ctx, d) })
	for _, v := range vms {
		v.stop()
	}
	for i, v := range vms {
		v.config.Bootstrap = false
		if i == 0 || i == 4 {
			assert.NilError(t, os.RemoveAll(v.config.Folder))
		}
		v.start(t)
	}
	for _, v := range vms {
		retry(t, func(ctx context.Context) error {
			read, err := v.Document(ctx)
			if err == nil {
				assert.Equal(t, string(read.Source), "kept")
			}
			return err
		})
	}
	waitForVoters(t, vms[0], 5)
}

// Guards against a group that keeps a lost voter and so lacks one when a control
// VM is replaced by one with an empty disk at another address.
func TestReplacedVM(t *testing.T) {
	vms := startGroup(t)
	vms[1].stop()
	successor := &vm{config: vms[1].config}
	successor.config.VM, successor.config.PeerAddress = "successor", shloopback.Free(t)
	successor.config.Folder = filepath.Join(t.TempDir(), "fleet")
	successor.config.Bootstrap = false
	successor.start(t)
	t.Cleanup(successor.stop)
	eventually(t, "the successor has a vote in place of the lost VM", func() bool {
		voters := map[shmodel.VM]bool{}
		for _, m := range successor.Status().Voters {
			voters[m.ID.VM] = true
		}
		return len(voters) == 5 && voters["successor"] && !voters["vm1"]
	})
	// The stopped VM is stopped again at the end of the test.
	vms[1].start(t)
}

// Guards against the removal of a new backend server before the control VM that
// it announced itself to has reported its first heartbeat to the leader.
func TestAnnouncedElsewhereStays(t *testing.T) {
	vms := startGroup(t)
	w := startObserver(t, vms[0])
	// Wait until the leader has led for longer than BackendTimeout (3 s).
	time.Sleep(3500 * time.Millisecond)
	for i, v := range vms {
		id := fmt.Sprint("b", i)
		retry(t, func(ctx context.Context) error { return v.Announce(ctx, announcement(id, 1)) })
		eventually(t, "the observer has the backend server", func() bool { return w.View().Backends[shmodel.BackendServer(id)].Slots == 3 })
		for range 70 {
			time.Sleep(10 * time.Millisecond)
			assert.Equal(t, w.View().Backends[shmodel.BackendServer(id)].Slots, 3, "%s was removed", id)
		}
	}
}

// Guards against a backend server that is taken out of use by an announcement of
// another program for its address.
func TestForeignAnnouncement(t *testing.T) {
	vms := startGroup(t)
	d := shfleet.Document{Version: 1, Source: []byte("d"), Table: shfleet.Table{Services: []shfleet.Service{{Name: "s"}}}}
	retry(t, func(ctx context.Context) error { return vms[0].PutDocument(ctx, d) })
	own := announcement("b", 1)
	retry(t, func(ctx context.Context) error { return vms[1].Announce(ctx, own) })
	w := startObserver(t, vms[0])
	listed := func() bool { return w.View().Backends["b"].Address == own.Address }
	eventually(t, "the backend server is listed", listed)
	foreign := announcement("other", 1)
	foreign.Born, foreign.Service, foreign.Address = 2, "unnamed", own.Address
	for _, v := range vms {
		retry(t, func(ctx context.Context) error { _, err := v.Document(ctx); return err })
		retry(t, func(ctx context.Context) error { return v.Announce(ctx, foreign) })
	}
	own.Sequence++
	retry(t, func(ctx context.Context) error { return vms[1].Announce(ctx, own) })
	retry(t, func(ctx context.Context) error { return vms[2].Announce(ctx, announcement("last", 1)) })
	eventually(t, "all of that is in the view", func() bool { return w.View().Backends["last"].ID != "" })
	assert.Assert(t, listed(), "%v", w.View().Backends)
}

// Guards against one crash that counts several times, because several callers sent
// equal requests to the backend server: all later ones would be refused.
func TestCrashCountsOncePerInstance(t *testing.T) {
	vms := startGroup(t)
	w := startObserver(t, vms[0])
	digest := shmodel.Digest{1}
	report := func(v *vm, c shfleet.ReportCrash) {
		c.Digest = digest
		retry(t, func(ctx context.Context) error { _, err := v.Propose(ctx, c); return err })
	}
	crashed := func(id string) shfleet.ReportCrash {
		return shfleet.ReportCrash{Instance: &shfleet.Instance{ID: shmodel.BackendServer(id), Born: 1}}
	}
	markers := 0
	counted := func(want int) {
		t.Helper()
		markers++
		last := announcement(fmt.Sprint("marker", markers), 1)
		retry(t, func(ctx context.Context) error { return vms[0].Announce(ctx, last) })
		eventually(t, "the view has all reports", func() bool { return w.View().Backends[last.ID].ID != "" })
		assert.Equal(t, w.View().CrashCounts[digest], want)
	}
	for _, v := range vms {
		report(v, crashed("a"))
	}
	report(vms[0], crashed("b"))
	counted(2)
	report(vms[1], shfleet.ReportCrash{Cleared: true})
	counted(0)
	report(vms[2], crashed("a"))
	counted(1)
	for range 2 {
		report(vms[3], shfleet.ReportCrash{})
	}
	counted(3)
}
