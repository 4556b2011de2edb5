package shdirectory_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiahollow/coordination/shdirectory"
	"sequoiahollow/internal/shusage"
	"sequoiahollow/state/shmodel"
)

// designVM returns the heartbeat of one of n entry VMs in 33 regions with 119
// failure domains, the size that the system is designed for. Seven VMs are in 3
// regions with 2 failure domains each.
func designVM(i, n int) shdirectory.Heartbeat {
	regions, domains := 33, 119
	if n == 7 {
		regions, domains = 3, 6
	}
	h := vm(i)
	domain := i % domains
	h.Place = shmodel.Place{
		Region:        shmodel.Region(fmt.Sprint("region-", domain%regions)),
		FailureDomain: shmodel.FailureDomain(fmt.Sprint("domain-", domain)),
	}
	h.CallerAddress = fmt.Sprintf("10.%d.%d.1:7400", i>>8, i&255)
	h.ServerAddress = fmt.Sprintf("10.%d.%d.1:7401", i>>8, i&255)
	h.PeerAddress = fmt.Sprintf("10.%d.%d.1:7402", i>>8, i&255)
	return h
}

func designVMs(n int) []shdirectory.Heartbeat {
	list := make([]shdirectory.Heartbeat, n)
	for i := range list {
		list[i] = designVM(i, n)
	}
	return list
}

// BenchmarkLookup measures one lookup without HTTP, with the whole list as the
// answer, as entry VMs send it, and with an answer of 7 VMs.
func BenchmarkLookup(b *testing.B) {
	for _, n := range []int{7, 5400} {
		for _, limit := range []int{0, 7} {
			b.Run(fmt.Sprintf("vms=%d/limit=%d", n, limit), func(b *testing.B) {
				entries := designVMs(n)
				q := shdirectory.Query{Service: "s", Region: entries[0].Place.Region, Caller: "192.0.2.1", Limit: limit}
				cpu := shusage.CPU()
				for b.Loop() {
					shdirectory.Lookup(entries, q)
				}
				b.ReportMetric(float64(b.N)/(shusage.CPU()-cpu).Seconds(), "lookups/core-s")
			})
		}
	}
}

// BenchmarkExpire measures the search for VMs without a new heartbeat, which a
// control VM runs at a fixed interval and before it returns its list.
func BenchmarkExpire(b *testing.B) {
	for _, n := range []int{100, 1000, 5400} {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			var d shdirectory.Directory
			for _, h := range designVMs(n) {
				d.Receive(start, h)
			}
			for b.Loop() {
				d.Expire(start)
			}
		})
	}
}

// BenchmarkEntryMemory measures the memory of one entry on a control VM, and on
// an entry VM that decoded the whole list.
func BenchmarkEntryMemory(b *testing.B) {
	const n = 5400
	fill := func() *shdirectory.Directory {
		d := &shdirectory.Directory{Source: shdirectory.Source{VM: "control"}}
		for i := range n {
			d.Receive(start, designVM(i, n))
		}
		return d
	}
	b.Run("control", func(b *testing.B) {
		for b.Loop() {
			before := shusage.Heap()
			d := fill()
			b.ReportMetric(float64(shusage.Heap()-before)/n, "B/entry")
			assert.Equal(b, len(d.Entries(start)), n)
		}
	})
	b.Run("entry", func(b *testing.B) {
		message, err := json.Marshal(fill().Changes(start, shdirectory.Source{}, 0))
		assert.NilError(b, err)
		for b.Loop() {
			before := shusage.Heap()
			f := new(shdirectory.Follower)
			follow(b, f, message)
			b.ReportMetric(float64(shusage.Heap()-before)/n, "B/entry")
			b.ReportMetric(float64(len(message))/n, "message-B/entry")
			assert.Equal(b, len(f.Entries()), n)
		}
	})
}

func follow(b *testing.B, f *shdirectory.Follower, message []byte) {
	b.Helper()
	var delta shdirectory.Delta
	assert.NilError(b, json.Unmarshal(message, &delta))
	assert.Assert(b, f.Apply(start, delta))
}

// BenchmarkFollow measures how an entry VM handles an answer without changes: it
// applies the answer and sorts the list.
func BenchmarkFollow(b *testing.B) {
	for _, n := range []int{100, 1000, 5400} {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			d := &shdirectory.Directory{Source: shdirectory.Source{VM: "control"}}
			for i := range n {
				d.Receive(start, designVM(i, n))
			}
			whole := d.Changes(start, shdirectory.Source{}, 0)
			f := new(shdirectory.Follower)
			f.Apply(start, whole)
			same := d.Changes(start, whole.Source, whole.Version)
			cpu := shusage.CPU()
			for b.Loop() {
				f.Apply(start, same)
				f.Entries()
			}
			b.ReportMetric(float64((shusage.CPU()-cpu).Microseconds())/float64(b.N), "cpu-µs/op")
		})
	}
}
