package shcontrol_test

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/internal/shusage"
	"sequoiahollow/state/shconfig"
	"sequoiahollow/state/shmodel"
)

var benchTime = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// configWithServices returns a configuration with n services, one for each site,
// and 33 regions with a link for each ordered pair, as at the design size.
func configWithServices(n int) shconfig.Config {
	c := shconfig.Config{
		Objective: shconfig.Headroom,
		Regions:   map[shmodel.Region]shconfig.Region{},
		Links:     map[string]shconfig.Link{},
		Services:  map[shmodel.Service]shconfig.Service{},
	}
	name := func(i int) shmodel.Region { return shmodel.Region(fmt.Sprint("region-", i)) }
	for i := range 33 {
		c.Regions[name(i)] = shconfig.Region{FailureDomains: []shmodel.FailureDomain{"a", "b", "c"}, ClientLatencyMS: 8, InnerLatencyMS: 1.5}
		for j := range 33 {
			if i != j {
				c.Links[fmt.Sprintf("link-%d-%d", i, j)] = shconfig.Link{From: name(i), To: name(j), CapBitsPerSecond: 280_000_000, ControlBitsPerSecond: 28_000_000, LatencyMS: 12}
			}
		}
	}
	for i := range n {
		service := shmodel.Service(fmt.Sprint("service-", i))
		c.Services[service] = shconfig.Service{
			Hosts: []string{string(service) + ".example"}, Default: shmodel.OnceOnly, DefaultTimeoutMS: 3000,
			Operations: []shconfig.Operation{
				{Method: "GET", Path: "/", Kind: shmodel.Idempotent},
				{Method: "POST", Path: "/payments", Kind: shmodel.OnceOnly},
			},
			ServiceLevel: shconfig.ServiceLevel{GoodShare: 0.99, LatencyMS: 400},
			Size:         shconfig.Size{BackendServers: 16, Slots: 3, Connections: 360},
		}
	}
	return c
}

// withTimeout returns the configuration with another timeout of service-0.
func withTimeout(c shconfig.Config, timeout int) shconfig.Config {
	services := make(map[shmodel.Service]shconfig.Service, len(c.Services))
	for name, s := range c.Services {
		services[name] = s
	}
	first := services["service-0"]
	first.DefaultTimeoutMS = int64(timeout)
	services["service-0"] = first
	c.Services = services
	return c
}

func numberedEdit(base, number int, c shconfig.Config) shcontrol.ApplyConfig {
	return shcontrol.ApplyConfig{EditID: fmt.Sprint("edit ", number), BaseRevision: uint64(base), Config: c}
}

// stateAfterEdits returns a state after count edits of one key each.
func stateAfterEdits(tb testing.TB, c shconfig.Config, count int) *shcontrol.State {
	tb.Helper()
	s := new(shcontrol.State)
	for i := range count {
		r := s.Apply(benchTime, numberedEdit(i, i, withTimeout(c, 1000+i)))
		assert.Assert(tb, r.(shcontrol.ConfigResult).Accepted)
	}
	return s
}

// BenchmarkConfigChange measures an edit of one key for several sizes of the
// configuration: "edit" is the decoding and application of the command at each
// control VM, "delta" the computation of the change, once per revision at each
// control VM, and "install" the application of the change at each daemon.
func BenchmarkConfigChange(b *testing.B) {
	for _, n := range []int{100, 1000, 3400} {
		c := configWithServices(n)
		s := stateAfterEdits(b, c, 2)
		delta, ok := s.Changes(1)
		assert.Assert(b, ok)
		assert.Assert(b, delta.Config == nil)
		command, err := shcontrol.EncodeCommand(numberedEdit(2, 2, withTimeout(c, 5)))
		assert.NilError(b, err)
		whole, err := json.Marshal(c)
		assert.NilError(b, err)
		b.Run(fmt.Sprintf("edit/services=%d", n), func(b *testing.B) {
			b.ReportMetric(float64(len(command)), "command-B")
			revision := 2
			for b.Loop() {
				if _, err := shcontrol.DecodeCommand(command); err != nil {
					b.Fatal(err)
				}
				s.Apply(benchTime, numberedEdit(revision, revision, withTimeout(c, 1000+revision)))
				revision++
			}
		})
		b.Run(fmt.Sprintf("delta/services=%d", n), func(b *testing.B) {
			revision, _ := s.Config()
			for i := int(revision); b.Loop(); i++ {
				b.StopTimer()
				s.Apply(benchTime, numberedEdit(i, i, withTimeout(c, 1000+i)))
				b.StartTimer()
				s.Changes(uint64(i))
			}
		})
		b.Run(fmt.Sprintf("install/services=%d", n), func(b *testing.B) {
			message, err := json.Marshal(delta)
			assert.NilError(b, err)
			before := withTimeout(c, 1000)
			cpu := shusage.CPU()
			for b.Loop() {
				var received shcontrol.Change
				if err := json.Unmarshal(message, &received); err != nil {
					b.Fatal(err)
				}
				next, err := received.Apply(before)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := shconfig.Compile(next); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64((shusage.CPU()-cpu).Microseconds())/float64(b.N), "cpu-µs/change")
			b.ReportMetric(float64(len(message)), "delta-B")
			b.ReportMetric(float64(len(whole)), "whole-B")
		})
	}
}

