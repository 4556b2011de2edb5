package shraft_test

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"sequoiahollow/coordination/shraft"
	"sequoiahollow/state/shmodel"
)

// sim runs a group with a fake clock and an unreliable network. All randomness
// comes from the seed, so a run can be repeated.
type sim struct {
	t       testing.TB
	rng     *rand.Rand
	now     time.Time
	queue   timers
	hosts   []*host
	blocked map[[2]int]bool
	// loss and duplication are probabilities per message.
	loss, duplication float64
	maxDelay          time.Duration
	faultsEnd         time.Time
	encode            bool // pass messages through JSON, which is slow

	// The state that the invariants are checked against, by term or by index.
	leaders         map[uint64]shraft.ID
	electedAt       map[uint64]time.Time
	committed       map[uint64]shraft.Entry
	registers       map[uint64]string
	membership      shraft.Membership // the newest committed one
	membershipIndex uint64

	clock   int64 // logical, for the history
	history []porcupine.Operation
	counts  map[string]int // occurrences of faults and repairs, for tests that require them
}

type timer struct {
	at  time.Time
	seq int
	f   func()
}

type timers struct {
	items []timer
	seq   int
}

func (q *timers) Len() int { return len(q.items) }
func (q *timers) Less(i, j int) bool {
	a, b := q.items[i], q.items[j]
	return a.at.Before(b.at) || a.at.Equal(b.at) && a.seq < b.seq
}
func (q *timers) Swap(i, j int) { q.items[i], q.items[j] = q.items[j], q.items[i] }
func (q *timers) Push(x any)    { q.items = append(q.items, x.(timer)) }
func (q *timers) Pop() any {
	last := q.items[len(q.items)-1]
	q.items = q.items[:len(q.items)-1]
	return last
}

// host is a VM. Its register is the replicated state.
type host struct {
	sim            *sim
	number         int
	id             shraft.ID
	disks          int
	starts         int
	clockSkew      time.Duration      // error of its clock
	stored         shraft.StoredState // what is synced
	node           *shraft.Node       // nil while crashed
	effectsToCrash int                // effects until a crash, negative for none
	pausedUntil    time.Time          // the process does not run until then
	register       string
	applied        uint64
	ops            map[uint64]*operation // by token
	appended       map[uint64]*operation // by index
}

const (
	simTick       = 50 * time.Millisecond
	compactEvery  = 40
	simTrailing   = 16
	simChunkBytes = 4
)

func newSim(t testing.TB, seed uint64, count int) *sim {
	s := &sim{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_800_000_000, 0),
		blocked: map[[2]int]bool{}, maxDelay: 35 * time.Millisecond,
		leaders: map[uint64]shraft.ID{}, electedAt: map[uint64]time.Time{},
		committed: map[uint64]shraft.Entry{}, registers: map[uint64]string{1: "0"}, counts: map[string]int{},
	}
	var members []shraft.Member
	for i := range count {
		h := &host{sim: s, number: i, clockSkew: time.Duration(s.rng.IntN(7200)-3600) * time.Second}
		h.loseDisk()
		s.hosts = append(s.hosts, h)
		members = append(members, shraft.Member{ID: h.id})
	}
	s.membership = shraft.Membership{Voters: members}
	s.hosts[0].stored = shraft.NewGroup(members, []byte("0"))
	for _, h := range s.hosts {
		h.start()
	}
	return s
}

func (s *sim) after(d time.Duration, f func()) {
	s.queue.seq++
	heap.Push(&s.queue, timer{at: s.now.Add(d), seq: s.queue.seq, f: f})
}

// run advances the clock until the given duration is over or done, which is
// called every 100 ms, returns true.
func (s *sim) run(d time.Duration, done func() bool) bool {
	checkedAt := s.now
	for end := s.now.Add(d); s.queue.Len() > 0 && s.queue.items[0].at.Before(end); {
		next := heap.Pop(&s.queue).(timer)
		s.now = next.at
		next.f()
		if done != nil && s.now.Sub(checkedAt) >= 100*time.Millisecond {
			checkedAt = s.now
			if done() {
				return true
			}
		}
	}
	return false
}

