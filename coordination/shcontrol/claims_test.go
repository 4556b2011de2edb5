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

// told is what the caller of a request learns. By is the request that ran.
type told struct {
	outcome shmodel.Outcome
	by      shmodel.RequestID
}

// onceOnly is the sequential model: the state is the request that ran, or 0.
var onceOnly = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{shmodel.RequestID(0)} },
	Step: func(state, input, output any) []any {
		ran, request, out := state.(shmodel.RequestID), input.(shmodel.RequestID), output.(told)
		switch {
		case out.outcome == shmodel.Unknown && ran == 0:
			return []any{ran, request}
		case out.outcome == shmodel.Unknown, out.outcome == shmodel.NotRun && ran != request:
			return []any{ran}
		case out.outcome == shmodel.Answered && (ran == out.by || ran == 0 && request == out.by):
			return []any{out.by}
		}
		return nil
	},
}).ToModel()

// office is callers, entry VMs and a backend server that work on one key.
// Events happen in the order of random times.
type office struct {
	*rand.Rand
	state   shcontrol.State
	now     int64
	pending map[int64][]func()
	// attempts is what the backend server knows of each attempt.
	attempts map[string]string
	runs     int
	ran      shmodel.RequestID
	history  []porcupine.Operation
}

func (o *office) after(f func()) {
	at := o.now + 1 + o.Int64N(20)
	o.pending[at] = append(o.pending[at], f)
}

// propose commits a command at some time and perhaps again at a later one.
// The result may be lost.
func (o *office) propose(c shcontrol.Command, done func(shcontrol.ClaimResult), lost func()) {
	commit := func() shcontrol.ClaimResult {
		return o.state.Apply(start, c).(shcontrol.ClaimResult)
	}
	if o.IntN(4) == 0 {
		o.after(func() { o.after(func() { commit() }) })
	}
	o.after(func() {
		r := commit()
		if o.IntN(4) == 0 {
			o.after(lost)
			return
		}
		o.after(func() { done(r) })
	})
}

// job is one request with the entry VM that works on it.
type job struct {
	*office
	id     shmodel.RequestID
	called int64
	told   bool
}

// start works on the request. The entry VM that the caller is connected to may
// lose sight of the one that works on it, and settles the request then.
func (j *job) start() {
	j.called = j.now
	j.open(1 + uint32(j.IntN(3)))
	if j.IntN(3) == 0 {
		j.after(j.settle)
	}
}

// tell answers the caller, who takes the first answer.
func (j *job) tell(outcome shmodel.Outcome, by shmodel.RequestID) {
	if j.told {
		return
	}
	j.told = true
	j.history = append(j.history, porcupine.Operation{
		ClientId: int(j.id), Input: j.id, Output: told{outcome, by}, Call: j.called, Return: j.now,
	})
}

func (j *job) open(number uint32) {
	c := shcontrol.OpenClaim{Key: payment, RequestID: j.id, Attempt: shcontrol.Attempt{Number: number}}
	j.propose(c, j.opened, j.settle)
}

func (j *job) opened(r shcontrol.ClaimResult) {
	switch r.Status {
	case shcontrol.ClaimGranted:
		j.after(func() { j.send(r.Attempt.Number) })
		// Another VM may take over at any time.
		if j.IntN(3) == 0 {
			j.after(func() { j.resolve(j.id, r.Attempt.Number) })
		}
	case shcontrol.ClaimNotRun:
		j.open(r.Attempt.Number + 1)
	default:
		j.learn(r)
	}
}

// send runs the attempt on the backend server, unless its VM dies or the
// attempt is refused there.
func (j *job) send(number uint32) {
	name := fmt.Sprint(j.id, "/", number)
	outcome := shmodel.NotRun
	if j.attempts[name] == "" && j.IntN(5) > 0 {
		j.attempts[name] = "ran"
		j.runs++
		j.ran = j.id
		outcome = shmodel.Answered
	}
	if j.IntN(4) == 0 {
		j.tell(shmodel.Unknown, 0)
		j.after(func() { j.resolve(j.id, number) })
		return
	}
	j.finish(number, outcome)
}

func (j *job) finish(number uint32, outcome shmodel.Outcome) {
	c := shcontrol.CloseClaim{
		Key: payment, RequestID: j.id, Attempt: number, Outcome: outcome,
		Answer: shcontrol.Answer{Body: []byte(j.id.String())},
	}
	again := func() { j.finish(number, outcome) }
	j.propose(c, func(r shcontrol.ClaimResult) {
		if r.Status == shcontrol.ClaimNotRun && r.Attempt.Number < 6 {
			j.open(r.Attempt.Number + 1)
			return
		}
		j.settle()
	}, again)
}

