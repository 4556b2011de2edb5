package shrouting

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/state/shconfig"
	"sequoiahollow/state/shmodel"
)

const ms = time.Millisecond

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func peer(vm shmodel.VM, free int) Peer {
	return Peer{VM: vm, Address: string(vm), Free: free, Usable: 10, Healthy: true}
}

func remote(vm shmodel.VM, roundTrip time.Duration) Remote {
	return Remote{VM: vm, Address: string(vm), Credits: 1, LinkFreeBytes: 1000, RoundTrip: roundTrip, Healthy: true}
}

// fullRegion returns a snapshot without a free slot in the region: 10 own slots,
// 10 of a peer, a service time of 20 ms and a queue of 19, so 40 ms of expected
// wait.
func fullRegion(objective shconfig.Objective) *Snapshot {
	return &Snapshot{
		Objective:   objective,
		Own:         Own{VM: "own", Usable: 10, Queued: 19},
		Peers:       []Peer{peer("p", 0)},
		Regions:     []Remote{remote("far", 30*ms)},
		MeanService: 20 * ms,
	}
}

func request() Request { return Request{ID: 1, Remaining: time.Second, Bytes: 100} }

func kind(c Choice) string { return fmt.Sprintf("%T", c)[len("shrouting."):] }

// Guards against choices that break an objective, a limit or a deadline.
func TestObjectives(t *testing.T) {
	for _, c := range []struct {
		name      string
		objective shconfig.Objective
		change    func(*Snapshot, *Request)
		want      string
	}{
		{"own slot", shconfig.Headroom, func(s *Snapshot, _ *Request) { s.Own.Free = 5 }, "ServeOwn"},
		{"peer has a slot", shconfig.Headroom, func(s *Snapshot, _ *Request) { s.Peers[0].Free = 1 }, "Forward"},
		{"own busier than the region", shconfig.Headroom, func(s *Snapshot, _ *Request) { s.Own.Free = 1; s.Peers[0].Free = 9 }, "Forward"},
		{"latency saves the hop", shconfig.Latency, func(s *Snapshot, _ *Request) { s.Own.Free = 1; s.Peers[0].Free = 9 }, "ServeOwn"},
		{"peer unhealthy", shconfig.Headroom, func(s *Snapshot, _ *Request) { s.Peers[0].Free = 1; s.Peers[0].Healthy = false }, "Wait"},
		{"peer tried", shconfig.Headroom, func(s *Snapshot, r *Request) { s.Peers[0].Free = 1; r.Tried = []shmodel.VM{"p"} }, "Wait"},
		{"peer refused", shconfig.Headroom, func(s *Snapshot, _ *Request) { s.Peers[0].Free = 1; s.Peers[0].Refused = true }, "Wait"},
		{"own forwards took the slots", shconfig.Headroom, func(s *Snapshot, _ *Request) { s.Peers[0].Free = 2; s.Peers[0].Forwarded = 2 }, "Wait"},
		{"old report as a last resort", shconfig.Headroom, func(s *Snapshot, _ *Request) { s.Peers[0].Free = 2; s.Peers[0].ReportAge = time.Minute }, "Forward"},
		{"headroom waits in the region", shconfig.Headroom, func(*Snapshot, *Request) {}, "Wait"},
		{"latency leaves when the wait is longer", shconfig.Latency, func(*Snapshot, *Request) {}, "Shift"},
		{"latency stays when the wait is shorter", shconfig.Latency, func(s *Snapshot, _ *Request) { s.Regions[0].RoundTrip = 50 * ms }, "Wait"},
		{"headroom leaves for the deadline", shconfig.Headroom, func(_ *Snapshot, r *Request) { r.Remaining = 55 * ms }, "Shift"},
		{"no credit", shconfig.Headroom, func(s *Snapshot, r *Request) { r.Remaining = 55 * ms; s.Regions[0].Credits = 0 }, "Refuse"},
		{"link share used up", shconfig.Headroom, func(s *Snapshot, r *Request) { r.Remaining = 55 * ms; s.Regions[0].LinkFreeBytes = 99 }, "Refuse"},
		{"round trip past the deadline", shconfig.Headroom, func(_ *Snapshot, r *Request) { r.Remaining = 45 * ms }, "Refuse"},
		{"past the deadline", shconfig.Headroom, func(s *Snapshot, r *Request) { s.Own.Free = 5; r.Remaining = 19 * ms }, "Refuse"},
		{"service time not measured for long", shconfig.Headroom, func(s *Snapshot, r *Request) {
			s.Own.Free = 5
			r.Remaining, s.MeanServiceAge = 19*ms, ServiceTimeLifetime+1
		}, "ServeOwn"},
		{"no second hop and no second queue", shconfig.Latency, func(s *Snapshot, r *Request) { s.Peers[0].Free = 9; r.Forwarded = true }, "Refuse"},
		{"full peer with an old report is tried", shconfig.Headroom, func(s *Snapshot, _ *Request) { s.Peers[0].ReportAge = 20 * ms }, "Forward"},
		{"full peer that has just refused is not tried", shconfig.Headroom, func(s *Snapshot, _ *Request) { s.Peers[0].ReportAge = 20 * ms; s.Peers[0].Refused = true }, "Wait"},
		{"forwarded to a VM without slots", shconfig.Latency, func(s *Snapshot, r *Request) { s.Own.Usable = 0; r.Forwarded = true }, "Refuse"},
		{"region without backend servers", shconfig.Headroom, func(s *Snapshot, _ *Request) { s.Own.Usable = 0; s.Peers = nil }, "Shift"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, r := fullRegion(c.objective), request()
			c.change(s, &r)
			assert.Equal(t, kind(Objectives{}.Choose(s, r)), c.want)
		})
	}
}

