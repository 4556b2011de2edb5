package main

import (
	"time"

	"sequoiahollow/state/shconfig"
	"sequoiahollow/state/shmodel"
)

// deployment is one of the two deployments, with the sizes and latencies of
// docs/design.md. Service times, answer sizes and the distribution of callers
// are assumptions.
type deployment struct {
	name      string
	objective shconfig.Objective
	services  []service
	// vms is the number of entry VMs per region.
	vms []int
	// callers is the share of the callers per region.
	callers []float64
	client  time.Duration
	domain  time.Duration
	region  time.Duration
	// linkBits is the cap of an ordered pair of regions.
	linkBits float64
}

// service has idempotent lookups only.
type service struct {
	name    shmodel.Service
	servers int
	slots   int
	// mean is the mean of exponentially distributed service times.
	mean    time.Duration
	bytes   int64
	timeout time.Duration
}

func (s service) capacity() float64 { return float64(s.servers*s.slots) / s.mean.Seconds() }

var deployments = []deployment{
	{
		name:      "Huon Ridge",
		objective: shconfig.Headroom,
		services: []service{
			{name: "field-sampling-records", servers: 16, slots: 3, mean: 30 * time.Millisecond, bytes: 20 << 10, timeout: 2 * time.Second},
			{name: "methodology-library", servers: 12, slots: 3, mean: 40 * time.Millisecond, bytes: 60 << 10, timeout: 2 * time.Second},
		},
		vms:      []int{3, 2, 2},
		callers:  []float64{0.4, 0.35, 0.25},
		client:   8 * time.Millisecond,
		domain:   1500 * time.Microsecond,
		region:   12 * time.Millisecond,
		linkBits: 280e6,
	},
	{
		name:      "Leadlight",
		objective: shconfig.Latency,
		services: []service{
			{name: "proof-viewing", servers: 18, slots: 9, mean: 40 * time.Millisecond, bytes: 200 << 10, timeout: 2 * time.Second},
			{name: "kiln-board", servers: 12, slots: 3, mean: 20 * time.Millisecond, bytes: 4 << 10, timeout: 2 * time.Second},
		},
		vms:      []int{3, 2, 2},
		callers:  []float64{0.4, 0.35, 0.25},
		client:   3 * time.Millisecond,
		domain:   1500 * time.Microsecond,
		region:   35 * time.Millisecond,
		linkBits: 4000e6,
	},
}

// scenario is a load and a fault. Faults begin at faultAt.
type scenario struct {
	name string
	// load is the share of all slots that the callers keep busy.
	load       float64
	loseVM     bool
	loseRegion bool
	// rolling kills and restarts the entry VMs one after the other. A planned
	// stop, which hands the backend servers over, would cost less.
	rolling bool
	// linkShare is the free share of each link.
	linkShare float64
	// reportDelay is added to the age of reports.
	reportDelay time.Duration
	// claimIdle lets one VM per region report all slots as free.
	claimIdle bool
}

// normalLoad keeps half of the slots busy, so that the loss of one of three
// regions leaves 75% on the others.
const normalLoad = 0.5

var scenarios = []scenario{
	{name: "normal day", load: normalLoad, linkShare: 1},
	{name: "1.5 times load", load: 1.5 * normalLoad, linkShare: 1},
	{name: "one entry VM lost", load: normalLoad, linkShare: 1, loseVM: true},
	{name: "region lost and back cold", load: normalLoad, linkShare: 1, loseRegion: true},
	{name: "link at its cap", load: 1.5 * normalLoad, linkShare: 0.001},
	{name: "reports 10 s old", load: normalLoad, linkShare: 1, reportDelay: 10 * time.Second},
	{name: "rolling restart", load: normalLoad, linkShare: 1, rolling: true},
	{name: "reports claim idle", load: 1.5 * normalLoad, linkShare: 1, claimIdle: true},
}
