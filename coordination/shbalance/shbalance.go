// Package shbalance chooses the backend server for one request at an entry VM.
//
// # Model
//
// A backend server answers faster what it has handled recently. So requests with
// the same key should meet the same few backend servers, without any talk
// between entry VMs. An object is mostly asked for by callers of one region, so
// hashing names a home and a backup for each key in the region of the entry VM.
// A region with less than its share of the slots hosts that part of its keys,
// and the others go to the regions that have slots to spare. A fleet of few entry
// VMs has one home a key; in a larger one two in different failure domains share
// the load, since no entry VM sees enough of it to move away in time.
//
// A Balancer estimates for each candidate when the answer would come: the wait
// for a slot, the service time (learned per route, for keys that the backend
// server is known or expected to be warm for and for others), and the round
// trip. The estimate turns into a loss: the part of the benefit that is expected
// to be missed, plus the price of leaving the failure domain or the region, plus
// the share of recent failures. The candidate with the least loss is chosen.
//
// The loss by distance and by waiting is paid by each request, that of a cold run
// only once. So when the requests for a key have paid as much as a cold run
// loses, one request makes the backup warm if that would lose less.
//
// The load of a backend server is the own requests in flight, known exactly, plus
// those of other entry VMs, taken from its last load report and fading with the
// report's age.
//
// A failure domain in which several backend servers in a row cannot be reached is
// left alone, but for one request at a time that probes it.
//
// A cold backend server tolerates few requests from all entry VMs together. Each
// of the coldSharers entry VMs that rendezvous hashing names may send an equal
// part of its rate; the others send nothing.
//
// # Use
//
// Update gives the balancer the current view. Pick books a request on a backend
// server and Done returns it with what was observed. All methods are safe for
// concurrent use. The caller passes the time.
package shbalance

import (
	"time"

	"sequoiahollow/coordination/shfleet"
	"sequoiahollow/state/shmodel"
)

// Losses are in parts of the benefit of a request.
const (
	// otherZone and otherRegion weigh bytes between failure domains and between
	// regions. At both sites an answer of 3 KB costs about a tenth of the benefit
	// of the cheapest request.
	otherZone   = 0.08
	otherRegion = 0.08
	// onTimeUntil and lateFrom are parts of the objective between which the
	// expected loss of an estimate rises to lateLoss: estimates are not exact.
	onTimeUntil = 0.65
	lateFrom    = 1.1
	// lateLoss is what a late answer loses at both sites.
	lateLoss = 0.8
	// warmBackupLoss is what the requests for a key must have lost before one is
	// spent on making another backend server warm: twice the loss of a cold run,
	// since each entry VM decides for itself.
	warmBackupLoss = 2 * lateLoss
	// warmBackupMinRequests is the number of requests that tell how often a key comes.
	warmBackupMinRequests = 5
	// waitLoss makes the sooner of two answers in time the better one.
	waitLoss = 0.1
	// pastDeadlineLoss is what an answer after the deadline loses beyond lateLoss.
	pastDeadlineLoss = 0.2
	// latenessLoss per objective beyond lateFrom prefers the least late answer.
	latenessLoss = 0.1
)

// Times.
const (
	// otherLoadDecay is the time in which the load of others fades.
	otherLoadDecay = 2 * time.Second
	// warmBackupHorizon is how long a backend server is taken to stay warm for a key.
	warmBackupHorizon = 30 * time.Second
	// firstSuspension is how long a backend server that could not be reached is
	// left alone; it doubles up to maxSuspension.
	firstSuspension = 400 * time.Millisecond
	maxSuspension   = 5 * time.Second
	// maxZoneSuspension bounds how long a failure domain is left alone: one that
	// is back should serve within a second.
	maxZoneSuspension = 800 * time.Millisecond
	// replacedSuspension is how long an address that another process answered at is
	// left alone; the view names the new one meanwhile.
	replacedSuspension = 3 * time.Second
	// newBackendPeriod is how long a backend server counts as new.
	newBackendPeriod = 30 * time.Second
)

