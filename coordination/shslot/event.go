package shslot

import (
	"time"

	"sequoiahollow/state/shmodel"
)

// Event is an input of Table.Apply. The set is closed.
type Event interface{ event() }

// Announced is an announcement of a backend server. Its fields mirror
// shwire.Announcement.
type Announced struct {
	BackendServer shmodel.BackendServer
	Service       shmodel.Service
	// Address is IP:port.
	Address     string
	Place       shmodel.Place
	Incarnation uint64
	Slots       int
	Connections int
	InFlight    int
	Load        float64
	Cold        bool
	Leaving     bool
	Nonce       string
}

// CreditRequested asks for Count credits of Service for VM in another region.
type CreditRequested struct {
	VM      shmodel.VM
	Service shmodel.Service
	Count   int
}

// CreditReturned gives Count unused credits back.
type CreditReturned struct {
	ID    CreditID
	Count int
}

// Tick lets time pass. It is due every 100 ms.
type Tick struct{}

// StopBegun starts the handover to Owners, which are the addresses that
// backend servers may announce to, best first.
type StopBegun struct{ Owners []string }

// SoloCancelled withdraws the wait for a solo run of RequestID.
type SoloCancelled struct{ RequestID shmodel.RequestID }

// ConnectionRefused says that the address of a backend server refused a connection: the
// process that announced Incarnation does not listen any more.
type ConnectionRefused struct {
	BackendServer shmodel.BackendServer
	Incarnation   uint64
}

func (ConnectionRefused) event() {}
func (Announced) event()         {}
func (CreditRequested) event()   {}
func (CreditReturned) event()    {}
func (Tick) event()              {}
func (StopBegun) event()         {}
func (SoloCancelled) event()     {}

// Effect is an output of Table. The set is closed.
type Effect interface{ effect() }

// AnswerAnnouncement is the answer to an announcement. Its fields mirror
// shwire.AnnouncementAnswer. Rejected is the reason why the announcement was
// not accepted, and empty otherwise; a rejected one gets no nonce.
type AnswerAnnouncement struct {
	BackendServer shmodel.BackendServer
	Nonce         string
	Lease         time.Duration
	Released      bool
	Owners        []string
	Rejected      string
}

// CreditGranted lends Count slots of Service to VM. The holder may use them for
// Duration, counted from when it sent the request. Count may be zero.
type CreditGranted struct {
	ID       CreditID
	VM       shmodel.VM
	Service  shmodel.Service
	Count    int
	Duration time.Duration
}

// CrashSuspected reports that a backend server died while it ran the requests
// with Digests. Solo says that it ran only the one request.
type CrashSuspected struct {
	BackendServer shmodel.BackendServer
	Digests       []shmodel.Digest
	Solo          bool
}

// BreakCleared says that a backend server is alive after a connection to it
// broke. Each break ends with BreakCleared or CrashSuspected.
type BreakCleared struct{ BackendServer shmodel.BackendServer }

// SoloReady says that the backend server marked for RequestID is idle; the
// next solo Reserve for RequestID succeeds.
type SoloReady struct{ RequestID shmodel.RequestID }

// HandoverDone says that the last backend server was released after StopBegun.
type HandoverDone struct{}

func (AnswerAnnouncement) effect() {}
func (CreditGranted) effect()      {}
func (CrashSuspected) effect()     {}
func (BreakCleared) effect()       {}
func (SoloReady) effect()          {}
func (HandoverDone) effect()       {}

// ReservationID identifies a reservation of one table. Zero is none.
type ReservationID uint64

// CreditID identifies a grant of credits of one table. Zero is none.
type CreditID uint64

// Class is the kind of demand that a reservation serves.
type Class int

// Classes.
const (
	// Local is demand of the region of the owner.
	Local Class = iota
	// Remote is demand of another region; it uses up one credit.
	Remote
	// Solo takes all slots of an idle backend server.
	Solo
)

// ReservationRequest describes a reservation. Exclude lists backend servers not to choose.
type ReservationRequest struct {
	Service   shmodel.Service
	Class     Class
	Credit    CreditID
	RequestID shmodel.RequestID
	Digest    shmodel.Digest
	Exclude   []shmodel.BackendServer
}

// Reservation is one reserved slot, or all slots of a backend server when Solo
// is set. The zero Reservation is none.
type Reservation struct {
	ID            ReservationID
	BackendServer shmodel.BackendServer
	Incarnation   uint64
	Address       string
	Place         shmodel.Place
	Solo          bool
}

// Result is how a reservation ended.
type Result int

// Results.
const (
	// Completed says that a whole answer arrived.
	Completed Result = iota
	// NotDispatched says that nothing was sent.
	NotDispatched
	// NotRun says that the backend server certainly does not run the request:
	// connection refused or cancellation confirmed.
	NotRun
	// Shed says that the backend server refused the request for overload.
	Shed
	// Broken says that the connection broke before the whole answer arrived.
	Broken
	// Abandoned says that the owner gave up and the request may still run.
	Abandoned
)

// Load is the state of one service at this owner, in slots.
type Load struct {
	BackendServers int
	// Slots is the announced number; Usable is limited by slow start and shed
	// answers.
	Slots  int
	Usable int
	// Occupied counts own requests and inherited ones.
	Occupied int
	Lent     int
	// Free is what a local reservation can use now.
	Free int
	// Spare is what other regions can still borrow.
	Spare int
}