// resolve closes an attempt of a VM that may be dead, after a cancellation.
func (o *office) resolve(id shmodel.RequestID, number uint32) {
	name := fmt.Sprint(id, "/", number)
	outcome := shmodel.Unknown
	if o.attempts[name] != "ran" {
		o.attempts[name] = "cancelled"
		outcome = shmodel.NotRun
	}
	c := shcontrol.CloseClaim{Key: payment, RequestID: id, Attempt: number, Outcome: outcome}
	o.propose(c, func(shcontrol.ClaimResult) {}, func() { o.resolve(id, number) })
}

func (j *job) settle() {
	j.propose(shcontrol.SettleClaim{Key: payment, RequestID: j.id}, j.learn, j.settle)
}

// learn tells the caller the state of the key, or waits for it.
func (j *job) learn(r shcontrol.ClaimResult) {
	switch r.Status {
	case shcontrol.ClaimAnswered:
		var by shmodel.RequestID
		if err := by.UnmarshalText(r.Answer.Body); err != nil {
			panic(err)
		}
		j.tell(shmodel.Answered, by)
	case shcontrol.ClaimForbidden:
		j.tell(shmodel.NotRun, 0)
	case shcontrol.ClaimInProgress:
		j.after(func() { j.resolve(r.RequestID, r.Attempt.Number) })
		j.after(j.settle)
	default:
		j.tell(shmodel.Unknown, 0)
	}
}

// Guards against once-only work that runs twice, or runs after its caller was
// told not-run, when callers resend concurrently and proposals are repeated,
// reordered and lost.
func TestOnceOnlyWorkRunsAtMostOnce(t *testing.T) {
	ran := 0
	for seed := range uint64(2000) {
		o := &office{Rand: rand.New(rand.NewPCG(seed, 2)), pending: map[int64][]func(){}, attempts: map[string]string{}}
		for id := range shmodel.RequestID(5) {
			o.after((&job{office: o, id: id + 1}).start)
		}
		for ; len(o.pending) > 0; o.now++ {
			for _, f := range o.pending[o.now] {
				f()
			}
			delete(o.pending, o.now)
		}
		assert.Assert(t, o.runs <= 1, "seed %d: %d runs", seed, o.runs)
		assert.Assert(t, len(o.history) == 5, "seed %d: %v", seed, o.history)
		for _, op := range o.history {
			contradicted := op.Input == o.ran && op.Output.(told).outcome == shmodel.NotRun
			assert.Assert(t, !contradicted, "seed %d: %v ran", seed, op)
		}
		assert.Assert(t, porcupine.CheckOperations(onceOnly, o.history), "seed %d: %v", seed, o.history)
		ran += o.runs
	}
	assert.Assert(t, ran > 500, "only %d runs", ran)
}

// open, done and forbid shorten the tables below.
func open(id shmodel.RequestID, number uint32, digest byte) shcontrol.Command {
	return shcontrol.OpenClaim{
		Key: payment, Digest: shmodel.Digest{digest}, RequestID: id,
		Attempt: shcontrol.Attempt{Number: number, DispatchBy: start.Add(time.Minute)},
	}
}

func done(id shmodel.RequestID, number uint32, outcome shmodel.Outcome) shcontrol.Command {
	return shcontrol.CloseClaim{
		Key: payment, RequestID: id, Attempt: number, Outcome: outcome,
		Answer: shcontrol.Answer{Status: 200, Body: []byte("receipt")},
	}
}

func forbid(id shmodel.RequestID) shcontrol.Command {
	return shcontrol.SettleClaim{Key: payment, RequestID: id}
}

func compare(id shmodel.RequestID, digest byte) shcontrol.Command {
	return shcontrol.SettleClaim{Key: payment, RequestID: id, Digest: shmodel.Digest{digest}}
}

