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

// CreditReturned returns Count unused credits.
type CreditReturned struct {
	ID    CreditID
	Count int
}

// Tick makes the table check its timeouts. It is due every 100 ms.
type Tick struct{}

// StopBegun starts a planned stop, in which the backend servers are handed over
// to Owners: the addresses that they may announce to, in order of preference.
type StopBegun struct{ Owners []string }

// SoloCanceled ends the wait for a solo run of RequestID.
type SoloCanceled struct{ RequestID shmodel.RequestID }

// ConnectionRefused says that the address of a backend server refused a
// connection: the process that announced Incarnation no longer listens.
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
func (SoloCanceled) event()      {}

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

// CrashSuspected reports that a backend server probably crashed while it ran
// the requests with Digests. Solo is set if a solo run was the only one.
type CrashSuspected struct {
	BackendServer shmodel.BackendServer
	Digests       []shmodel.Digest
	Solo          bool
}

// BreakCleared says that a backend server is alive after a connection to it
// broke. Each break ends with BreakCleared or CrashSuspected, unless the backend
// server may have turned to another owner.
type BreakCleared struct{ BackendServer shmodel.BackendServer }

// SoloReady says that the backend server kept free for RequestID is idle, so
// that the next solo Reserve for RequestID succeeds, or that it is no longer
// available, so that the next solo Reserve chooses another.
type SoloReady struct{ RequestID shmodel.RequestID }

// HandoverDone says that the last backend server was released after StopBegun.
type HandoverDone struct{}

func (AnswerAnnouncement) effect() {}
func (CreditGranted) effect()      {}
func (CrashSuspected) effect()     {}
func (BreakCleared) effect()       {}
func (SoloReady) effect()          {}
func (HandoverDone) effect()       {}

// ReservationID identifies a reservation within a table. Zero means none.
type ReservationID uint64

// CreditID identifies a grant of credits within a table. Zero means none.
type CreditID uint64

// Class is the kind of demand that a reservation serves.
type Class int

// Values of Class.
const (
	// Local is demand of the region of the owner.
	Local Class = iota
	// Remote is demand of another region; it uses up one credit.
	Remote
	// Solo takes all slots of an idle backend server.
	Solo
)

// ReservationRequest describes a reservation. Exclude lists backend servers that
// must not be chosen.
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

// Values of Result.
const (
	// Completed says that a whole answer arrived.
	Completed Result = iota
	// NotDispatched says that nothing was sent.
	NotDispatched
	// NotRun says that the backend server certainly does not run the request:
	// it refused the connection or confirmed the cancellation.
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
	// Occupied counts reserved slots and inherited requests, and requests that
	// a report shows in addition.
	Occupied int
	// Lent is the number of unused credits of other regions.
	Lent int
	// Free is what a local reservation can use now.
	Free int
	// Spare is what other regions can still borrow.
	Spare int
}
