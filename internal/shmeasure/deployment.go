package main

import (
	"time"

	"sequoiahollow/state/shconfig"
	"sequoiahollow/state/shmodel"
)

// deployment is one of the two deployments, with the sizes and one-way latencies
// of docs/design.md. Service times, answer sizes and the distribution of callers
// are assumptions.
type deployment struct {
	name      string
	objective shconfig.Objective
	services  []service
	// vms is the number of entry VMs per region.
	vms []int
	// callers is the share of the callers per region.
	callers       []float64
	clientLatency time.Duration
	domainLatency time.Duration
	regionLatency time.Duration
	// linkBits is the cap of the traffic of an ordered pair of regions, in bits
	// per second.
	linkBits float64
}

// service is a service that serves only idempotent requests.
type service struct {
	name    shmodel.Service
	servers int
	slots   int
	// mean is the mean of the service times, which are exponentially distributed.
	mean        time.Duration
	answerBytes int64
	timeout     time.Duration
}

func (s service) capacity() float64 { return float64(s.servers*s.slots) / s.mean.Seconds() }

var deployments = []deployment{
	{
		name:      "Huon Ridge",
		objective: shconfig.Headroom,
		services: []service{
			{name: "field-sampling-records", servers: 16, slots: 3, mean: 30 * time.Millisecond, answerBytes: 20 << 10, timeout: 2 * time.Second},
			{name: "methodology-library", servers: 12, slots: 3, mean: 40 * time.Millisecond, answerBytes: 60 << 10, timeout: 2 * time.Second},
		},
		vms:           []int{3, 2, 2},
		callers:       []float64{0.4, 0.35, 0.25},
		clientLatency: 8 * time.Millisecond,
		domainLatency: 1500 * time.Microsecond,
		regionLatency: 12 * time.Millisecond,
		linkBits:      280e6,
	},
	{
		name:      "Leadlight",
		objective: shconfig.Latency,
		services: []service{
			{name: "proof-viewing", servers: 18, slots: 9, mean: 40 * time.Millisecond, answerBytes: 200 << 10, timeout: 2 * time.Second},
			{name: "kiln-board", servers: 12, slots: 3, mean: 20 * time.Millisecond, answerBytes: 4 << 10, timeout: 2 * time.Second},
		},
		vms:           []int{3, 2, 2},
		callers:       []float64{0.4, 0.35, 0.25},
		clientLatency: 3 * time.Millisecond,
		domainLatency: 1500 * time.Microsecond,
		regionLatency: 35 * time.Millisecond,
		linkBits:      4000e6,
	},
}

// scenario is a load and a fault that begins at faultAt.
type scenario struct {
	name string
	// load is the offered load as a share of the capacity of all slots.
	load       float64
	loseVM     bool
	loseRegion bool
	// rolling kills and restarts the entry VMs one after the other. Planned stops
	// would have less effect, since they hand the backend servers over.
	rolling bool
	// linkShare is the share of the cap of each link that is free.
	linkShare float64
	// reportDelay is added to the latency of reports.
	reportDelay time.Duration
	// reportIdle makes one VM per region report all slots as free.
	reportIdle bool
}

// normalLoad keeps half of the slots busy, so that the loss of one of three
// regions loads the others to 75%.
const normalLoad = 0.5

var scenarios = []scenario{
	{name: "normal day", load: normalLoad, linkShare: 1},
	{name: "1.5 times load", load: 1.5 * normalLoad, linkShare: 1},
	{name: "one entry VM lost", load: normalLoad, linkShare: 1, loseVM: true},
	{name: "region lost and back cold", load: normalLoad, linkShare: 1, loseRegion: true},
	{name: "link at its cap", load: 1.5 * normalLoad, linkShare: 0.001},
	{name: "reports 10 s old", load: normalLoad, linkShare: 1, reportDelay: 10 * time.Second},
	{name: "rolling restart", load: normalLoad, linkShare: 1, rolling: true},
	{name: "reports claim idle", load: 1.5 * normalLoad, linkShare: 1, reportIdle: true},
}
