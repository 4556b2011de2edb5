// Package shbalance chooses the backend server for one request at an entry VM.
//
// # Model
//
// A backend server is warm for the keys that it handled recently: it answers
// them faster. So requests with the same key should go to the same few backend
// servers, without coordination between entry VMs. Most requests for an object
// come from callers of one region, so rendezvous hashing names a primary and a
// backup for each key in the region of the entry VM. A region with less than an
// equal share of the slots keeps only the corresponding part of its keys, and
// hashing maps the others to the regions that have slots to spare. In a fleet of
// few entry VMs a key has one primary. In a larger one two primaries in different
// failure domains share the load of a key, since no entry VM sees enough of that
// load to leave a busy primary in time. If callers send uploads, the loads of entry VMs
// are shared and the primary has manySlots, it is the only one.
//
// A Balancer estimates the response time of each candidate: the wait for a slot,
// the service time (learned per route, for keys that the backend server is known
// or expected to be warm for and for others), and the round trip. The estimate
// turns into a loss: the part of the benefit that is expected to be missed, plus
// the cost of leaving the failure domain or the region, plus a penalty for recent
// failures. The candidate with the least loss is chosen.
//
// Distance and waiting cause a loss for every request for a key. A cold run causes
// one only for the request that runs cold. So when the requests for a key have
// lost more than a cold run would, one request goes to the backup to warm it, if
// later requests would lose less there.
//
// The load of a backend server is the requests in flight from this entry VM,
// known exactly, plus those of other entry VMs, taken from the last load report
// and decaying with the age of the report.
//
// A failure domain in which several backend servers in a row cannot be reached is
// suspended: it gets no requests for a while, and then one request at a time until
// one is answered.
//
// What is learned from requests can be wrong, for example if the VM was paused. So
// a learned response time never keeps all requests of a route from being sent: now
// and then one is sent to show whether the time is still true.
//
// A backend server may say in its answers that it leaves, or that it wants no
// requests for some time. It then gets none, also against a view that says
// otherwise: the first until its process ends, the second until that time has
// passed. Afterwards it gets requests again, few at first.
//
// A cold backend server tolerates few requests from all entry VMs together. Each
// of the coldSenders entry VMs that rendezvous hashing names may send an equal
// part of its rate; the others send nothing.
//
// A request may be sent to a second backend server if its answer is later than most and
// another one is likely sooner; see Hedge. HedgeShare bounds how many are.
//
// # Use
//
// Update gives the balancer the current view. Pick chooses a backend server and
// counts the request as in flight there. Done ends the request with what was
// observed. All methods are safe for concurrent use. The caller passes the time.
package shbalance

import (
	"time"

	"sequoiahollow/coordination/shfleet"
	"sequoiahollow/state/shmodel"
)

// Losses are fractions of the benefit of a request.
const (
	// otherZone and otherRegion are the cost of the bytes sent between failure
	// domains and between regions. In both example deployments an answer of 3 KB
	// costs about a tenth of the benefit of the cheapest request.
	otherZone   = 0.08
	otherRegion = 0.08
	// onTimeUntil and lateFrom are fractions of the objective. Estimates are not
	// exact, so between these two the expected loss rises to lateLoss.
	onTimeUntil = 0.65
	lateFrom    = 1.1
	// lateLoss is what a late answer loses in both example deployments.
	lateLoss = 0.8
	// warmBackupLoss is what the requests for a key must have lost before one of
	// them warms the backup: twice the loss of a cold run, since each entry VM
	// decides for itself.
	warmBackupLoss = 2 * lateLoss
	// warmBackupMinRequests is the number of requests from which the request rate
	// of a key is estimated.
	warmBackupMinRequests = 5
	// waitLoss is the loss of an answer in time per objective of response time.
	// It makes the sooner of two answers in time the better one.
	waitLoss = 0.1
	// pastDeadlineLoss is what an answer after the deadline loses beyond lateLoss.
	pastDeadlineLoss = 0.2
	// latenessLoss is the further loss per objective beyond lateFrom. It makes the
	// sooner of two late answers the better one.
	latenessLoss = 0.1
)

