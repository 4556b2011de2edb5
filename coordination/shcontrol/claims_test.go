package shcontrol_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/state/shmodel"
)

var payment = shmodel.ClaimKey{Service: "payments", Key: "p1"}

// callerOutcome is the outcome that the caller of a request gets. executedBy is
// the request that ran.
type callerOutcome struct {
	outcome    shmodel.Outcome
	executedBy shmodel.RequestID
}

// onceOnlyModel is the sequential specification of one key: its state is the
// request that ran, or 0.
var onceOnlyModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{shmodel.RequestID(0)} },
	Step: func(state, input, output any) []any {
		ran, request, out := state.(shmodel.RequestID), input.(shmodel.RequestID), output.(callerOutcome)
		switch {
		case out.outcome == shmodel.Unknown && ran == 0:
			return []any{ran, request}
		case out.outcome == shmodel.Unknown, out.outcome == shmodel.NotRun && ran != request:
			return []any{ran}
		case out.outcome == shmodel.Answered && (ran == out.executedBy || ran == 0 && request == out.executedBy):
			return []any{out.executedBy}
		}
		return nil
	},
}).ToModel()

// claimSimulation simulates callers, entry VMs and a backend server that work on
// one key. Events happen in the order of random times.
type claimSimulation struct {
	*rand.Rand
	state   shcontrol.State
	now     int64
	pending map[int64][]func()
	// attempts is the state of each attempt at the backend server.
	attempts map[string]string
	runs     int
	ran      shmodel.RequestID
	history  []porcupine.Operation
}

func (s *claimSimulation) schedule(f func()) {
	at := s.now + 1 + s.Int64N(20)
	s.pending[at] = append(s.pending[at], f)
}

// propose commits a command at some time and perhaps again at a later one.
// The result may be lost.
func (s *claimSimulation) propose(c shcontrol.Command, done func(shcontrol.ClaimResult), lost func()) {
	commit := func() shcontrol.ClaimResult {
		return s.state.Apply(start, c).(shcontrol.ClaimResult)
	}
	if s.IntN(4) == 0 {
		s.schedule(func() { s.schedule(func() { commit() }) })
	}
	s.schedule(func() {
		r := commit()
		if s.IntN(4) == 0 {
			s.schedule(lost)
			return
		}
		s.schedule(func() { done(r) })
	})
}

// simulatedRequest is one request with the entry VM that works on it.
type simulatedRequest struct {
	*claimSimulation
	id       shmodel.RequestID
	called   int64
	answered bool
}

// start works on the request. The entry VM that the caller is connected to may
// lose contact with the entry VM that works on the request; it then settles the
// request.
func (q *simulatedRequest) start() {
	q.called = q.now
	q.open(1 + uint32(q.IntN(3)))
	if q.IntN(3) == 0 {
		q.schedule(q.settle)
	}
}

// answerCaller records the outcome that the caller gets. Only the first counts.
func (q *simulatedRequest) answerCaller(outcome shmodel.Outcome, by shmodel.RequestID) {
	if q.answered {
		return
	}
	q.answered = true
	q.history = append(q.history, porcupine.Operation{
		ClientId: int(q.id), Input: q.id, Output: callerOutcome{outcome, by}, Call: q.called, Return: q.now,
	})
}

func (q *simulatedRequest) open(number uint32) {
	c := shcontrol.OpenClaim{Key: payment, RequestID: q.id, Attempt: shcontrol.Attempt{Number: number}}
	q.propose(c, q.opened, q.settle)
}

func (q *simulatedRequest) opened(r shcontrol.ClaimResult) {
	switch r.Status {
	case shcontrol.ClaimGranted:
		q.schedule(func() { q.send(r.Attempt.Number) })
		// Another VM may take over at any time.
		if q.IntN(3) == 0 {
			q.schedule(func() { q.resolve(q.id, r.Attempt.Number) })
		}
	case shcontrol.ClaimNotRun:
		q.open(r.Attempt.Number + 1)
	default:
		q.handleClaim(r)
	}
}

// send runs the attempt on the backend server, unless the backend server refuses
// the attempt. The VM that sent the attempt may die before it learns the outcome.
func (q *simulatedRequest) send(number uint32) {
	name := fmt.Sprint(q.id, "/", number)
	outcome := shmodel.NotRun
	if q.attempts[name] == "" && q.IntN(5) > 0 {
		q.attempts[name] = "ran"
		q.runs++
		q.ran = q.id
		outcome = shmodel.Answered
	}
	if q.IntN(4) == 0 {
		q.answerCaller(shmodel.Unknown, 0)
		q.schedule(func() { q.resolve(q.id, number) })
		return
	}
	q.finish(number, outcome)
}

