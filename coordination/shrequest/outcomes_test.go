package shrequest

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/state/shmodel"
)

const seeds = 300

// sendRequests schedules once-only requests, of which several with the same key
// may overlap, idempotent requests, and faults of VMs and backend servers.
func (s *sim) sendRequests() {
	next := shmodel.RequestID(0)
	send := func(key string, kind shmodel.OperationKind, hedge time.Duration) {
		next++
		q := Request{ID: next, Service: "s", Operation: kind, Key: key, Deadline: s.wall(s.vms[0].skew).Add(s.between(500, 5000))}
		m := s.receive(q, shcontrol.SuspectNone, hedge)
		if s.fault(0.1) {
			s.deliverLater(m, 1, 500, CallerGone{})
		}
	}
	for k := range 6 {
		for range 1 + s.rand.Intn(3) {
			s.after(s.between(0, 6000), func() { send(fmt.Sprint("key", k), shmodel.OnceOnly, 0) })
		}
		s.after(s.between(0, 6000), func() { send("", shmodel.Idempotent, s.between(0, 1)*30) })
	}
	for _, vm := range s.vms {
		s.after(s.between(0, 6000), func() {
			if s.fault(0.5) {
				vm.pausedUntil = s.now + s.between(100, 3000)
			}
		})
	}
	for _, b := range s.backends {
		for range 30 {
			s.after(s.between(0, 9000), func() {
				if s.fault(0.5) {
					s.restart(b, s.between(1, 60))
				}
			})
		}
	}
	s.after(s.between(0, 12000), func() { s.vms[2].dead = s.faults > 0 })
}

// checkOutcomes compares the outcomes that callers got with what ran.
func (s *sim) checkOutcomes() {
	for key, n := range s.keyRuns {
		assert.Assert(s.t, key == "" || n <= 1, "%s ran %d times", key, n)
	}
	for id, q := range s.requests {
		switch e := s.outcomes[id].(type) {
		case nil:
			s.t.Errorf("request %v has no outcome", id)
		case RefuseCaller:
			assert.Assert(s.t, s.runs[id] == 0, "request %v was told not-run (%s) and ran", id, e.Reason)
		case AnswerCaller:
			once := q.Operation == shmodel.OnceOnly && e.Outcome == shmodel.Answered
			assert.Assert(s.t, !once || s.keyRuns[q.Key] == 1, "request %v was answered and did not run", id)
		}
	}
}

func (s *sim) countAnswered() int {
	n := 0
	for _, e := range s.outcomes {
		if a, ok := e.(AnswerCaller); ok && a.Outcome == shmodel.Answered {
			n++
		}
	}
	return n
}

// Guards against once-only work that runs twice, not-run for a request that ran,
// an answer to another request, and a request with no outcome or with two. The
// faults are lost and late messages everywhere, paused and dead VMs, backend
// servers that lose their state in a restart, and clocks that differ by up to
// 140 ms.
func TestOutcomesAreTrue(t *testing.T) {
	requests, answers := 0, 0
	for seed := range int64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newSim(t, seed, 1)
			s.sendRequests()
			s.run(time.Minute)
			s.checkOutcomes()
			requests += len(s.requests)
			answers += s.countAnswered()
		})
	}
	assert.Assert(t, answers*2 > requests, "%d of %d requests answered", answers, requests)
}

// Guards against state machines that avoid wrong outcomes by not answering:
// without faults every request is answered.
func TestAnsweredWithoutFaults(t *testing.T) {
	for seed := range int64(seeds) {
		s := newSim(t, seed, 0)
		s.sendRequests()
		s.run(time.Minute)
		s.checkOutcomes()
		assert.Equal(t, s.countAnswered(), len(s.requests), "seed %d: %v", seed, s.outcomes)
	}
}

// Guards against a request that crashes one backend server after another: after
// one crash it may only run solo, and after a second one in the solo run it is
// not run any more.
func TestCrashingRequest(t *testing.T) {
	for _, kind := range []shmodel.OperationKind{shmodel.Idempotent, shmodel.OnceOnly} {
		for seed := range int64(seeds) {
			s := newSim(t, seed, 0)
			s.crashDigests[shmodel.Digest{}] = true
			q := Request{ID: 1, Operation: kind, Key: "k", Deadline: s.wall(s.vms[0].skew).Add(20 * time.Second)}
			s.receive(q, shcontrol.SuspectNone, 0)
			s.run(time.Minute)
			assert.Assert(t, s.crashes <= 2, "seed %d: %s request crashed %d backend servers", seed, kind, s.crashes)
			a, ok := s.outcomes[1].(AnswerCaller)
			assert.Assert(t, ok && a.Outcome == shmodel.Unknown)
		}
	}
}