func (s *sim) chance(p float64) bool { return s.rng.Float64() < p }

func (s *sim) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rng.Int64N(int64(high-low)))
}

// loseDisk empties the disk, which gives the VM a new identity.
func (h *host) loseDisk() {
	h.disks++
	h.stored = shraft.StoredState{}
	h.id = shraft.ID{VM: shmodel.VM(fmt.Sprintf("vm%d", h.number)), Disk: strconv.Itoa(h.disks)}
}

func (h *host) start() {
	if h.node != nil {
		return
	}
	h.starts++
	h.effectsToCrash = -1
	h.register, h.applied = "", h.stored.Snapshot.Index
	h.ops, h.appended = map[uint64]*operation{}, map[uint64]*operation{}
	config := shraft.Config{
		ID: h.id, Seed: h.sim.rng.Uint64(), TrailingEntries: simTrailing, SnapshotChunkBytes: simChunkBytes,
		MaxBatchBytes: 64, MaxInFlightEntries: 32,
	}
	// The node must not share memory with the stored state.
	stored := h.stored
	stored.Entries = slices.Clone(stored.Entries)
	node, effects, err := shraft.New(config, stored, h.time())
	if err != nil {
		h.sim.t.Fatalf("%v: %v", h.id, err)
	}
	h.node = node
	h.carryOut(effects)
	h.tick(h.starts)
}

func (h *host) time() time.Time { return h.sim.now.Add(h.clockSkew) }

func (h *host) tick(start int) {
	if h.node == nil || h.starts != start {
		return
	}
	h.step(shraft.Tick{})
	if h.node != nil {
		h.checkConfirmed()
	}
	h.sim.after(simTick, func() { h.tick(start) })
}

func (h *host) crash() {
	h.node = nil
	h.sim.counts["crash"]++
	finishUnknown(h.ops)
	finishUnknown(h.appended)
}

func (h *host) step(ev shraft.Event) {
	if h.node == nil {
		return
	}
	if wait := h.pausedUntil.Sub(h.sim.now); wait > 0 {
		// Delayed events are handled in any order once the process runs again.
		start := h.starts
		h.sim.after(wait+h.sim.randomDuration(0, simTick), func() {
			if h.starts == start {
				h.step(ev)
			}
		})
		return
	}
	h.carryOut(h.node.Step(h.time(), ev))
	if h.node != nil && h.applied-h.stored.Snapshot.Index >= compactEvery {
		h.carryOut(h.node.Step(h.time(), shraft.Compact{Index: h.applied, Data: []byte(h.register)}))
	}
}

// crashIfDue counts down to an injected crash and reports whether the host still
// runs.
func (h *host) crashIfDue() bool {
	if h.effectsToCrash == 0 && h.node != nil {
		h.crash()
	}
	h.effectsToCrash--
	return h.node != nil
}

// carryOut carries effects out in their order. A crash may come before each, and
// between the parts of a Persist.
func (h *host) carryOut(effects []shraft.Effect) {
	for _, e := range effects {
		if !h.crashIfDue() {
			return
		}
		switch e := e.(type) {
		case shraft.Persist:
			h.persist(e)
		case shraft.Restore:
			h.register, h.applied = string(e.Snapshot.Data), e.Snapshot.Index
			h.sim.checkRegister(h)
		case shraft.Send:
			h.sim.send(h, e.Message)
		case shraft.Apply:
			for _, entry := range e.Entries {
				h.apply(entry)
			}
		case shraft.Accepted:
			if o := h.ops[e.Token]; o != nil {
				o.term = e.Term
				h.appended[e.Index] = o
				delete(h.ops, e.Token)
			}
		case shraft.Refused:
			if o := h.ops[e.Token]; o != nil {
				o.finish(notRun, "")
			}
		case shraft.ReadReady:
			if o := h.ops[e.Token]; o != nil {
				o.finish(done, h.register)
			}
		case shraft.RoleChanged:
			h.changeRole(e)
		}
	}
}

