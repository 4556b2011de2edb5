package shstore_test

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/internal/shusage"
	"sequoiahollow/state/shconfig"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/transport/shpeer"
	"sequoiahollow/transport/shstore"
)

// controlState is the state machine of the control VMs.
type controlState struct{ state shcontrol.State }

func (c *controlState) Apply(_ uint64, at time.Time, data []byte) []byte {
	var result shcontrol.Result
	command, err := shcontrol.DecodeCommand(data)
	if err == nil {
		result = c.state.Apply(at, command)
	} else {
		result = shcontrol.Rejected{Reason: err.Error()}
	}
	encoded, _ := shcontrol.EncodeResult(result)
	return encoded
}

func (c *controlState) Snapshot() ([]byte, error) { return c.state.Snapshot() }

func (c *controlState) Restore(data []byte) error { return c.state.Restore(data) }

// controlGroup is a group with the default timings, which commits control
// commands to real disks over loopback.
func controlGroup(b *testing.B, count int) []*shstore.Store {
	b.Helper()
	var stores []*shstore.Store
	var voters []shstore.Peer
	var listeners []net.Listener
	for i := range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(b, err)
		listeners = append(listeners, l)
		voters = append(voters, shstore.Peer{VM: shmodel.VM(fmt.Sprintf("vm%d", i+1)), Address: l.Addr().String()})
	}
	for i, l := range listeners {
		server := shpeer.NewServer(shpeer.Config{})
		client := shpeer.NewClient(shpeer.Config{Self: l.Addr().String()})
		s, err := shstore.Open(shstore.Config{
			VM: voters[i].VM, Address: voters[i].Address, Folder: b.TempDir(), Voters: voters, Bootstrap: true,
			StateMachine: &controlState{}, Server: server, Client: client,
		})
		assert.NilError(b, err)
		go server.Serve(l)
		stores = append(stores, s)
		b.Cleanup(func() {
			assert.Check(b, s.Close() == nil)
			assert.Check(b, client.Close() == nil)
			assert.Check(b, server.Close() == nil)
		})
	}
	return stores
}

func readyStore(b *testing.B, stores []*shstore.Store) *shstore.Store {
	b.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, s := range stores {
			if s.Status().Ready {
				return s
			}
		}
	}
	b.Fatal("no leader")
	return nil
}

// BenchmarkCommit measures commits of claims and grants. The CPU time is that of
// the process, and so of all nodes together.
func BenchmarkCommit(b *testing.B) {
	for _, nodes := range []int{3, 5} {
		stores := controlGroup(b, nodes)
		leader := readyStore(b, stores)
		commit(b, leader, shcontrol.ApplyConfig{EditID: "1", Config: shconfig.Config{
			Links: map[string]shconfig.Link{"a-b": {From: "a", To: "b", CapBitsPerSecond: 1 << 40}},
		}})
		var number atomic.Uint64
		for _, workers := range []int{1, 16, 64} {
			b.Run(fmt.Sprintf("claim/nodes=%d/workers=%d", nodes, workers), func(b *testing.B) {
				benchmarkCommits(b, leader, workers, func() shcontrol.Command {
					n := number.Add(1)
					return shcontrol.OpenClaim{
						Key:       shmodel.ClaimKey{Service: "issuance-payments-ledger", Key: fmt.Sprintf("01234567-89ab-cdef-0123-%012d", n)},
						RequestID: shmodel.RequestID(n),
						Attempt: shcontrol.Attempt{
							Number: 1, VM: "vm1", BackendServer: "issuance-payments-ledger-s1", Address: "127.0.0.1:4000",
							Incarnation: 1, DispatchBy: time.Now().Add(10 * time.Second),
						},
					}
				})
			})
		}
		for _, workers := range []int{1, 16, 64} {
			b.Run(fmt.Sprintf("grant/nodes=%d/workers=%d", nodes, workers), func(b *testing.B) {
				benchmarkCommits(b, leader, workers, func() shcontrol.Command {
					n := number.Add(1)
					return shcontrol.RequestGrant{VM: shmodel.VM(fmt.Sprint("vm-", n%64)), From: "a", To: "b", BitsPerSecond: 8000}
				})
			})
		}
	}
}

func commit(b *testing.B, s *shstore.Store, c shcontrol.Command) {
	data, err := shcontrol.EncodeCommand(c)
	assert.NilError(b, err)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	_, err = s.Propose(ctx, data)
	assert.Check(b, err == nil, "%v", err)
}

func benchmarkCommits(b *testing.B, s *shstore.Store, workers int, next func() shcontrol.Command) {
	cpu := shusage.CPU()
	start := time.Now()
	var remaining atomic.Int64
	remaining.Store(int64(b.N))
	var group sync.WaitGroup
	for range workers {
		group.Go(func() {
			for remaining.Add(-1) >= 0 {
				commit(b, s, next())
			}
		})
	}
	group.Wait()
	b.ReportMetric(float64(b.N)/time.Since(start).Seconds(), "commits/s")
	b.ReportMetric(float64((shusage.CPU()-cpu).Microseconds())/float64(b.N), "cpu-µs/op")
}
