package shreplica

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/coordination/shdirectory"
	"sequoiahollow/internal/shusage"
	"sequoiahollow/protocol/shwire"
	"sequoiahollow/state/shconfig"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/transport/shpeer"
	"sequoiahollow/transport/shstore"
)

// openBench returns the control role of a group of one VM, with its address.
func openBench(b *testing.B) (*Replica, string) {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	address := l.Addr().String()
	server := shpeer.NewServer(shpeer.Config{})
	client := shpeer.NewClient(shpeer.Config{Self: address})
	log := slog.New(slog.DiscardHandler)
	r, err := Open(Config{VM: "control-1", Incarnation: 1, Log: log, Store: shstore.Config{
		VM: "control-1", Address: address, Folder: b.TempDir(), Bootstrap: true,
		Voters: []shstore.Peer{{VM: "control-1", Address: address}}, Client: client, Server: server,
	}})
	assert.NilError(b, err)
	go server.Serve(l)
	b.Cleanup(func() {
		assert.Check(b, r.Close() == nil)
		assert.Check(b, client.Close() == nil)
		assert.Check(b, server.Close() == nil)
	})
	for end := time.Now().Add(10 * time.Second); !r.Status().Ready; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			b.Fatal("no leader")
		}
	}
	return r, address
}

func heartbeat(i int) shdirectory.Heartbeat {
	domain := i % 119
	return shdirectory.Heartbeat{
		VM:          shmodel.VM(fmt.Sprint("vm-", i)),
		Place:       shmodel.Place{Region: shmodel.Region(fmt.Sprint("region-", domain%33)), FailureDomain: shmodel.FailureDomain(fmt.Sprint("domain-", domain))},
		Incarnation: 1_790_000_000_000_000_000, Sequence: 1,
		CallerAddress: fmt.Sprintf("10.%d.%d.1:7400", i>>8, i&255),
		ServerAddress: fmt.Sprintf("10.%d.%d.1:7401", i>>8, i&255),
		PeerAddress:   fmt.Sprintf("10.%d.%d.1:7402", i>>8, i&255),
		Services:      map[shmodel.Service]shdirectory.Slots{"field-sampling-records": {Total: 9}, "methodology-library": {Total: 6}},
	}
}

// addEntryVMs adds n entry VMs to the directory. Their heartbeats are dated an
// hour ahead, so that none expires during a benchmark.
func (r *Replica) addEntryVMs(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	later := time.Now().Add(time.Hour)
	for i := range n {
		r.directory.Receive(later, heartbeat(i))
	}
}

func (r *Replica) applyConfig(base int, timeout int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state.Apply(time.Now(), shcontrol.ApplyConfig{EditID: fmt.Sprint(base), BaseRevision: uint64(base), Config: shconfig.Config{
		Objective: shconfig.Headroom,
		Services:  map[shmodel.Service]shconfig.Service{"field-sampling-records": {Default: shmodel.OnceOnly, DefaultTimeoutMS: timeout}},
	}})
}

// BenchmarkSync measures one heartbeat at a control VM: decoding the request,
// the handler, encoding the answer. The answer of "same" has no change, that of
// "news" one changed VM, of "config" one changed key, and of "first" the whole
// directory.
func BenchmarkSync(b *testing.B) {
	for _, n := range []int{100, 1000, 5400} {
		r, address := openBench(b)
		r.addEntryVMs(n)
		r.applyConfig(0, 1000)
		r.applyConfig(1, 2000)
		for _, what := range []string{"same", "news", "config", "first"} {
			b.Run(fmt.Sprintf("%s/vms=%d", what, n), func(b *testing.B) { benchmarkSync(b, r, n, what) })
		}
		b.Run(fmt.Sprintf("same-tcp/vms=%d", n), func(b *testing.B) { benchmarkSyncOverTCP(b, r, n, address) })
	}
}