func (h *host) persist(e shraft.Persist) {
	if e.State != nil {
		h.stored.State = *e.State
	}
	if e.Snapshot != nil && h.crashIfDue() {
		h.stored.Snapshot = *e.Snapshot
	}
	if e.ResetLog && h.crashIfDue() {
		h.stored.Entries = nil
		if e.Snapshot.Index > 1 { // not the one that starts the group
			h.sim.counts["install"]++
		}
	}
	if e.KeepFrom > 0 && h.crashIfDue() {
		h.stored.Entries = slices.DeleteFunc(slices.Clone(h.stored.Entries), func(entry shraft.Entry) bool {
			return entry.Index < e.KeepFrom
		})
	}
	if len(e.Entries) == 0 || !h.crashIfDue() {
		return
	}
	kept := slices.DeleteFunc(slices.Clone(h.stored.Entries), func(entry shraft.Entry) bool {
		return entry.Index >= e.Entries[0].Index
	})
	h.stored.Entries = append(kept, e.Entries...)
}

func (h *host) apply(e shraft.Entry) {
	s := h.sim
	if e.Index != h.applied+1 {
		s.t.Fatalf("%v applied %d after %d", h.id, e.Index, h.applied)
	}
	if before, ok := s.committed[e.Index]; !ok {
		s.committed[e.Index] = e
	} else if before.Term != e.Term || string(before.Data) != string(e.Data) || !before.At.Equal(e.At) {
		s.t.Fatalf("%v: committed entry %d changed from %+v to %+v", h.id, e.Index, before, e)
	}
	h.applied = e.Index
	var result string
	switch e.Kind {
	case shraft.Command:
		result = h.applyCommand(e.Data)
	case shraft.MembershipChange:
		s.recordMembership(e)
	}
	s.checkRegister(h)
	if o := h.appended[e.Index]; o != nil {
		delete(h.appended, e.Index)
		if o.term == e.Term {
			o.finish(done, result)
		} else {
			o.finish(notRun, "")
		}
	}
}

// recordMembership records a committed membership.
func (s *sim) recordMembership(e shraft.Entry) {
	if e.Index <= s.membershipIndex {
		return
	}
	s.membershipIndex = e.Index
	s.membership = shraft.Membership{}
	if err := json.Unmarshal(e.Data, &s.membership); err != nil {
		s.t.Fatal(err)
	}
	if len(s.membership.Voters) == len(s.hosts) {
		s.counts["repair"]++
		// A second VM is lost right after a repair.
		if s.now.Before(s.faultsEnd) && s.chance(0.9) {
			s.counts["loss after repair"]++
			s.after(s.randomDuration(0, 50*time.Millisecond), s.loseRandomDisk)
		}
	}
}

func (s *sim) checkRegister(h *host) {
	if before, ok := s.registers[h.applied]; !ok {
		s.registers[h.applied] = h.register
	} else if before != h.register {
		s.t.Fatalf("%v: state at %d is %q, elsewhere %q", h.id, h.applied, h.register, before)
	}
}

func (h *host) changeRole(e shraft.RoleChanged) {
	s := h.sim
	if e.Role == shraft.Leader {
		if other, ok := s.leaders[e.Term]; ok && other != h.id {
			s.t.Fatalf("term %d has leaders %v and %v", e.Term, other, h.id)
		} else if !ok {
			s.leaders[e.Term] = h.id
			s.electedAt[e.Term] = s.now
		}
		return
	}
	finishUnknown(h.appended)
}

// checkConfirmed guards against a node that dates its last quorum confirmation
// after the election of a later leader.
func (h *host) checkConfirmed() {
	status := h.node.Status()
	if status.Confirmed.IsZero() {
		return
	}
	confirmed := status.Confirmed.Add(-h.clockSkew)
	if confirmed.After(h.sim.now) {
		h.sim.t.Fatalf("%v: confirmation at %v lies in the future", h.id, confirmed)
	}
	for term, at := range h.sim.electedAt {
		if term > status.Term && at.Before(confirmed) {
			h.sim.t.Fatalf("%v in term %d: confirmation at %v, but term %d began at %v", h.id, status.Term, confirmed, term, at)
		}
	}
}

