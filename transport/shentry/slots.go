package shentry

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"sequoiahollow/coordination/shdirectory"
	"sequoiahollow/coordination/shlimit"
	"sequoiahollow/coordination/shrouting"
	"sequoiahollow/coordination/shslot"
	"sequoiahollow/protocol/shwire"
	"sequoiahollow/state/shmodel"
)

// slotTickInterval is the interval of shslot.Tick and shlimit.Tick.
const slotTickInterval = 100 * time.Millisecond

// Slots guards the table of the backend servers that this VM owns, and queues the
// requests that wait for a slot. It is safe for concurrent use.
type Slots struct {
	mu       sync.Mutex
	table    *shslot.Table
	services map[shmodel.Service]*serviceSlots
	// soloReady holds the callbacks of requests that wait for a solo run.
	soloReady map[shmodel.RequestID]func()
	// onCrash reports a suspected crash to the control VMs.
	onCrash func(shslot.CrashSuspected)
	// crashChecks are called once it is known whether the backend server crashed
	// when a connection to it broke.
	crashChecks map[shmodel.BackendServer][]func(crashed bool)
	// handedOver is closed when all backend servers are released after BeginStop.
	handedOver chan struct{}
}

// serviceSlots holds the queue of one service, the slots that peers reported for
// it and its average service time.
type serviceSlots struct {
	admission   shlimit.Admission
	running     int
	waiters     map[shmodel.RequestID]chan shlimit.Effect
	peers       shrouting.PeerTracker
	serviceTime movingAverage
}

// NewSlots returns an empty table. noncePrefix must differ between processes and
// their restarts, because nonces contain it.
func NewSlots(noncePrefix string, reserveShare float64, onCrash func(shslot.CrashSuspected)) *Slots {
	return &Slots{
		table:       shslot.New(noncePrefix, reserveShare),
		services:    map[shmodel.Service]*serviceSlots{},
		soloReady:   map[shmodel.RequestID]func(){},
		onCrash:     onCrash,
		crashChecks: map[shmodel.BackendServer][]func(bool){},
		handedOver:  make(chan struct{}),
	}
}

func (s *Slots) service(name shmodel.Service) *serviceSlots {
	x := s.services[name]
	if x == nil {
		x = &serviceSlots{waiters: map[shmodel.RequestID]chan shlimit.Effect{}}
		s.services[name] = x
	}
	return x
}

// Run applies ticks to the table and the queues until the context ends.
func (s *Slots) Run(ctx context.Context) {
	t := time.NewTicker(slotTickInterval)
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			s.tick(now)
		case <-ctx.Done():
			return
		}
	}
}

func (s *Slots) tick(now time.Time) {
	s.mu.Lock()
	s.carryOut(s.table.Apply(now, shslot.Tick{}))
	for name, x := range s.services {
		s.resize(now, name, x)
		s.deliver(x, x.admission.Handle(now, shlimit.Tick{}))
	}
	s.mu.Unlock()
}

// carryOut carries out the effects that the caller of the table doesn't handle.
// s.mu must be held.
func (s *Slots) carryOut(effects []shslot.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case shslot.CrashSuspected:
			callbacks := s.takeCrashChecks(e.BackendServer)
			go func() {
				// The crash is reported first, so that a retry or resend that
				// follows the callbacks finds the digest suspect at every entry
				// VM.
				s.onCrash(e)
				notify(callbacks, true)
			}()
		case shslot.BreakCleared:
			go notify(s.takeCrashChecks(e.BackendServer), false)
		case shslot.SoloReady:
			if ready := s.soloReady[e.RequestID]; ready != nil {
				go ready()
				delete(s.soloReady, e.RequestID)
			}
		case shslot.HandoverDone:
			close(s.handedOver)
		}
	}
}

func (s *Slots) takeCrashChecks(server shmodel.BackendServer) []func(bool) {
	callbacks := s.crashChecks[server]
	delete(s.crashChecks, server)
	return callbacks
}

func notify(callbacks []func(bool), crashed bool) {
	for _, callback := range callbacks {
		callback(crashed)
	}
}