// benchmarkSync measures heartbeats of all VMs but the last. In "news" the last
// one is the VM that changes.
func benchmarkSync(b *testing.B, r *Replica, n int, what string) {
	request, answer := 0, 0
	var cpu time.Duration
	version := r.directoryVersion(b)
	for i := 0; b.Loop(); i++ {
		b.StopTimer()
		q := shwire.SyncRequest{Heartbeat: nextHeartbeat(i % (n - 1)), Since: 2, Source: r.directory.Source, Version: version}
		switch what {
		case "config":
			q.Since = 1
		case "first":
			q.Source, q.Version = shdirectory.Source{}, 0
		case "news":
			changed := nextHeartbeat(n - 1)
			changed.Services = map[shmodel.Service]shdirectory.Slots{"methodology-library": {Total: i % 7}}
			r.receive(changed)
		}
		message, err := json.Marshal(q)
		assert.NilError(b, err)
		request = len(message)
		q = shwire.SyncRequest{}
		before := shusage.CPU()
		b.StartTimer()
		if err := json.Unmarshal(message, &q); err != nil {
			b.Fatal(err)
		}
		a, err := r.sync(context.Background(), q)
		if err != nil {
			b.Fatal(err)
		}
		message, err = json.Marshal(a)
		if err != nil {
			b.Fatal(err)
		}
		b.StopTimer()
		cpu += shusage.CPU() - before
		answer = len(message)
		version = a.Directory.Version
		r.receive(nextHeartbeat(i % (n - 1)))
		b.StartTimer()
	}
	b.ReportMetric(float64(request), "request-B")
	b.ReportMetric(float64(answer), "answer-B")
	b.ReportMetric(float64(cpu.Microseconds())/float64(b.N), "cpu-µs/op")
}

// directoryVersion returns the version of the directory.
func (r *Replica) directoryVersion(b *testing.B) uint64 {
	a, err := r.sync(context.Background(), shwire.SyncRequest{Since: 2})
	assert.NilError(b, err)
	return a.Directory.Version
}

// lastSequence is the sequence number of the last heartbeat.
var lastSequence uint64 = 1

// nextHeartbeat returns a newer heartbeat of VM i.
func nextHeartbeat(i int) shdirectory.Heartbeat {
	lastSequence++
	h := heartbeat(i)
	h.Sequence = lastSequence
	return h
}

// receive adds a heartbeat dated an hour ahead.
func (r *Replica) receive(h shdirectory.Heartbeat) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.directory.Receive(time.Now().Add(time.Hour), h)
}

// benchmarkSyncOverTCP measures the whole exchange over loopback. The CPU time is
// that of client and server together.
func benchmarkSyncOverTCP(b *testing.B, r *Replica, n int, address string) {
	client := shpeer.NewClient(shpeer.Config{Self: "127.0.0.1:1"})
	defer func() { _ = client.Close() }()
	version := r.directoryVersion(b)
	cpu := shusage.CPU()
	for b.Loop() {
		q := shwire.SyncRequest{Heartbeat: nextHeartbeat(0), Since: 2, Source: r.directory.Source, Version: version}
		a, err := shpeer.Call[shwire.SyncResponse](context.Background(), client, address, shwire.MethodSync, q)
		if err != nil {
			b.Fatal(err)
		}
		version = a.Directory.Version
	}
	b.ReportMetric(float64((shusage.CPU()-cpu).Microseconds())/float64(b.N), "both-cpu-µs/op")
}

// BenchmarkNews measures the answer to another control VM that polls for new
// heartbeats, as it does every 250 ms. Every entry VM has sent one since.
func BenchmarkNews(b *testing.B) {
	for _, n := range []int{100, 1000, 5400} {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			r, _ := openBench(b)
			r.addEntryVMs(n)
			size := 0
			cpu := shusage.CPU()
			for b.Loop() {
				a, err := r.news(context.Background(), shwire.NewsRequest{})
				if err != nil {
					b.Fatal(err)
				}
				message, err := json.Marshal(a)
				if err != nil {
					b.Fatal(err)
				}
				size = len(message)
			}
			b.ReportMetric(float64(size), "answer-B")
			b.ReportMetric(float64((shusage.CPU()-cpu).Microseconds())/float64(b.N), "cpu-µs/op")
		})
	}
}
