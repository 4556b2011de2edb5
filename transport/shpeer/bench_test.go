package shpeer_test

import (
	"context"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"sequoiahollow/coordination/shdirectory"
	"sequoiahollow/internal/shusage"
	"sequoiahollow/protocol/shwire"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/transport/shpeer"
)

// BenchmarkSlotReport measures a slot report of two services to one peer. Entry
// VMs of a region send each other such reports every 200 ms. The CPU time is that
// of sender and receiver together.
func BenchmarkSlotReport(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	address := l.Addr().String()
	server := shpeer.NewServer(shpeer.Config{})
	handled := make(chan struct{}, 1)
	shpeer.Handle(server, shwire.MethodSlots, func(context.Context, shwire.SlotReport) (shwire.Empty, error) {
		handled <- struct{}{}
		return shwire.Empty{}, nil
	})
	go server.Serve(l)
	traffic := new(shpeer.Traffic)
	client := shpeer.NewClient(shpeer.Config{Self: "127.0.0.1:1", Traffic: traffic})
	defer func() {
		assert.Check(b, client.Close() == nil)
		assert.Check(b, server.Close() == nil)
	}()
	report := shwire.SlotReport{VM: "tasmania-south-a-1", Services: map[shmodel.Service]shdirectory.Slots{
		"field-sampling-records": {Free: 3, Total: 9}, "methodology-library": {Free: 3, Total: 6},
	}}
	cpu := shusage.CPU()
	for b.Loop() {
		if err := shpeer.Notify(context.Background(), client, address, shwire.MethodSlots, report); err != nil {
			b.Fatal(err)
		}
		<-handled
	}
	b.ReportMetric(float64((shusage.CPU()-cpu).Microseconds())/float64(b.N), "both-cpu-µs/op")
	count := traffic.Snapshot()[address]
	b.ReportMetric(float64(count.Sent+count.Received)/float64(b.N), "wire-B")
}