func (q *simulatedRequest) finish(number uint32, outcome shmodel.Outcome) {
	c := shcontrol.CloseClaim{
		Key: payment, RequestID: q.id, Attempt: number, Outcome: outcome,
		Answer: shcontrol.Answer{Body: []byte(q.id.String())},
	}
	again := func() { q.finish(number, outcome) }
	q.propose(c, func(r shcontrol.ClaimResult) {
		if r.Status == shcontrol.ClaimNotRun && r.Attempt.Number < 6 {
			q.open(r.Attempt.Number + 1)
			return
		}
		q.settle()
	}, again)
}

// resolve cancels an attempt whose VM may be dead and closes the claim.
func (s *claimSimulation) resolve(id shmodel.RequestID, number uint32) {
	name := fmt.Sprint(id, "/", number)
	outcome := shmodel.Unknown
	if s.attempts[name] != "ran" {
		s.attempts[name] = "cancelled"
		outcome = shmodel.NotRun
	}
	c := shcontrol.CloseClaim{Key: payment, RequestID: id, Attempt: number, Outcome: outcome}
	s.propose(c, func(shcontrol.ClaimResult) {}, func() { s.resolve(id, number) })
}

func (q *simulatedRequest) settle() {
	q.propose(shcontrol.SettleClaim{Key: payment, RequestID: q.id}, q.handleClaim, q.settle)
}

// handleClaim answers the caller by the state of the key. If an attempt is in
// progress, it resolves the attempt and settles the request again.
func (q *simulatedRequest) handleClaim(r shcontrol.ClaimResult) {
	switch r.Status {
	case shcontrol.ClaimAnswered:
		var by shmodel.RequestID
		if err := by.UnmarshalText(r.Answer.Body); err != nil {
			panic(err)
		}
		q.answerCaller(shmodel.Answered, by)
	case shcontrol.ClaimForbidden:
		q.answerCaller(shmodel.NotRun, 0)
	case shcontrol.ClaimInProgress:
		q.schedule(func() { q.resolve(r.RequestID, r.Attempt.Number) })
		q.schedule(q.settle)
	default:
		q.answerCaller(shmodel.Unknown, 0)
	}
}

// Guards against once-only work that runs twice, or runs although its caller got
// the outcome not-run, when callers resend concurrently and proposals are
// repeated, reordered and lost.
func TestOnceOnlyWorkRunsAtMostOnce(t *testing.T) {
	ran := 0
	for seed := range uint64(2000) {
		s := &claimSimulation{Rand: rand.New(rand.NewPCG(seed, 2)), pending: map[int64][]func(){}, attempts: map[string]string{}}
		for id := range shmodel.RequestID(5) {
			s.schedule((&simulatedRequest{claimSimulation: s, id: id + 1}).start)
		}
		for ; len(s.pending) > 0; s.now++ {
			for _, f := range s.pending[s.now] {
				f()
			}
			delete(s.pending, s.now)
		}
		assert.Assert(t, s.runs <= 1, "seed %d: %d runs", seed, s.runs)
		assert.Assert(t, len(s.history) == 5, "seed %d: %v", seed, s.history)
		for _, op := range s.history {
			contradicted := op.Input == s.ran && op.Output.(callerOutcome).outcome == shmodel.NotRun
			assert.Assert(t, !contradicted, "seed %d: %v ran", seed, op)
		}
		assert.Assert(t, porcupine.CheckOperations(onceOnlyModel, s.history), "seed %d: %v", seed, s.history)
		ran += s.runs
	}
	assert.Assert(t, ran > 500, "only %d runs", ran)
}

// openClaim, closeClaim, settleClaim and settleClaimWithDigest return commands
// for the tables below.
func openClaim(id shmodel.RequestID, number uint32, digest byte) shcontrol.Command {
	return shcontrol.OpenClaim{
		Key: payment, Digest: shmodel.Digest{digest}, RequestID: id,
		Attempt: shcontrol.Attempt{Number: number, DispatchBy: start.Add(time.Minute)},
	}
}

