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

// callers send once-only work under few keys, with resends that overlap, and
// idempotent requests, and disturb the VMs.
func (s *sim) callers() {
	next := shmodel.RequestID(0)
	send := func(key string, kind shmodel.OperationKind, hedge time.Duration) {
		next++
		q := Request{ID: next, Service: "s", Operation: kind, Key: key, Deadline: s.wall(s.vms[0].skew).Add(s.between(500, 5000))}
		m := s.receive(q, shcontrol.SuspectNone, hedge)
		if s.fault(0.1) {
			s.later(m, 1, 500, CallerGone{})
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
				vm.thawAt = s.now + s.between(100, 3000)
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

// check holds the outcomes against what ran.
func (s *sim) check() {
	for key, n := range s.keyRuns {
		assert.Assert(s.t, key == "" || n <= 1, "%s ran %d times", key, n)
	}
	for id, q := range s.request {
		switch e := s.said[id].(type) {
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

func (s *sim) answered() int {
	n := 0
	for _, e := range s.said {
		if a, ok := e.(AnswerCaller); ok && a.Outcome == shmodel.Answered {
			n++
		}
	}
	return n
}

// Guards against once-only work that runs twice, a false not-run, an answer to
// another request, and a request without or with two outcomes. Faults are lost
// and late messages in every place, frozen and dead VMs, backend servers
// that restart and forget, and 140 ms between clocks.
func TestOutcomesAreTrue(t *testing.T) {
	requests, answers := 0, 0
	for seed := range int64(seeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newSim(t, seed, 1)
			s.callers()
			s.run(time.Minute)
			s.check()
			requests += len(s.request)
			answers += s.answered()
		})
	}
	assert.Assert(t, answers*2 > requests, "%d of %d requests answered", answers, requests)
}

// Guards against machines that are safe because they do nothing: without faults
// every request is answered.
func TestAnsweredWithoutFaults(t *testing.T) {
	for seed := range int64(seeds) {
		s := newSim(t, seed, 0)
		s.callers()
		s.run(time.Minute)
		s.check()
		assert.Equal(t, s.answered(), len(s.request), "seed %d: %v", seed, s.said)
	}
}

// Guards against a request that takes down one backend server after another:
// one crash makes it a suspect, a second one in its solo run is conclusive.
func TestCrashingRequest(t *testing.T) {
	for _, kind := range []shmodel.OperationKind{shmodel.Idempotent, shmodel.OnceOnly} {
		for seed := range int64(seeds) {
			s := newSim(t, seed, 0)
			s.poison[shmodel.Digest{}] = true
			q := Request{ID: 1, Operation: kind, Key: "k", Deadline: s.wall(s.vms[0].skew).Add(20 * time.Second)}
			s.receive(q, shcontrol.SuspectNone, 0)
			s.run(time.Minute)
			assert.Assert(t, s.crashes <= 2, "seed %d: %s request crashed %d backend servers", seed, kind, s.crashes)
			a, ok := s.said[1].(AnswerCaller)
			assert.Assert(t, ok && a.Outcome == shmodel.Unknown)
		}
	}
}