// resize sets the number of slots that the queue of a service may use: the free
// ones and those that its started requests hold. s.mu must be held.
func (s *Slots) resize(now time.Time, name shmodel.Service, x *serviceSlots) {
	free := s.table.Load(now, name).Free
	s.deliver(x, x.admission.Handle(now, shlimit.Resize{Slots: free + x.running}))
}

// deliver passes the decisions of a queue to the requests that wait for them.
// s.mu must be held.
func (s *Slots) deliver(x *serviceSlots, effects []shlimit.Effect) {
	for _, e := range effects {
		var id shmodel.RequestID
		switch e := e.(type) {
		case shlimit.Start:
			id = e.ID
			x.running++
		case shlimit.Refuse:
			id = e.ID
		}
		if c := x.waiters[id]; c != nil {
			delete(x.waiters, id)
			c <- e
		}
	}
}

// Slot is a reserved slot. Release must be called exactly once.
type Slot struct {
	shslot.Reservation
	slots      *Slots
	service    shmodel.Service
	request    shmodel.RequestID
	queued     bool
	reservedAt time.Time
	// answered says that a complete answer was received. Only then is the time
	// until Release a sample of the service time; otherwise it is how long the
	// answer was waited for.
	answered bool
}

// SlotRequest describes the slot that one attempt needs.
type SlotRequest struct {
	Service   shmodel.Service
	RequestID shmodel.RequestID
	Kind      shmodel.OperationKind
	Digest    shmodel.Digest
	Deadline  time.Time
	// Credit is set for an attempt from another region, which never waits.
	Credit shslot.CreditID
	// NoWait refuses the attempt if no slot is free now.
	NoWait  bool
	Exclude []shmodel.BackendServer
}

func (w SlotRequest) forTable(class shslot.Class) shslot.ReservationRequest {
	return shslot.ReservationRequest{
		Service: w.Service, Class: class, Credit: w.Credit,
		RequestID: w.RequestID, Digest: w.Digest, Exclude: w.Exclude,
	}
}

// Acquire waits in the queue of the service until a slot is reserved. It returns
// nil if the queue refuses the request, the context ends or, with NoWait or a
// credit, no slot is free.
func (s *Slots) Acquire(ctx context.Context, w SlotRequest) *Slot {
	if w.Credit != 0 {
		return s.acquireRemote(w)
	}
	decision := make(chan shlimit.Effect, 1)
	s.mu.Lock()
	now := time.Now()
	x := s.service(w.Service)
	x.waiters[w.RequestID] = decision
	s.resize(now, w.Service, x)
	s.deliver(x, x.admission.Handle(now, shlimit.Arrive{ID: w.RequestID, Kind: w.Kind, Deadline: w.Deadline}))
	s.mu.Unlock()
	select {
	case e := <-decision:
		return s.start(w, x, e)
	default:
	}
	if !w.NoWait {
		select {
		case e := <-decision:
			return s.start(w, x, e)
		case <-ctx.Done():
		}
	}
	s.abandon(w, x, decision)
	return nil
}

func (s *Slots) start(w SlotRequest, x *serviceSlots, e shlimit.Effect) *Slot {
	if _, refused := e.(shlimit.Refuse); refused {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	l := s.reserve(now, w, shslot.Local)
	if l == nil {
		// Meanwhile a solo run took the slot or a backend server left.
		s.finish(now, w.Service, x, w.RequestID)
		return nil
	}
	l.queued = true
	return l
}

// reserve returns nil if the table has no slot. s.mu must be held.
func (s *Slots) reserve(now time.Time, w SlotRequest, class shslot.Class) *Slot {
	r, ok := s.table.Reserve(now, w.forTable(class))
	if !ok {
		return nil
	}
	return &Slot{Reservation: r, slots: s, service: w.Service, request: w.RequestID, reservedAt: now}
}

// abandon removes a request from the queue. If the queue has started it
// meanwhile, the slot is returned.
func (s *Slots) abandon(w SlotRequest, x *serviceSlots, decision chan shlimit.Effect) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	select {
	case e := <-decision:
		if _, ok := e.(shlimit.Start); ok {
			s.finish(now, w.Service, x, w.RequestID)
		}
	default:
		delete(x.waiters, w.RequestID)
		s.deliver(x, x.admission.Handle(now, shlimit.Abandon{ID: w.RequestID}))
	}
}