// Times.
const (
	// otherLoadDecay is the time constant with which the reported load of other
	// entry VMs decays.
	otherLoadDecay = 2 * time.Second
	// warmBackupHorizon is how long a backend server is assumed to stay warm for a
	// key.
	warmBackupHorizon = 30 * time.Second
	// firstSuspension is how long a backend server that could not be reached gets
	// no requests. Each further failure doubles the time, up to maxSuspension.
	firstSuspension = 400 * time.Millisecond
	maxSuspension   = 5 * time.Second
	// maxZoneSuspension bounds how long a failure domain gets no requests: one
	// that is back should serve within a second.
	maxZoneSuspension = 800 * time.Millisecond
	// replacedSuspension is how long a backend server gets no requests after
	// another process answered at its address. Meanwhile the view gets the new
	// process.
	replacedSuspension = 3 * time.Second
	// maxStatedWait bounds for how long a backend server may ask to get no requests,
	// so that one wrong number does not take it out of use for good.
	maxStatedWait = 5 * time.Minute
	// returnPeriod is how long it takes after that time until it gets requests
	// without a limit.
	returnPeriod = time.Second
	// absentPeriod is how long the statement of an instance that is not in the view is
	// remembered. A backend server that leaves ends within seconds.
	absentPeriod = 10 * time.Minute
	// probeInterval is how long a learned response time may keep all requests of a
	// route from being sent until one is sent nevertheless, and the time between such
	// requests.
	probeInterval = 500 * time.Millisecond
	// maxRoundTrip bounds an observed round trip: it is the dial timeout of the origin
	// client.
	maxRoundTrip = 300 * time.Millisecond
	// stallMargin is how long after its deadline a request may end while this VM
	// runs: timers and goroutines are late under load.
	stallMargin = 100 * time.Millisecond
	// fadeTime is the time constant with which known failures and slowness of a
	// backend server fade while it answers no requests of this VM, and fadeInterval
	// the step in which they do.
	fadeTime     = 20 * time.Second
	fadeInterval = time.Second
	// newBackendPeriod is how long a backend server counts as new.
	newBackendPeriod = 30 * time.Second
)

// Fractions and counts.
const (
	// observationWeight is the weight of a new observation in a moving average.
	observationWeight = 0.15
	// warmFraction is the assumed ratio of warm to cold service time until a warm
	// one was measured.
	warmFraction = 0.3
	// coldSenders is the number of entry VMs that may send to a cold backend
	// server, and that try one that has joined. With three, the total rate stays within the tolerated excess of a
	// half while two entry VMs have different lists of entry VMs.
	coldSenders = 3
	// largeFleetEntries is the number of entry VMs from which each of them sees too
	// few answers of a backend server to leave a busy primary in time. Keys then
	// have largeFleetPrimaries primaries. The example deployments have 7, 27 and 34
	// entry VMs.
	largeFleetEntries   = 16
	largeFleetPrimaries = 2
	// manySlots is the number of slots from which one primary suffices if the loads of
	// entry VMs are shared: a busy one is left in time then, and seldom full. At half of
	// its slots in use by random arrivals, a request finds none free in 24% of the cases
	// with 3 slots, in 10% with 6 and in 5% with 9 (Erlang C). A second one saves bytes
	// between failure domains and costs cold runs.
	manySlots = 6
	// maxKeys bounds the remembered keys.
	maxKeys = 16384
	// maxAbsent bounds the remembered statements of instances that are not in the
	// view. The largest example deployment has 1,620 backend servers.
	maxAbsent = 4096
	// maxRoutes bounds the routes with learned response times. The largest tables of
	// the example deployments have some 2,400.
	maxRoutes = 8192
	// minSpareShare is the weight with which a region without slots to spare gets
	// keys of other regions, as a fraction of the mean slots of a region.
	minSpareShare = 0.01
	// keyRegionSalt makes the choice of a key's region independent of the choice
	// of its primaries.
	keyRegionSalt = 0x7e3a
	// backupFraction scales the expected cold service time of a key's backup, so
	// that the backup is preferred among backend servers that are all cold for
	// the key.
	backupFraction = 0.9
	// maxWarmKeys bounds the keys that a backend server is assumed to be warm for.
	// Backend servers of the example deployments stay warm for 18 to 70 keys,
	// those of the larger variants for 9 to 31.
	maxWarmKeys = 18
	// maxSpillUtilization is the utilization (load per slot of a service) up to
	// which a key may run cold away from its primaries. maxLateUtilization is that
	// up to which requests are accepted although their answers will be late.
	maxSpillUtilization = 0.7
	maxLateUtilization  = 0.9
	// unreachableThreshold is the number of unreachable backend servers in a row
	// from which their failure domain is assumed to be lost. Fewer may be single
	// backend servers that crashed.
	unreachableThreshold = 3
	// queueFactor bounds the load of a backend server, in multiples of its slots:
	// it sheds requests beyond that.
	queueFactor = 3
	// maxReportFactor bounds a reported load, in multiples of the slots.
	maxReportFactor = 2 * queueFactor
	// failureLoss is the loss of a failed request that may not be retried;
	// others lose failureRetryLoss.
	failureLoss      = 1.0
	failureRetryLoss = 0.5
)