// BenchmarkCatchUp measures the computation, at the control VM, of the change for
// a daemon that missed a number of revisions, and the size of that change. The
// services have as few fields as possible, since the setup makes 1,001 edits.
func BenchmarkCatchUp(b *testing.B) {
	const n = 1000
	c := shconfig.Config{Objective: shconfig.Headroom, Services: map[shmodel.Service]shconfig.Service{}}
	for i := range n {
		c.Services[shmodel.Service(fmt.Sprint("service-", i))] = shconfig.Service{Default: shmodel.OnceOnly, DefaultTimeoutMS: 3000}
	}
	s := new(shcontrol.State)
	// Every edit changes another service, so that the patch grows with the number
	// of missed revisions.
	next := func() {
		r, _ := s.Config()
		i := int(r)
		c = withTimeout(c, 3000)
		c.Services[shmodel.Service(fmt.Sprint("service-", i%n))] = shconfig.Service{Default: shmodel.OnceOnly, DefaultTimeoutMS: int64(4000 + i)}
		s.Apply(benchTime, numberedEdit(i, i, c))
	}
	for range 1001 {
		next()
	}
	current, _ := s.Config()
	for _, missed := range []uint64{10, 100, 1000, current} {
		name := fmt.Sprint("missed=", missed)
		if missed == current {
			name = "whole"
		}
		b.Run(name, func(b *testing.B) {
			size := 0
			for b.Loop() {
				b.StopTimer()
				// An edit drops the cached changes.
				next()
				r, _ := s.Config()
				since := r - missed
				if missed == current {
					since = 0
				}
				b.StartTimer()
				change, _ := s.Changes(since)
				message, err := json.Marshal(change)
				if err != nil {
					b.Fatal(err)
				}
				size = len(message)
			}
			b.ReportMetric(float64(size), "B")
		})
	}
}

func numberedClaim(i int) shcontrol.OpenClaim {
	return shcontrol.OpenClaim{
		Key:       shmodel.ClaimKey{Service: "issuance-payments-ledger", Key: fmt.Sprintf("01234567-89ab-cdef-0123-%012d", i)},
		RequestID: shmodel.RequestID(i + 1),
		Attempt: shcontrol.Attempt{
			Number: 1, VM: "south-a-1", BackendServer: "issuance-payments-ledger-s1",
			Address: "127.0.0.1:4000", Incarnation: 1, DispatchBy: benchTime.Add(time.Hour),
		},
	}
}

