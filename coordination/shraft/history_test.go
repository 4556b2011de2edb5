package shraft_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"sequoiahollow/coordination/shraft"
)

// command is an operation of a client on the replicated register.
type command struct {
	Kind string `json:"kind"` // read, write, swap or fill
	From string `json:"from,omitempty"`
	To   string `json:"to,omitempty"`
}

func (h *host) applyCommand(data []byte) string {
	var c command
	if err := json.Unmarshal(data, &c); err != nil {
		h.sim.t.Fatal(err)
	}
	switch {
	case c.Kind == "write":
		h.register = c.To
	case c.Kind == "swap" && h.register == c.From:
		h.register = c.To
		return "swapped"
	}
	return ""
}

// outcome is the result of an operation as its client sees it.
type outcome int

const (
	done outcome = iota
	notRun
	unknown
)

type operation struct {
	sim     *sim
	command command
	term    uint64
	called  int64
	ended   bool
	then    func(outcome, string)
}

func (o *operation) finish(e outcome, result string) {
	if o.ended {
		return
	}
	o.ended = true
	s := o.sim
	s.clock++
	record := porcupine.Operation{Input: o.command, Call: o.called, Output: result, Return: s.clock}
	switch {
	case o.command.Kind == "fill" || e == notRun || e == unknown && o.command.Kind == "read":
	case e == unknown:
		record.Output, record.Return = nil, math.MaxInt64
		s.history = append(s.history, record)
	default:
		s.history = append(s.history, record)
	}
	o.then(e, result)
}

// finishUnknown ends operations whose outcome the host will not learn, in the
// order of the keys, so that a run can be repeated.
func finishUnknown(operations map[uint64]*operation) {
	for _, key := range slices.Sorted(maps.Keys(operations)) {
		operations[key].finish(unknown, "")
	}
	clear(operations)
}

var registerModel = porcupine.Model{
	Init: func() any { return "0" },
	Step: func(state, input, output any) (bool, any) {
		c, value := input.(command), state.(string)
		switch c.Kind {
		case "read":
			return output == value, value
		case "write":
			return true, c.To
		}
		swapped := value == c.From
		matches := output == nil || (output == "swapped") == swapped
		if swapped {
			value = c.To
		}
		return matches, value
	},
}

// client runs operations one after the other until the given time. After a failure
// it uses another host.
func (s *sim) client(number int, until time.Time) {
	target := s.rng.IntN(len(s.hosts))
	last, count := "0", 0
	var next func()
	next = func() {
		if s.now.After(until) {
			return
		}
		count++
		value := fmt.Sprintf("%d.%d", number, count)
		c := command{Kind: "fill", To: value}
		if number > 0 {
			c = []command{{Kind: "read"}, {Kind: "write", To: value}, {Kind: "swap", From: last, To: value}}[s.rng.IntN(3)]
		}
		s.clock++
		o := &operation{sim: s, command: c, called: s.clock}
		o.then = func(e outcome, result string) {
			if e == done && c.Kind == "read" {
				last = result
			}
			pause := s.randomDuration(20*time.Millisecond, 250*time.Millisecond)
			if number == 0 {
				pause /= 8
			}
			if e != done {
				target = s.rng.IntN(len(s.hosts))
				if l := s.leader(); l != nil && s.chance(0.7) {
					target = l.number
				}
			}
			s.after(pause, next)
		}
		s.issue(target, o)
	}
	s.after(s.randomDuration(0, time.Second), next)
}

// issue submits an operation to a host. The client waits for 2 s.
func (s *sim) issue(target int, o *operation) {
	h := s.hosts[target]
	if h.node == nil {
		o.finish(notRun, "")
		return
	}
	token := uint64(o.called)
	h.ops[token] = o
	s.after(2*time.Second, func() { o.finish(unknown, "") })
	if o.command.Kind == "read" {
		h.step(shraft.Read{Tokens: []uint64{token}})
		return
	}
	data, err := json.Marshal(o.command)
	if err != nil {
		s.t.Fatal(err)
	}
	h.step(shraft.Propose{Proposals: []shraft.Proposal{{Token: token, Data: data}}})
}