// Shares and counts.
const (
	// observationWeight is the weight of a new observation.
	observationWeight = 0.15
	// warmFraction of a service time is what a warm backend server needs, before
	// any was measured.
	warmFraction = 0.3
	// coldSenders is the number of entry VMs that may send to a cold backend
	// server. With three, two that disagree about the entry VMs stay within the
	// tolerated excess of a half.
	coldSenders = 3
	// largeFleetEntries is the number of entry VMs from which each of them sees too
	// few answers of a backend server to leave a busy home in time; keys then
	// have homesOfMany homes. The sites have 7, 27 and 34.
	largeFleetEntries   = 16
	largeFleetPrimaries = 2
	// maxKeys bounds the keys of a route that are remembered.
	maxKeys = 4096
	// minSpareShare is the weight of a region without slots to spare for the keys of
	// others, as a part of the share of a region.
	minSpareShare = 0.01
	// keyRegionSalt keeps the choice of a region apart from that of a home.
	keyRegionSalt = 0x7e3a
	// backupFraction makes the backup of a key the first choice among backend
	// servers that are all cold for it.
	backupFraction = 0.9
	// maxWarmKeys bounds the keys that a backend server is taken to be warm for.
	// Those of the sites keep 18 to 70, of the grown sites 9 to 31.
	maxWarmKeys = 18
	// maxSpillUtilization is the pressure (load against slots of a service) up to which a
	// key may get a cold run away from its home, and lateUntil that up to which
	// requests are taken though their answers will be late.
	maxSpillUtilization = 0.7
	maxLateUtilization  = 0.9
	// unreachableThreshold is the number of backend servers in a row that cannot be
	// reached before their failure domain is taken to be lost; single ones crash.
	unreachableThreshold = 3
	// queueFactor bounds the load of a backend server, in slots: a longer queue
	// is shed.
	queueFactor = 3
	// failureLoss is the loss of a failed request that may not be repeated;
	// others lose failureRetryLoss.
	failureLoss      = 1.0
	failureRetryLoss = 0.5
)

// Place is where an entry VM runs and how far it is from other regions.
type Place struct {
	VM     shmodel.VM
	Zone   shmodel.FailureDomain
	Region shmodel.Region
	// Regions maps failure domains to regions.
	Regions map[shmodel.FailureDomain]shmodel.Region
}

// Request is what a choice depends on.
type Request struct {
	Route   *shfleet.Route
	Service shmodel.Service
	// Key names the object of the request; "" if there is none.
	Key string
	// Tried are backend servers that must not get the request again.
	Tried []shmodel.BackendServer
	// Elapsed is the time since the caller sent it, and Left the time until it
	// must be answered.
	Elapsed time.Duration
	Left    time.Duration
}

// Choice is a booked request. It goes back to Done.
type Choice struct {
	Backend shfleet.Backend
	// Estimate is the expected response time, and Warm whether the backend
	// server is taken to be warm for the key.
	Estimate time.Duration
	Warm     bool
	// Load is the estimated number of requests there before this one.
	Load float64

	route       string
	key         string
	at          time.Time
	serviceTime time.Duration
	roundTrip   time.Duration // of the service time, the round trip
	primary     bool
	queued      bool
	loss        float64
	warmsBackup bool // the request makes an anchor warm
}

// Observation is the end of a booked request. The set is closed.
type Observation interface{ observation() }

// Answered is an answer of the backend server. Failed says that it reports a
// failure of its own.
type Answered struct {
	Failed bool
	// Load is the load report of the answer, nil if it had none.
	Load *Load
	// Connect is how long a new connection took, zero if a kept one was used.
	Connect time.Duration
}

// Shed says that the backend server refused the request without running it.
type Shed struct{ Load *Load }

// Broken says that the connection broke or what came back was no answer.
type Broken struct{}

// Slow says that no answer came in time.
type Slow struct{}

// Unreachable says that no connection could be made.
type Unreachable struct{}

// Replaced says that another process answered at the address.
type Replaced struct{}

// Canceled says that the caller gave up.
type Canceled struct{}

func (Answered) observation()    {}
func (Shed) observation()        {}
func (Broken) observation()      {}
func (Slow) observation()        {}
func (Unreachable) observation() {}
func (Replaced) observation()    {}
func (Canceled) observation()    {}

// Load is a load report, in requests. Slots may be zero if unknown.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Refusal says why no backend server was chosen.
type Refusal struct {
	Reason Reason
	// RetryAfter is when a backend server is expected to have room.
	RetryAfter time.Duration
}

// Reason classifies a Refusal.
type Reason string

// Reasons.
const (
	// NoBackend says that the service has no backend server that may be used.
	NoBackend Reason = "no backend server"
	// Overloaded says that none can answer in time.
	Overloaded Reason = "overloaded"
)