func closeClaim(id shmodel.RequestID, number uint32, outcome shmodel.Outcome) shcontrol.Command {
	return shcontrol.CloseClaim{
		Key: payment, RequestID: id, Attempt: number, Outcome: outcome,
		Answer: shcontrol.Answer{Status: 200, Body: []byte("receipt")},
	}
}

func settleClaim(id shmodel.RequestID) shcontrol.Command {
	return shcontrol.SettleClaim{Key: payment, RequestID: id}
}

func settleClaimWithDigest(id shmodel.RequestID, digest byte) shcontrol.Command {
	return shcontrol.SettleClaim{Key: payment, RequestID: id, Digest: shmodel.Digest{digest}}
}

// Guards each rule of claims: the last command must get the wanted status.
func TestClaimRules(t *testing.T) {
	type list = []shcontrol.Command
	for name, c := range map[string]struct {
		commands list
		want     shcontrol.ClaimStatus
	}{
		"first claim":                    {list{openClaim(1, 1, 1)}, shcontrol.ClaimGranted},
		"repeated claim":                 {list{openClaim(1, 1, 1), openClaim(1, 1, 1)}, shcontrol.ClaimInProgress},
		"higher attempt in progress":     {list{openClaim(1, 1, 1), openClaim(1, 2, 1)}, shcontrol.ClaimInProgress},
		"answered is final":              {list{openClaim(1, 1, 1), closeClaim(1, 1, shmodel.Answered), closeClaim(1, 1, shmodel.Unknown)}, shcontrol.ClaimAnswered},
		"resend of answered":             {list{openClaim(1, 1, 1), closeClaim(1, 1, shmodel.Answered), openClaim(2, 2, 1)}, shcontrol.ClaimAnswered},
		"unknown is final":               {list{openClaim(1, 1, 1), closeClaim(1, 1, shmodel.Unknown), openClaim(2, 2, 1)}, shcontrol.ClaimUnknown},
		"late answer after unknown":      {list{openClaim(1, 1, 1), closeClaim(1, 1, shmodel.Unknown), closeClaim(1, 1, shmodel.Answered)}, shcontrol.ClaimUnknown},
		"higher attempt after not-run":   {list{openClaim(1, 1, 1), closeClaim(1, 1, shmodel.NotRun), openClaim(2, 2, 1)}, shcontrol.ClaimGranted},
		"repeated claim after not-run":   {list{openClaim(1, 1, 1), closeClaim(1, 1, shmodel.NotRun), openClaim(1, 1, 1)}, shcontrol.ClaimNotRun},
		"same number by another request": {list{openClaim(1, 1, 1), closeClaim(1, 1, shmodel.NotRun), openClaim(2, 1, 1)}, shcontrol.ClaimNotRun},
		"stale close":                    {list{openClaim(1, 1, 1), closeClaim(1, 1, shmodel.NotRun), openClaim(1, 2, 1), closeClaim(1, 1, shmodel.Answered)}, shcontrol.ClaimInProgress},
		"close by another request":       {list{openClaim(1, 1, 1), closeClaim(2, 1, shmodel.Answered)}, shcontrol.ClaimInProgress},
		"close without claim":            {list{closeClaim(1, 1, shmodel.Answered)}, shcontrol.ClaimNotRun},
		"other body":                     {list{openClaim(1, 1, 1), closeClaim(1, 1, shmodel.Answered), openClaim(2, 2, 2)}, shcontrol.ClaimConflict},
		"settled, same content":          {list{openClaim(1, 1, 1), closeClaim(1, 1, shmodel.Answered), settleClaimWithDigest(2, 1)}, shcontrol.ClaimAnswered},
		"settled, other content":         {list{openClaim(1, 1, 1), closeClaim(1, 1, shmodel.Answered), settleClaimWithDigest(2, 9)}, shcontrol.ClaimConflict},
		"settled before the claim":       {list{settleClaim(1), openClaim(1, 1, 1)}, shcontrol.ClaimForbidden},
		"settled, other request":         {list{settleClaim(1), openClaim(2, 1, 1)}, shcontrol.ClaimGranted},
		"settle without claim":           {list{settleClaim(1)}, shcontrol.ClaimForbidden},
		"settle in progress":             {list{openClaim(1, 1, 1), settleClaim(1)}, shcontrol.ClaimInProgress},
		"settle does not forbid holder":  {list{openClaim(1, 1, 1), settleClaim(1), closeClaim(1, 1, shmodel.Answered)}, shcontrol.ClaimAnswered},
		"settled after not-run":          {list{openClaim(1, 1, 1), closeClaim(1, 1, shmodel.NotRun), settleClaim(1), openClaim(1, 2, 1)}, shcontrol.ClaimForbidden},
		"settle with other's answer":     {list{openClaim(1, 1, 1), closeClaim(1, 1, shmodel.Answered), settleClaim(2)}, shcontrol.ClaimAnswered},
	} {
		t.Run(name, func(t *testing.T) {
			var s shcontrol.State
			var last shcontrol.ClaimResult
			for _, command := range c.commands {
				last = s.Apply(start, command).(shcontrol.ClaimResult)
			}
			assert.Equal(t, last.Status, c.want)
			assert.Equal(t, len(last.Answer.Body) > 0, c.want == shcontrol.ClaimAnswered)
		})
	}
	t.Run("late claim", func(t *testing.T) {
		var s shcontrol.State
		late := s.Apply(start.Add(2*time.Minute), openClaim(1, 1, 1))
		assert.DeepEqual(t, late, shcontrol.Rejected{Reason: "the dispatch deadline has passed"})
	})
	t.Run("time without JSON form", func(t *testing.T) {
		var s shcontrol.State
		c := openClaim(1, 1, 1).(shcontrol.OpenClaim)
		c.Attempt.DispatchBy = time.Date(9999, 12, 31, 23, 0, 0, 0, time.FixedZone("z", -7200))
		s.Apply(start, c)
		snapshot(t, &s)
	})
	t.Run("large answer", func(t *testing.T) {
		var s shcontrol.State
		s.Apply(start, openClaim(1, 1, 1))
		r := s.Apply(start, shcontrol.CloseClaim{
			Key: payment, RequestID: 1, Attempt: 1, Outcome: shmodel.Answered,
			Answer: shcontrol.Answer{Status: 200, Body: []byte(strings.Repeat("x", shcontrol.MaxRecordedAnswer+1))},
		}).(shcontrol.ClaimResult)
		assert.DeepEqual(t, r.Answer, shcontrol.Answer{Status: 200, Truncated: true})
	})
}