// Guards each rule of claims: the last command must get the wanted status.
func TestClaimRules(t *testing.T) {
	type list = []shcontrol.Command
	for name, c := range map[string]struct {
		commands list
		want     shcontrol.ClaimStatus
	}{
		"first claim":                    {list{open(1, 1, 1)}, shcontrol.ClaimGranted},
		"repeated claim":                 {list{open(1, 1, 1), open(1, 1, 1)}, shcontrol.ClaimInProgress},
		"higher attempt in progress":     {list{open(1, 1, 1), open(1, 2, 1)}, shcontrol.ClaimInProgress},
		"answered is final":              {list{open(1, 1, 1), done(1, 1, shmodel.Answered), done(1, 1, shmodel.Unknown)}, shcontrol.ClaimAnswered},
		"resend of answered":             {list{open(1, 1, 1), done(1, 1, shmodel.Answered), open(2, 2, 1)}, shcontrol.ClaimAnswered},
		"unknown is final":               {list{open(1, 1, 1), done(1, 1, shmodel.Unknown), open(2, 2, 1)}, shcontrol.ClaimUnknown},
		"late answer after unknown":      {list{open(1, 1, 1), done(1, 1, shmodel.Unknown), done(1, 1, shmodel.Answered)}, shcontrol.ClaimUnknown},
		"higher attempt after not-run":   {list{open(1, 1, 1), done(1, 1, shmodel.NotRun), open(2, 2, 1)}, shcontrol.ClaimGranted},
		"repeated claim after not-run":   {list{open(1, 1, 1), done(1, 1, shmodel.NotRun), open(1, 1, 1)}, shcontrol.ClaimNotRun},
		"same number by another request": {list{open(1, 1, 1), done(1, 1, shmodel.NotRun), open(2, 1, 1)}, shcontrol.ClaimNotRun},
		"stale close":                    {list{open(1, 1, 1), done(1, 1, shmodel.NotRun), open(1, 2, 1), done(1, 1, shmodel.Answered)}, shcontrol.ClaimInProgress},
		"close by another request":       {list{open(1, 1, 1), done(2, 1, shmodel.Answered)}, shcontrol.ClaimInProgress},
		"close without claim":            {list{done(1, 1, shmodel.Answered)}, shcontrol.ClaimNotRun},
		"other body":                     {list{open(1, 1, 1), done(1, 1, shmodel.Answered), open(2, 2, 2)}, shcontrol.ClaimConflict},
		"settled, same content":          {list{open(1, 1, 1), done(1, 1, shmodel.Answered), compare(2, 1)}, shcontrol.ClaimAnswered},
		"settled, other content":         {list{open(1, 1, 1), done(1, 1, shmodel.Answered), compare(2, 9)}, shcontrol.ClaimConflict},
		"settled before the claim":       {list{forbid(1), open(1, 1, 1)}, shcontrol.ClaimForbidden},
		"settled, other request":         {list{forbid(1), open(2, 1, 1)}, shcontrol.ClaimGranted},
		"settle without claim":           {list{forbid(1)}, shcontrol.ClaimForbidden},
		"settle in progress":             {list{open(1, 1, 1), forbid(1)}, shcontrol.ClaimInProgress},
		"settle does not forbid holder":  {list{open(1, 1, 1), forbid(1), done(1, 1, shmodel.Answered)}, shcontrol.ClaimAnswered},
		"settled after not-run":          {list{open(1, 1, 1), done(1, 1, shmodel.NotRun), forbid(1), open(1, 2, 1)}, shcontrol.ClaimForbidden},
		"settle with other's answer":     {list{open(1, 1, 1), done(1, 1, shmodel.Answered), forbid(2)}, shcontrol.ClaimAnswered},
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
		late := s.Apply(start.Add(2*time.Minute), open(1, 1, 1))
		assert.DeepEqual(t, late, shcontrol.Rejected{Reason: "the dispatch deadline has passed"})
	})
	t.Run("time without JSON form", func(t *testing.T) {
		var s shcontrol.State
		c := open(1, 1, 1).(shcontrol.OpenClaim)
		c.Attempt.DispatchBy = time.Date(9999, 12, 31, 23, 0, 0, 0, time.FixedZone("z", -7200))
		s.Apply(start, c)
		snapshot(t, &s)
	})
	t.Run("large answer", func(t *testing.T) {
		var s shcontrol.State
		s.Apply(start, open(1, 1, 1))
		r := s.Apply(start, shcontrol.CloseClaim{
			Key: payment, RequestID: 1, Attempt: 1, Outcome: shmodel.Answered,
			Answer: shcontrol.Answer{Status: 200, Body: []byte(strings.Repeat("x", shcontrol.MaxRecordedAnswer+1))},
		}).(shcontrol.ClaimResult)
		assert.DeepEqual(t, r.Answer, shcontrol.Answer{Status: 200, Truncated: true})
	})
}

// Guards against a key that is forgotten and runs again, against full claims
// that are kept for ever, and against a key that is refused although it never
// ran.
func TestClaimRetention(t *testing.T) {
	after := func(s *shcontrol.State, age time.Duration) shcontrol.ClaimStatus {
		at := start.Add(age)
		c := open(9, 9, 1).(shcontrol.OpenClaim)
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
			s.Apply(start, open(1, 1, 1))
			s.Apply(start, done(1, 1, outcome))
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
