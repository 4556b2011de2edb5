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

// command is what clients do to the register.
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

// ending says how an operation ended for its client.
type ending int

const (
	done ending = iota
	notRun
	unknown
)

type operation struct {
	sim     *sim
	command command
	term    uint64
	called  int64
	ended   bool
	then    func(ending, string)
}

func (o *operation) finish(e ending, result string) {
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

// lose ends operations whose outcome the host will not learn, in a fixed order.
func lose(operations map[uint64]*operation) {
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

// client runs operations one after the other until the given time. It turns to
// another host after a failure.
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
		o.then = func(e ending, result string) {
			if e == done && c.Kind == "read" {
				last = result
			}
			pause := s.between(20*time.Millisecond, 250*time.Millisecond)
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
	s.after(s.between(0, time.Second), next)
}

// issue hands an operation to a host. Its client waits for 2 s.
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

// fault does one random thing and goes on until the given time.
func (s *sim) fault(until time.Time) {
	if s.now.After(until) {
		return
	}
	s.after(s.between(150*time.Millisecond, 1200*time.Millisecond), func() { s.fault(until) })
	a, b := s.rng.IntN(len(s.hosts)), s.rng.IntN(len(s.hosts))
	switch s.rng.IntN(10) {
	case 0:
		s.cut[[2]int{a, b}] = true
	case 1:
		s.cut[[2]int{a, b}], s.cut[[2]int{b, a}] = true, true
	case 2:
		s.isolate(a)
		s.after(s.between(3*time.Second, 10*time.Second), func() { s.rejoin(a) })
	case 3, 4:
		clear(s.cut)
	case 5:
		s.crashSoon(s.hosts[a])
	case 6:
		if l := s.leader(); l != nil {
			s.crashSoon(l)
		}
	case 7:
		s.loseSomeDisk()
	case 8:
		if l := s.leader(); l != nil {
			l.step(shraft.Transfer{})
			// A process that stands still here wakes up as a former leader.
			s.after(s.between(0, 100*time.Millisecond), func() { s.freeze(l) })
		}
	case 9:
		if l := s.leader(); l != nil {
			s.freeze(l)
		}
	}
}

func (s *sim) freeze(h *host) {
	h.frozen = s.now.Add(s.between(500*time.Millisecond, 3*time.Second))
}

// crashSoon crashes a host within the next few effects.
func (s *sim) crashSoon(h *host) {
	h.crashIn = s.rng.IntN(8)
	s.after(s.between(100*time.Millisecond, 3*time.Second), h.start)
}

func (s *sim) isolate(a int) {
	for i := range s.hosts {
		s.cut[[2]int{a, i}], s.cut[[2]int{i, a}] = true, true
	}
}

func (s *sim) rejoin(a int) {
	for i := range s.hosts {
		delete(s.cut, [2]int{a, i})
		delete(s.cut, [2]int{i, a})
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

// Guards against histories that no single register explains, two leaders in a
// term, committed entries that change, replicas that differ, a group that does
// not recover, and quorum confirmations dated too late, under lost, late,
// repeated and reordered messages, cuts, crashes and lost disks.
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
		assert.Assert(t, total[what] >= safetySeeds, "%s: only %d times, the runs prove little", what, total[what])
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
	s.after(1500*time.Millisecond, func() { s.fault(until) })
	s.repair()
	s.run(faultTime, nil)
	clear(s.cut)
	s.loss = 0
	for _, h := range s.hosts {
		h.crashIn = -1
		h.start()
	}
	// Operations of the last clients end by their timeout of 2 s.
	s.run(3*time.Second, nil)
	assert.Assert(t, s.run(recoveryTime, s.converged), "the group did not recover:\n%s", s.describe())
	assert.Assert(t, porcupine.CheckOperations(registerModel, s.history), "history is not linearizable")
	s.seen["operations"] = len(s.history)
	return s.seen
}