// Guards against credits that block slots of other regions without need, and
// against a VM that asks for credits too late.
func TestWantsCredits(t *testing.T) {
	for _, c := range []struct {
		objective shconfig.Objective
		free      int
		remaining time.Duration
		want      bool
	}{
		{shconfig.Headroom, 0, time.Second, false},
		{shconfig.Headroom, 0, 110 * ms, true},
		{shconfig.Headroom, 1, 110 * ms, false},
		{shconfig.Latency, 0, time.Second, true},
	} {
		s, r := fullRegion(c.objective), request()
		s.Own.Free, r.Remaining = c.free, c.remaining
		assert.Equal(t, s.WantsCredits(r), c.want, "%+v", c)
	}
}

// Guards against a nearer region that is passed over.
func TestNearestRegion(t *testing.T) {
	s := fullRegion(shconfig.Latency)
	s.Regions = []Remote{remote("farther", 35*ms), remote("far", 30*ms)}
	shift, ok := Objectives{}.Choose(s, request()).(Shift)
	assert.Assert(t, ok)
	assert.Equal(t, shift.VM, shmodel.VM("far"))
}

// Guards against many VMs that follow the same report to the same peer: five
// VMs without own slots send 40 requests within one report interval, and the
// peers have 50 free slots.
func TestNoHerding(t *testing.T) {
	const vms, requests = 5, 8
	arrived := map[shmodel.VM]int{}
	for v := range vms {
		var b PeerTracker
		for p := range 5 {
			b.Observe(Report{VM: shmodel.VM(fmt.Sprint("p", p)), Free: 10, Usable: 10, At: start})
		}
		for i := range requests {
			now := start.Add(time.Duration(i) * ms)
			s := &Snapshot{Objective: shconfig.Headroom, Peers: b.Peers(now)}
			f, ok := Objectives{}.Choose(s, Request{ID: shmodel.RequestID(v*1000 + i), Remaining: time.Second}).(Forward)
			assert.Assert(t, ok)
			b.Begin(now, f.VM)
			arrived[f.VM]++
		}
	}
	for vm, n := range arrived {
		assert.Assert(t, n <= 12, "%s got %d of %d requests", vm, n, vms*requests)
	}
	assert.Equal(t, len(arrived), 5)
}

// Guards against forwards and refusals that stop counting too early, count too
// long, or are undone by a late report.
func TestPeerTracker(t *testing.T) {
	var b PeerTracker
	at := func(d time.Duration) time.Time { return start.Add(d) }
	b.Observe(Report{VM: "p", Free: 5, Usable: 5, At: at(0)})
	first := b.Begin(at(1*ms), "p")
	b.Begin(at(20*ms), "p")
	assert.Equal(t, b.Peers(at(30 * ms))[0].available(), 3)
	b.Observe(Report{VM: "p", Free: 4, Usable: 5, At: at(10 * ms)})
	assert.Equal(t, b.Peers(at(30 * ms))[0].available(), 3, "the report covers only the first forward")
	b.End(at(40*ms), first, true)
	assert.Equal(t, b.Peers(at(40 * ms))[0].available(), 0, "a peer that refused counts as full")
	b.Observe(Report{VM: "p", Free: 2, Usable: 5, At: at(50 * ms)})
	assert.Equal(t, b.Peers(at(50 * ms))[0].available(), 0, "a report may be older than the refusal")
	assert.Equal(t, b.Peers(at(70 * ms))[0].available(), 2)
	b.Observe(Report{VM: "p", Free: 5, Usable: 5, At: at(0)})
	assert.Equal(t, b.Peers(at(70 * ms))[0].available(), 2, "late report")
	b.Observe(Report{VM: "p", Free: 9, Usable: 5, At: at(60 * ms)})
	assert.Equal(t, b.Peers(at(70 * ms))[0].available(), 0, "impossible report")
}

// Guards against baselines that do not choose as their names say.
func TestBaselines(t *testing.T) {
	s := fullRegion(shconfig.Headroom)
	s.Own.Usable = 0
	s.Peers = []Peer{peer("p", 1), peer("q", 5), peer("r", 2)}
	s.Peers[2].Healthy = false
	got := map[shmodel.VM]int{}
	var roundRobin RoundRobin
	for range 4 {
		got[roundRobin.Choose(s, request()).(Forward).VM]++
	}
	assert.DeepEqual(t, got, map[shmodel.VM]int{"p": 2, "q": 2})
	assert.Equal(t, LeastReported{}.Choose(s, request()).(Forward).VM, shmodel.VM("q"))
	s.Peers = nil
	assert.Equal(t, kind(LeastReported{}.Choose(s, request())), "Shift")
}