// send passes a message through the unreliable network.
func (s *sim) send(from *host, m shraft.Message) {
	to := slices.IndexFunc(s.hosts, func(h *host) bool { return h.id.VM == m.To.VM })
	if s.encode {
		m = s.encodeAndDecode(m)
	}
	copies := 1
	if s.chance(s.duplication) {
		copies = 2
	}
	for range copies {
		if s.blocked[[2]int{from.number, to}] || s.chance(s.loss) {
			continue
		}
		delay := s.randomDuration(time.Millisecond, s.maxDelay)
		if s.chance(0.01) {
			delay += s.randomDuration(0, 3*time.Second)
		}
		s.after(delay, func() { s.hosts[to].step(shraft.Receive{Message: m}) })
	}
}

func (s *sim) encodeAndDecode(m shraft.Message) shraft.Message {
	encoded, err := json.Marshal(m)
	if err != nil {
		s.t.Fatal(err)
	}
	var decoded shraft.Message
	if err := json.Unmarshal(encoded, &decoded); err != nil {
		s.t.Fatal(err)
	}
	return decoded
}

// leader returns the host that leads and is ready, in the newest term.
func (s *sim) leader() *host {
	var found *host
	for _, h := range s.hosts {
		if h.node == nil || !h.node.Status().Ready {
			continue
		}
		if found == nil || h.node.Status().Term > found.node.Status().Term {
			found = h
		}
	}
	return found
}

// describe shows the hosts when a run fails.
func (s *sim) describe() string {
	text := fmt.Sprintf("committed membership: %v\n", s.membership)
	for _, h := range s.hosts {
		if h.node == nil {
			text += fmt.Sprintf("%v crashed\n", h.id)
			continue
		}
		text += fmt.Sprintf("%v applied %d: %+v\n", h.id, h.applied, h.node.Status())
	}
	return text
}

// repair replaces lost disks in the way that shstore does.
func (s *sim) repair() {
	s.after(200*time.Millisecond, s.repair)
	leader := s.leader()
	if leader == nil {
		return
	}
	status := leader.node.Status()
	m := status.Membership
	for _, h := range s.hosts {
		onSameVM := func(m shraft.Member) bool { return m.ID.VM == h.id.VM && m.ID != h.id }
		former := slices.IndexFunc(m.Voters, onSameVM)
		stale := slices.IndexFunc(m.Learners, onSameVM)
		switch {
		case h.node == nil || m.IsVoter(h.id):
			continue
		case stale >= 0:
			leader.step(shraft.Remove{ID: m.Learners[stale].ID})
		case !m.IsLearner(h.id):
			leader.step(shraft.AddLearner{Member: shraft.Member{ID: h.id}})
		case !slices.Contains(status.CaughtUp, h.id):
			continue
		case former >= 0:
			leader.step(shraft.Remove{ID: m.Voters[former].ID})
		default:
			leader.step(shraft.Promote{ID: h.id})
		}
		return
	}
}

// loseRandomDisk empties the disk of a voter and restarts the VM, unless the
// group would be without a quorum of intact disks.
func (s *sim) loseRandomDisk() {
	lost := 0
	var candidates []*host
	for _, v := range s.membership.Voters {
		i := slices.IndexFunc(s.hosts, func(h *host) bool { return h.id == v.ID })
		if i < 0 {
			lost++
		} else {
			candidates = append(candidates, s.hosts[i])
		}
	}
	if lost+1 > (len(s.membership.Voters)-1)/2 {
		return
	}
	s.counts["lost disk"]++
	h := candidates[s.rng.IntN(len(candidates))]
	if h.node != nil {
		h.crash()
	}
	h.loseDisk()
	s.after(s.randomDuration(100*time.Millisecond, 2*time.Second), h.start)
}