// Guards against a used key that is dropped and runs again, against full claims
// that are kept forever, and against a key that is refused although its work
// never ran.
func TestClaimRetention(t *testing.T) {
	after := func(s *shcontrol.State, age time.Duration) shcontrol.ClaimStatus {
		at := start.Add(age)
		c := openClaim(9, 9, 1).(shcontrol.OpenClaim)
		c.Attempt.DispatchBy = at.Add(time.Minute)
		return s.Apply(at, c).(shcontrol.ClaimResult).Status
	}
	for outcome, want := range map[shmodel.Outcome]shcontrol.ClaimStatus{
		shmodel.Answered: shcontrol.ClaimUsedBefore,
		shmodel.Unknown:  shcontrol.ClaimUsedBefore,
		shmodel.NotRun:   shcontrol.ClaimGranted,
	} {
		t.Run(string(outcome), func(t *testing.T) {
			var s shcontrol.State
			s.Apply(start, openClaim(1, 1, 1))
			s.Apply(start, closeClaim(1, 1, outcome))
			if outcome != shmodel.NotRun {
				assert.Assert(t, after(&s, 24*time.Hour-1) != shcontrol.ClaimUsedBefore)
			}
			assert.Equal(t, after(&s, 24*time.Hour), want)
			if outcome != shmodel.NotRun {
				assert.NilError(t, s.Restore([]byte(snapshot(t, &s))))
				assert.Equal(t, after(&s, 10*365*24*time.Hour), want)
			}
		})
	}
	t.Run("bounded work", func(t *testing.T) {
		var s shcontrol.State
		for i := range 100 {
			key := shmodel.ClaimKey{Key: fmt.Sprint(i)}
			s.Apply(start, shcontrol.OpenClaim{Key: key, RequestID: 1, Attempt: shcontrol.Attempt{Number: 1}})
		}
		full := func() (n int) {
			for i := range 100 {
				if r, _ := s.Claim(shmodel.ClaimKey{Key: fmt.Sprint(i)}); r.Status == shcontrol.ClaimInProgress {
					n++
				}
			}
			return n
		}
		for left := 100; left > 0; {
			s.Apply(start.Add(48*time.Hour), shcontrol.SetDrain{VM: "v"})
			now := full()
			assert.Assert(t, now < left && left-now <= 8, "%d of %d claims expired", left-now, left)
			left = now
		}
	})
}