// finish returns the slot of a started request to the queue. s.mu must be held.
func (s *Slots) finish(now time.Time, name shmodel.Service, x *serviceSlots, id shmodel.RequestID) {
	x.running--
	s.deliver(x, x.admission.Handle(now, shlimit.Finish{ID: id}))
	s.resize(now, name, x)
}

func (s *Slots) acquireRemote(w SlotRequest) *Slot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reserve(time.Now(), w, shslot.Remote)
}

// ReserveSolo reserves all slots of an idle backend server, so that a suspect
// request runs alone on it. If no backend server is idle, it returns nil and
// calls ready once when another call may succeed.
func (s *Slots) ReserveSolo(w SlotRequest, ready func()) *Slot {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.reserve(time.Now(), w, shslot.Solo); l != nil {
		return l
	}
	// The table keeps one backend server free for a solo run at a time. If that
	// is for another request, no SoloReady follows, so ready is called after a
	// tick.
	once := sync.OnceFunc(ready)
	s.soloReady[w.RequestID] = once
	time.AfterFunc(slotTickInterval, once)
	return nil
}

// CancelSolo ends the wait for a solo run.
func (s *Slots) CancelSolo(id shmodel.RequestID) {
	s.mu.Lock()
	delete(s.soloReady, id)
	s.carryOut(s.table.Apply(time.Now(), shslot.SoloCanceled{RequestID: id}))
	s.mu.Unlock()
}

// Dispatch reports whether the request may be sent now. It must be called
// immediately before sending, since the lease of the backend server may have
// ended since the reservation.
func (l *Slot) Dispatch() bool {
	l.slots.mu.Lock()
	defer l.slots.mu.Unlock()
	return l.slots.table.Dispatch(time.Now(), l.ID)
}

// MarkAnswered notes that a complete answer was received.
func (l *Slot) MarkAnswered() {
	l.slots.mu.Lock()
	defer l.slots.mu.Unlock()
	l.answered = true
}

// Release ends the reservation. For a broken connection, onCrashCheck is called
// once it is known whether the backend server crashed.
func (l *Slot) Release(result shslot.Result, onCrashCheck func(crashed bool)) {
	s := l.slots
	s.mu.Lock()
	if result == shslot.Broken && onCrashCheck != nil {
		s.crashChecks[l.BackendServer] = append(s.crashChecks[l.BackendServer], onCrashCheck)
	}
	now := time.Now()
	s.carryOut(s.table.Release(now, l.ID, result))
	x := s.service(l.service)
	if result == shslot.Completed && l.answered {
		x.serviceTime.add(now, now.Sub(l.reservedAt))
	}
	if l.queued {
		s.finish(now, l.service, x, l.request)
	} else {
		s.resize(now, l.service, x)
	}
	s.mu.Unlock()
	if result == shslot.Broken {
		go s.probe(l.Reservation)
	}
}

const (
	probeCount    = 5
	probeInterval = 20 * time.Millisecond
)

// probe connects to a backend server to which a connection broke. A refused
// connection proves a crash long before the lease ends, and callers resend before
// its end. It tries several times, because a process that is terminating may
// still accept connections for a moment.
func (s *Slots) probe(r shslot.Reservation) {
	for range probeCount {
		c, err := net.DialTimeout("tcp", r.Address, dialTimeout)
		if errors.Is(err, syscall.ECONNREFUSED) {
			s.mu.Lock()
			s.carryOut(s.table.Apply(time.Now(), shslot.ConnectionRefused{BackendServer: r.BackendServer, Incarnation: r.Incarnation}))
			s.mu.Unlock()
			return
		}
		if err == nil {
			_ = c.Close()
		}
		time.Sleep(probeInterval)
	}
}