// BenchmarkStateMemory measures live memory per claim (in progress, answered
// with a body of 256 bytes, and reduced to its hash), per active grant, per
// configuration, and per client address block. The blocks are in a plain map,
// since the configuration has no client blocks.
func BenchmarkStateMemory(b *testing.B) {
	const n = 20_000
	report := func(b *testing.B, count int, unit string, fill func() any) {
		for b.Loop() {
			before := shusage.Heap()
			kept := fill()
			b.ReportMetric(float64(int64(shusage.Heap())-int64(before))/float64(count), unit)
			if kept == nil {
				b.Fatal("nothing was kept")
			}
		}
	}
	open := func(s *shcontrol.State) {
		for i := range n {
			s.Apply(benchTime, numberedClaim(i))
		}
	}
	answer := func(s *shcontrol.State) {
		for i := range n {
			c := numberedClaim(i)
			s.Apply(benchTime, shcontrol.CloseClaim{
				Key: c.Key, RequestID: c.RequestID, Attempt: 1, Outcome: shmodel.Answered,
				Answer: shcontrol.Answer{Status: 200, Header: map[string][]string{"Content-Type": {"application/json"}}, Body: make([]byte, 256)},
			})
		}
	}
	b.Run("claim-open", func(b *testing.B) {
		report(b, n, "B/claim", func() any { s := new(shcontrol.State); open(s); return s })
	})
	b.Run("claim-answered", func(b *testing.B) {
		report(b, n, "B/claim", func() any { s := new(shcontrol.State); open(s); answer(s); return s })
	})
	b.Run("claim-hash", func(b *testing.B) {
		report(b, n, "B/claim", func() any {
			s := new(shcontrol.State)
			open(s)
			answer(s)
			later := benchTime.Add(25 * time.Hour)
			for range n/8 + 1 {
				s.Apply(later, shcontrol.SetDrain{VM: "a"})
			}
			return s
		})
	})
	b.Run("grant", func(b *testing.B) {
		const grants = 1056
		report(b, grants, "B/grant", func() any {
			s := new(shcontrol.State)
			s.Apply(benchTime, numberedEdit(0, 0, configWithServices(1)))
			for i := range 33 {
				for j := range 33 {
					if i == j {
						continue
					}
					s.Apply(benchTime, shcontrol.RequestGrant{
						VM: shmodel.VM(fmt.Sprint("vm-", i)), BitsPerSecond: 1_000_000,
						From: shmodel.Region(fmt.Sprint("region-", i)), To: shmodel.Region(fmt.Sprint("region-", j)),
					})
				}
			}
			assert.Equal(b, len(s.Grants()), grants)
			return s
		})
	})
	for _, blocks := range []int{34_000, 170_000, 340_000} {
		b.Run(fmt.Sprintf("block-map/blocks=%d", blocks), func(b *testing.B) {
			report(b, blocks, "B/block", func() any {
				m := map[netip.Prefix]uint16{}
				for i := range blocks {
					address := netip.AddrFrom4([4]byte{byte(10 + i>>16), byte(i >> 8), byte(i), 0})
					m[netip.PrefixFrom(address, 24)] = uint16(i % 3400)
				}
				return m
			})
		})
	}
	for _, size := range []int{100, 1000, 3400} {
		b.Run(fmt.Sprintf("config/services=%d", size), func(b *testing.B) {
			report(b, 1, "B", func() any {
				compiled, err := shconfig.Compile(configWithServices(size))
				assert.NilError(b, err)
				return compiled
			})
		})
	}
}

// BenchmarkGrant measures the application of a grant renewal while each of 120
// VMs holds a grant for the same link.
func BenchmarkGrant(b *testing.B) {
	s := new(shcontrol.State)
	s.Apply(benchTime, numberedEdit(0, 0, configWithServices(1)))
	held := make([]uint64, 120)
	renew := func(i int) {
		q := shcontrol.RequestGrant{VM: shmodel.VM(fmt.Sprint("vm-", i)), From: "region-0", To: "region-1", BitsPerSecond: 1_000_000}
		if held[i] != 0 {
			q.Renews = []uint64{held[i]}
		}
		held[i] = s.Apply(benchTime, q).(shcontrol.GrantResult).ID
	}
	for i := 0; b.Loop(); i++ {
		renew(i % len(held))
	}
}

// BenchmarkSnapshot measures the encoding of a state with answered claims. The
// store handles no messages during the encoding.
func BenchmarkSnapshot(b *testing.B) {
	for _, n := range []int{1000, 10_000, 50_000} {
		b.Run(fmt.Sprintf("claims=%d", n), func(b *testing.B) {
			s := new(shcontrol.State)
			for i := range n {
				c := numberedClaim(i)
				s.Apply(benchTime, c)
				s.Apply(benchTime, shcontrol.CloseClaim{
					Key: c.Key, RequestID: c.RequestID, Attempt: 1, Outcome: shmodel.Answered,
					Answer: shcontrol.Answer{Status: 200, Body: make([]byte, 256)},
				})
			}
			size := 0
			for b.Loop() {
				data, err := s.Snapshot()
				assert.NilError(b, err)
				size = len(data)
			}
			b.ReportMetric(float64(size)/float64(n), "B/claim")
		})
	}
}