// injectFaults injects one random fault and schedules the next, until the given
// time.
func (s *sim) injectFaults(until time.Time) {
	if s.now.After(until) {
		return
	}
	s.after(s.randomDuration(150*time.Millisecond, 1200*time.Millisecond), func() { s.injectFaults(until) })
	a, b := s.rng.IntN(len(s.hosts)), s.rng.IntN(len(s.hosts))
	switch s.rng.IntN(10) {
	case 0:
		s.blocked[[2]int{a, b}] = true
	case 1:
		s.blocked[[2]int{a, b}], s.blocked[[2]int{b, a}] = true, true
	case 2:
		s.isolate(a)
		s.after(s.randomDuration(3*time.Second, 10*time.Second), func() { s.reconnect(a) })
	case 3, 4:
		clear(s.blocked)
	case 5:
		s.crashSoon(s.hosts[a])
	case 6:
		if l := s.leader(); l != nil {
			s.crashSoon(l)
		}
	case 7:
		s.loseRandomDisk()
	case 8:
		if l := s.leader(); l != nil {
			l.step(shraft.Transfer{})
			// A process that is paused here resumes as a former leader.
			s.after(s.randomDuration(0, 100*time.Millisecond), func() { s.pause(l) })
		}
	case 9:
		if l := s.leader(); l != nil {
			s.pause(l)
		}
	}
}

func (s *sim) pause(h *host) {
	h.pausedUntil = s.now.Add(s.randomDuration(500*time.Millisecond, 3*time.Second))
}

// crashSoon crashes a host within the next few effects.
func (s *sim) crashSoon(h *host) {
	h.effectsToCrash = s.rng.IntN(8)
	s.after(s.randomDuration(100*time.Millisecond, 3*time.Second), h.start)
}

func (s *sim) isolate(a int) {
	for i := range s.hosts {
		s.blocked[[2]int{a, i}], s.blocked[[2]int{i, a}] = true, true
	}
}

func (s *sim) reconnect(a int) {
	for i := range s.hosts {
		delete(s.blocked, [2]int{a, i})
		delete(s.blocked, [2]int{i, a})
	}
}

// converged reports whether all disks are voters and all hosts have applied the
// same entries.
func (s *sim) converged() bool {
	l := s.leader()
	if l == nil || len(l.node.Status().Membership.Voters) != len(s.hosts) {
		return false
	}
	for _, h := range s.hosts {
		if h.node == nil || !s.membership.IsVoter(h.id) || h.applied != l.node.Status().LastIndex {
			return false
		}
	}
	return true
}

const (
	safetySeeds  = 220
	faultTime    = 11 * time.Second
	recoveryTime = 60 * time.Second
)

// Guards against histories that are not linearizable, two leaders in a term,
// committed entries that change, replicas that differ, a group that does not
// recover, and quorum confirmations dated too late, with lost, delayed,
// duplicated and reordered messages, network partitions, crashes, paused
// processes and lost disks.
func TestSafety(t *testing.T) {
	seen := make(chan map[string]int, safetySeeds)
	t.Run("seeds", func(t *testing.T) {
		for seed := range uint64(safetySeeds) {
			t.Run(fmt.Sprint(seed), func(t *testing.T) {
				t.Parallel()
				seen <- runFaults(t, seed)
			})
		}
	})
	total := map[string]int{}
	for range len(seen) {
		for what, count := range <-seen {
			total[what] += count
		}
	}
	t.Log(total)
	for _, what := range []string{"crash", "lost disk", "repair", "loss after repair", "install", "operations"} {
		assert.Assert(t, total[what] >= safetySeeds, "%s: only %d times, too few to test it", what, total[what])
	}
}

func runFaults(t *testing.T, seed uint64) map[string]int {
	s := newSim(t, seed, 3+2*int(seed%2))
	s.loss, s.duplication = 0.1*s.rng.Float64(), 0.1*s.rng.Float64()
	until := s.now.Add(faultTime)
	s.faultsEnd = until
	s.encode = seed < 2
	for number := range 5 {
		s.client(number, until)
	}
	s.after(1500*time.Millisecond, func() { s.injectFaults(until) })
	s.repair()
	s.run(faultTime, nil)
	clear(s.blocked)
	s.loss = 0
	for _, h := range s.hosts {
		h.effectsToCrash = -1
		h.start()
	}
	// The last operations end within the clients' timeout of 2 s.
	s.run(3*time.Second, nil)
	assert.Assert(t, s.run(recoveryTime, s.converged), "the group did not recover:\n%s", s.describe())
	assert.Assert(t, porcupine.CheckOperations(registerModel, s.history), "history is not linearizable")
	s.counts["operations"] = len(s.history)
	return s.counts
}