// Announce processes an announcement of a backend server. It returns the answer
// and why the announcement was rejected, or "" if it was accepted.
func (s *Slots) Announce(a shwire.Announcement) (shwire.AnnouncementAnswer, string) {
	event := shslot.Announced{
		BackendServer: a.BackendServer, Service: a.Service, Address: a.Address, Place: a.Place,
		Incarnation: a.Incarnation, Slots: a.Slots, Connections: a.Connections,
		InFlight: a.InFlight, Load: a.Load, Cold: a.Cold, Leaving: a.Leaving, Nonce: a.Nonce,
	}
	s.mu.Lock()
	now := time.Now()
	effects := s.table.Apply(now, event)
	s.carryOut(effects)
	s.resize(now, a.Service, s.service(a.Service))
	s.mu.Unlock()
	for _, e := range effects {
		if e, ok := e.(shslot.AnswerAnnouncement); ok {
			return shwire.AnnouncementAnswer{
				Nonce: e.Nonce, LeaseMS: e.Lease.Milliseconds(), Released: e.Released, Owners: e.Owners,
			}, e.Rejected
		}
	}
	return shwire.AnnouncementAnswer{}, "no answer"
}

// GrantCredit lends slots to an entry VM of another region.
func (s *Slots) GrantCredit(q shwire.CreditRequest) shwire.CreditResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	effects := s.table.Apply(time.Now(), shslot.CreditRequested{VM: q.VM, Service: q.Service, Count: q.Count})
	for _, e := range effects {
		if e, ok := e.(shslot.CreditGranted); ok {
			return shwire.CreditResponse{ID: uint64(e.ID), Count: e.Count, Duration: e.Duration}
		}
	}
	return shwire.CreditResponse{}
}

// BeginStop hands the backend servers over to other owners. The channel is closed
// when the last backend server is released.
func (s *Slots) BeginStop(owners []string) <-chan struct{} {
	s.mu.Lock()
	s.carryOut(s.table.Apply(time.Now(), shslot.StopBegun{Owners: owners}))
	s.mu.Unlock()
	return s.handedOver
}

// SetReserveShare sets the share of slots that is never lent.
func (s *Slots) SetReserveShare(share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.SetReserveShare(share)
}

// Services returns the free and usable slots of this VM by service.
func (s *Slots) Services() map[shmodel.Service]shdirectory.Slots {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	services := map[shmodel.Service]shdirectory.Slots{}
	for _, name := range s.table.Services() {
		l := s.table.Load(now, name)
		services[name] = shdirectory.Slots{Free: l.Free, Total: l.Usable}
	}
	return services
}

// Observe records the slot report of a peer in the region.
func (s *Slots) Observe(h shdirectory.Heartbeat, r shwire.SlotReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for name, x := range s.services {
		if _, ok := r.Services[name]; !ok {
			x.peers.Forget(r.VM)
		}
	}
	for name, slots := range r.Services {
		x := s.service(name)
		x.peers.Observe(shrouting.Report{
			VM: r.VM, Address: h.ServerAddress, Place: h.Place, Free: slots.Free, Usable: slots.Total, At: now,
		})
		x.peers.SetHealthy(r.VM, true)
	}
}

// Snapshot returns what a routing policy needs to know about this VM and its
// peers in the region.
func (s *Slots) Snapshot(self shrouting.Own, name shmodel.Service) shrouting.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	x := s.service(name)
	load := s.table.Load(now, name)
	idempotent, onceOnly := x.admission.Waiting()
	self.Free, self.Usable, self.Queued = load.Free, load.Usable, idempotent+onceOnly
	return shrouting.Snapshot{
		Own: self, Peers: x.peers.Peers(now), MeanService: x.serviceTime.average, MeanServiceAge: now.Sub(x.serviceTime.at),
	}
}

// BeginForward records that a request is forwarded to a peer. The returned
// function records the end of the forward.
func (s *Slots) BeginForward(name shmodel.Service, vm shmodel.VM) func(refused, healthy bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.service(name)
	id := x.peers.Begin(time.Now(), vm)
	return func(refused, healthy bool) {
		s.mu.Lock()
		defer s.mu.Unlock()
		x.peers.End(time.Now(), id, refused)
		if !healthy {
			x.peers.SetHealthy(vm, false)
		}
	}
}
