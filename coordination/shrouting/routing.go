// Package shrouting chooses where one request runs, and holds two baseline
// policies for comparison.
//
// # Model
//
// A request is served by a backend server of the entry VM that received it, is
// forwarded to a peer in the region, shifts to a VM in another region, waits
// for a slot, or is refused. A Policy makes that choice from a Snapshot.
//
// The entry VM knows its own free slots exactly. Those of peers come from
// reports that are up to a second old, or older when reports are delayed. Many
// VMs that see the same report would all choose the same peer. Three rules
// prevent this:
//
//   - PeerTracker subtracts the forwards of this VM that are in flight and
//     younger than the report.
//   - Candidates are two peers drawn by rendezvous hashing of the request ID,
//     so that VMs draw different peers. The better of the two is used.
//   - A peer that refused a forward counts as full for a short time.
//
// A report is unreliable once it is older than a service time. If no slot is
// known to be free, a request is therefore tried at a peer that was last known
// to be full, unless that peer has just refused one. A forwarded request never
// queues: it is served or refused at once, so that the VM that received it from
// the caller can choose again.
//
// A shift needs a valid credit, which reserves a slot in the other region, and a
// free share of the link that the request fits in.
//
// # Objectives
//
// Headroom keeps a request in the region while the expected wait fits the
// deadline. Latency shifts a request when the expected wait exceeds the round
// trip. Both refuse at once what cannot be served before the deadline.
//
// # Use
//
// An entry VM keeps a PeerTracker per service and builds a Snapshot from it.
// Policy.Choose does not change the Snapshot. WantsCredits says whether to ask
// other regions for credits. Unused credits block slots there, so they are
// returned as soon as WantsCredits returns false.
package shrouting

import (
	"time"

	"sequoiahollow/state/shconfig"
	"sequoiahollow/state/shmodel"
)

// Durations.
const (
	// FreshFor is the age up to which a report is trusted. Heartbeats come every
	// 500 ms; two in a row may be lost.
	FreshFor = 1500 * time.Millisecond
	// refusedFor is how long a peer counts as full after it refused a forward.
	// Slots become free within a service time, so a longer period leaves slots of
	// the peer unused.
	refusedFor = 25 * time.Millisecond
	// defaultServiceTime is the assumed service time until one was measured.
	defaultServiceTime = 20 * time.Millisecond
	// ServiceTimeLifetime is how long after its last measurement a service time is a
	// reason to refuse requests. They are then tried again, since nothing else would
	// correct a service time that is too high.
	ServiceTimeLifetime = time.Second
	// minRetryAfter is the least Retry-After of a refusal. The header has a
	// resolution of one second.
	minRetryAfter = time.Second
)

// Snapshot is what an entry VM knows about one service.
type Snapshot struct {
	Objective shconfig.Objective
	Own       Own
	// Peers are the other entry VMs of the region.
	Peers []Peer
	// Regions are VMs of other regions, with and without credits.
	Regions []Remote
	// InnerRoundTrip is the round trip to a peer in the region.
	InnerRoundTrip time.Duration
	// MeanService is the measured service time of the service; zero is unknown.
	MeanService time.Duration
	// MeanServiceAge is the age of the last measurement in MeanService.
	MeanServiceAge time.Duration
}

// Own is the state of the entry VM itself, in slots. It is exact.
type Own struct {
	VM     shmodel.VM
	Place  shmodel.Place
	Free   int
	Usable int
	// Queued is the number of requests that wait at this VM ahead of the request
	// to choose for. If requests behind it counted too, those at the head of a
	// long queue would be refused.
	Queued int
}

// Peer is an entry VM of the region.
type Peer struct {
	VM      shmodel.VM
	Address string
	Place   shmodel.Place
	// Free and Usable are numbers of slots, as reported.
	Free   int
	Usable int
	// ReportAge is the age of the report.
	ReportAge time.Duration
	// Forwarded counts the forwards from this VM that are in flight and not
	// included in the report.
	Forwarded int
	// Refused says that the peer has just refused a forward.
	Refused bool
	// Healthy says that the connection to the peer works.
	Healthy bool
}

// Remote is an entry VM of another region.
type Remote struct {
	VM      shmodel.VM
	Address string
	Place   shmodel.Place
	// Credits is the number of unused valid credits. Credit identifies the grant
	// to use next.
	Credits int
	Credit  uint64
	// LinkFreeBytes is what this VM's share of the link admits now, in both
	// directions.
	LinkFreeBytes int64
	RoundTrip     time.Duration
	// Free is the reported number of free slots. Only the baseline policies use
	// it.
	Free    int
	Healthy bool
}

// Request is the request to choose for.
type Request struct {
	ID   shmodel.RequestID
	Kind shmodel.OperationKind
	// Remaining is the time left until the deadline.
	Remaining time.Duration
	// Bytes is the expected size of request and answer together.
	Bytes int64
	// Forwarded says that another entry VM received the request. It must not
	// be forwarded again.
	Forwarded bool
	// Tried lists the VMs that failed or refused this request.
	Tried []shmodel.VM
}

// Policy makes the choice for one request. The set is closed.
type Policy interface {
	Choose(s *Snapshot, r Request) Choice
	policy()
}

// Choice is the result of a Policy. The set is closed.
type Choice interface{ choice() }

// ServeOwn runs the request on a backend server of this VM.
type ServeOwn struct{}

// Forward hands the request to a peer in the region.
type Forward struct {
	VM      shmodel.VM
	Address string
}

// Shift hands the request to a VM in another region, using one credit.
type Shift struct {
	VM      shmodel.VM
	Address string
	Region  shmodel.Region
	Credit  uint64
}

// Wait queues the request at this VM. Expected is the expected wait.
type Wait struct{ Expected time.Duration }

// Reason is why a request is refused.
type Reason string

// Reasons.
const (
	// NoCapacity says that no slot is expected before the deadline.
	NoCapacity Reason = "no-capacity"
	// PastDeadline says that the request cannot be served in the time left.
	PastDeadline Reason = "past-deadline"
)

// Refuse refuses the request, which has not run.
type Refuse struct {
	Reason     Reason
	RetryAfter time.Duration
}

func (ServeOwn) choice() {}
func (Forward) choice()  {}
func (Shift) choice()    {}
func (Wait) choice()     {}
func (Refuse) choice()   {}
