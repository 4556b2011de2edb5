// Package shconfig defines the operators' configuration: services, regions and
// the limits on traffic that is sent to other regions.
//
// Operators keep it as a folder of JSON files. The files are merged in the
// order of their names: objects merge key by key, any other value replaces the
// earlier one, and null removes it. The merged document is checked as a whole.
// An accepted document gets a revision from the replicated state.
//
// Load reads a folder and Parse one document. Diff and Delta compare two
// configurations, and ApplyDelta applies a delta. Compile prepares a
// configuration for matching requests.
package shconfig

import "sequoiahollow/state/shmodel"

// Objective is the first criterion of routing decisions.
type Objective string

// Objectives.
const (
	// Headroom keeps a request in its region while the queue fits the deadline.
	Headroom Objective = "headroom"
	// Latency lets a request leave its region when the expected wait exceeds the
	// round trip to another one.
	Latency Objective = "latency"
)

// Config is one whole configuration. The zero Config has no services and is not
// valid. The keys of Links are names that operators choose.
type Config struct {
	Objective Objective                   `json:"objective,omitempty"`
	Regions   map[shmodel.Region]Region   `json:"regions,omitempty"`
	Links     map[string]Link             `json:"links,omitempty"`
	Services  map[shmodel.Service]Service `json:"services,omitempty"`
	Limits    Limits                      `json:"limits,omitzero"`
}

// Region is one region. ClientLatencyMS is the one-way latency to callers and
// InnerLatencyMS that between the failure domains of the region, in
// milliseconds.
type Region struct {
	FailureDomains  []shmodel.FailureDomain `json:"failureDomains"`
	ClientLatencyMS float64                 `json:"clientLatencyMs,omitempty"`
	InnerLatencyMS  float64                 `json:"innerLatencyMs,omitempty"`
}

// Link is the ordered pair of regions From → To. Rates are in bits per second.
// CapBitsPerSecond bounds all traffic of the system on the pair;
// ControlBitsPerSecond of it is reserved for control and account messages. LatencyMS
// is the one-way latency in milliseconds.
type Link struct {
	From                 shmodel.Region `json:"from"`
	To                   shmodel.Region `json:"to"`
	CapBitsPerSecond     int64          `json:"capBitsPerSecond"`
	ControlBitsPerSecond int64          `json:"controlBitsPerSecond"`
	LatencyMS            float64        `json:"latencyMs,omitempty"`
}

// Service is one service. Operations are matched in order; the first match
// decides, and Default applies when none matches. Timeouts are in
// milliseconds; MaxBodyBytes 0 selects DefaultMaxBodyBytes.
type Service struct {
	Hosts            []string              `json:"hosts,omitempty"`
	Default          shmodel.OperationKind `json:"default"`
	Operations       []Operation           `json:"operations,omitempty"`
	DefaultTimeoutMS int64                 `json:"defaultTimeoutMs"`
	MaxBodyBytes     int64                 `json:"maxBodyBytes,omitempty"`
	ServiceLevel     ServiceLevel          `json:"serviceLevel,omitzero"`
	Size             Size                  `json:"size,omitzero"`
}

// Size is the planned size of a service over all regions. It informs operators;
// routing uses only what backend servers announce. Slots and
// Connections are per backend server.
type Size struct {
	BackendServers int `json:"backendServers"`
	Slots          int `json:"slots"`
	Connections    int `json:"connections"`
}

// Operation matches requests by method and by path. Path is a net/http mux
// path pattern without method or host, such as /invoices/{id}.
type Operation struct {
	Method string                `json:"method"`
	Path   string                `json:"path"`
	Kind   shmodel.OperationKind `json:"kind"`
}

// ServiceLevel is the objective that the burn report measures against.
// GoodShare is the share of good requests, 0 to 1; a good request is answered
// within LatencyMS.
type ServiceLevel struct {
	GoodShare float64 `json:"goodShare"`
	LatencyMS int64   `json:"latencyMs"`
}

// Limits holds deployment-wide limits. Zero values select the defaults, which
// are in WithDefaults.
//
//   - LookupCacheMS is how long callers may cache a lookup answer, in ms.
//   - CrashLimit is the number of backend servers that a request may crash
//     before it is quarantined.
//   - RetryShare and HedgeShare are extra attempts per request, 0 to 1.
//   - ReserveShare is the share of slots that are not lent to other regions,
//     0 to 0.9.
//   - ClaimHours is how long claims of once-only work keep their answers.
//   - ClockErrorMS is the largest difference between the clocks of VMs, in ms.
type Limits struct {
	LookupCacheMS int64   `json:"lookupCacheMs,omitempty"`
	CrashLimit    int     `json:"crashLimit,omitempty"`
	RetryShare    float64 `json:"retryShare,omitempty"`
	HedgeShare    float64 `json:"hedgeShare,omitempty"`
	ReserveShare  float64 `json:"reserveShare,omitempty"`
	ClaimHours    int     `json:"claimHours,omitempty"`
	ClockErrorMS  int64   `json:"clockErrorMs,omitempty"`
}