// Place is where an entry VM runs and which regions the failure domains are in.
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
	// Regions lists where the request may be served besides the regions of the route,
	// which bind as well; empty means everywhere.
	Regions []shmodel.Region
	// Tried are backend servers that must not get the request again.
	Tried []shmodel.BackendServer
	// Elapsed is the time since the caller sent it, and Left the time until it
	// must be answered.
	Elapsed time.Duration
	Left    time.Duration
	// BodyBytes is the length of the body.
	BodyBytes int64
}

// Choice is the backend server that was chosen for a request. It is passed to
// Done when the request has ended.
type Choice struct {
	Backend shfleet.Backend
	// Estimate is the expected response time, and Warm whether the backend
	// server is assumed to be warm for the key.
	Estimate time.Duration
	Warm     bool
	// Load is the estimated number of requests there before this one.
	Load float64

	route       string
	key         string
	at          time.Time
	left        time.Duration // until the deadline
	serviceTime time.Duration
	roundTrip   time.Duration // part of serviceTime
	bodyBytes   int64         // counted in flight
	room        bool          // the body fits the bytes in flight
	unslowed    time.Duration // serviceTime of an average backend server, without roundTrip
	hedgeable   bool          // may be sent a second time
	primary     bool
	queued      bool
	loss        float64
	warmsBackup bool // the request is sent to warm the key's backup
}

// Observation is the result of a request. The set is closed.
type Observation interface{ observation() }

// Answered is an answer of the backend server. Failed says that the backend
// server reports a failure of its own.
type Answered struct {
	Failed bool
	// Load is the load report of the answer, nil if it had none.
	Load *Load
	// Connect is how long a new connection took, zero if one was reused.
	Connect time.Duration
	// Transfer is how long the body took after the head, if it was passed on
	// while it arrived. It depends on links, not on the backend server.
	Transfer time.Duration
}

// Shed says that the backend server refused the request without running it.
type Shed struct{ Load *Load }

// Declined says that the backend server turned the request away and stated for how
// long it wants no others; see Balancer.ObserveWait. That is no failure.
type Declined struct{ Load *Load }

// Broken says that the connection broke or that the answer was malformed.
type Broken struct{}

// Slow says that no answer came in time.
type Slow struct{}

// Unreachable says that no connection could be made.
type Unreachable struct{}

// Replaced says that another process answered at the address.
type Replaced struct{}

// Canceled says that the caller gave up.
type Canceled struct{}

// Outrun says that the request was canceled because another backend server, to which it
// was sent as well, answered first.
type Outrun struct{}

func (Answered) observation()    {}
func (Shed) observation()        {}
func (Declined) observation()    {}
func (Broken) observation()      {}
func (Slow) observation()        {}
func (Unreachable) observation() {}
func (Replaced) observation()    {}
func (Canceled) observation()    {}
func (Outrun) observation()      {}

// Load is a load report, in requests. Slots may be zero if unknown.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// PacePercent is the time that work takes on the host of the backend server at
	// the moment of the report, in percent of the usual time; zero if unknown.
	PacePercent int
}

// Refusal says why no backend server was chosen.
type Refusal struct {
	Reason Reason
	// RetryAfter is how long until a backend server is expected to have a slot.
	RetryAfter time.Duration
	// Candidates is the number of backend servers that might have been used, and
	// Utilization their load per slot.
	Candidates  int
	Utilization float64
	// Without candidates, Leaving is the number of backend servers that have said
	// that they leave, and Waiting of those that want no requests for some time.
	Leaving int
	Waiting int
	// Soonest is the candidate with the shortest wait for a slot, zero if there is
	// none.
	Soonest Estimate
}

// Estimate is what a balancer assumes of one backend server for one request.
type Estimate struct {
	Backend shmodel.BackendServer
	Load    float64
	// Wait is the expected time until a slot is free. Warm is the expected time from
	// then to the answer, if the backend server is warm for the key; RoundTrip is
	// the part of it that the network takes.
	Wait      time.Duration
	Warm      time.Duration
	RoundTrip time.Duration
}

// Reason classifies a Refusal.
type Reason string

// Reasons.
const (
	// NoBackend says that the service has no backend server that may be used.
	NoBackend Reason = "no backend server"
	// AskedToWait says that all that might be used want no requests for some time,
	// of which RetryAfter is the rest.
	AskedToWait Reason = "backend servers asked to wait"
	// Overloaded says that none can answer in time.
	Overloaded Reason = "overloaded"
)
