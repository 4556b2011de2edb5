package shreplication

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/state/shmodel"
)

const seeds = 200

var (
	start = time.Unix(1_700_000_000, 0)
	self  = Config{Self: "self", Place: shmodel.Place{Region: "r1", FailureDomain: "a"}, InFlight: 4}
)

func vm(name shmodel.VM, region shmodel.Region, domain shmodel.FailureDomain, disk bool, distance time.Duration) Target {
	return Target{VM: name, Place: shmodel.Place{Region: region, FailureDomain: domain}, Disk: disk, Healthy: true, Distance: distance}
}

var targets = []Target{
	vm("self", "r1", "a", true, 0),
	vm("same-domain", "r1", "a", true, time.Microsecond),
	vm("far", "r3", "a", true, 35*time.Millisecond),
	vm("near", "r2", "a", true, 12*time.Millisecond),
	vm("neighbour", "r1", "b", true, time.Millisecond),
	vm("neighbour-no-disk", "r1", "b", false, 2*time.Millisecond),
}

func formatEffects(effects []Effect) []string {
	var all []string
	for _, e := range effects {
		if a, ok := e.(Append); ok {
			a.Timeout = 0
			e = a
		}
		all = append(all, fmt.Sprintf("%T%v", e, e)[len("shreplication."):])
	}
	return all
}

// Guards against a choice of targets that keeps both copies in one failure
// domain, crosses regions unnecessarily, or does not retry after a failure.
func TestMachineChoosesTargets(t *testing.T) {
	steps := func(events ...Event) []string {
		m := New(self)
		m.Handle(start, TargetsChanged{Targets: targets})
		var effects []Effect
		for _, e := range events {
			effects = m.Handle(start, e)
		}
		return formatEffects(effects)
	}
	oneRegion := slices.DeleteFunc(slices.Clone(targets), func(t Target) bool { return t.Place.Region != "r1" })
	neighbourDiskless := slices.DeleteFunc(slices.Clone(targets), func(t Target) bool { return t.VM == "neighbour" })
	tests := []struct {
		name   string
		events []Event
		want   []string
	}{
		{"copied", []Event{Submitted{1, Copied}}, []string{"Append{1 neighbour false false 0s}", "Append{1 near true false 0s}"}},
		{"durable", []Event{Submitted{1, Durable}}, []string{"Append{1 neighbour true false 0s}", "Append{1 near true false 0s}"}},
		{"deferred", []Event{Submitted{1, Deferred}}, []string{"Reached{1}", "Append{1 neighbour true false 0s}", "Append{1 near true false 0s}"}},
		{"copy arrives", []Event{Submitted{1, Copied}, Appended{1, "neighbour", false}}, []string{"Reached{1}", "Append{1 neighbour true true 0s}"}},
		{"copy fails", []Event{Submitted{1, Copied}, AppendFailed{1, "neighbour", TargetFailed}}, []string{"Append{1 neighbour-no-disk false false 0s}", "Append{1 far true false 0s}"}},
		{"sync fails", []Event{Submitted{1, Durable}, AppendFailed{1, "near", TargetFailed}}, []string{"Append{1 far true false 0s}"}},
		{"both synced", []Event{Submitted{1, Durable}, Appended{1, "near", true}, Appended{1, "neighbour", true}}, []string{"Reached{1}", "Released{1 [neighbour near]}"}},
		{"target gone", []Event{Submitted{1, Durable}, Appended{1, "near", true}, TargetsChanged{targets[:3]}}, []string{"Append{1 far true false 0s}", "Append{1 same-domain true false 0s}"}},
		{"one region", []Event{TargetsChanged{oneRegion}, Submitted{1, Durable}}, []string{"Append{1 neighbour true false 0s}", "Append{1 same-domain true false 0s}"}},
		{"copy without disk", []Event{TargetsChanged{neighbourDiskless}, Submitted{1, Copied}}, []string{"Append{1 neighbour-no-disk false false 0s}", "Append{1 near true false 0s}", "Append{1 far true false 0s}"}},
		{"no targets", []Event{TargetsChanged{}, Submitted{1, Copied}}, nil},
		{"same domain is no copy", []Event{TargetsChanged{targets[:2]}, Submitted{1, Copied}}, []string{"Append{1 same-domain true false 0s}"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) { assert.DeepEqual(t, steps(test.events...), test.want) })
	}
}

// Guards against a region that is cut off from the others and cannot use its two
// disks.
func TestMachineUsesSelfLast(t *testing.T) {
	config := self
	config.UseSelf = true
	m := New(config)
	m.Handle(start, TargetsChanged{targets})
	assert.DeepEqual(t, formatEffects(m.Handle(start, Submitted{1, Durable})), []string{"Append{1 neighbour true false 0s}", "Append{1 near true false 0s}"})
	m.Handle(start, TargetsChanged{[]Target{targets[0], targets[4]}})
	assert.DeepEqual(t, formatEffects(m.Handle(start, Submitted{2, Durable})), []string{"Append{2 neighbour true false 0s}", "Append{2 self true false 0s}"})
}

// Guards against a submitter that waits forever and a batch that is dropped when
// it does not reach its level in time.
func TestMachineGivesUpAndGoesOn(t *testing.T) {
	m := New(self)
	m.Handle(start, Submitted{1, Copied})
	now := start
	for {
		at, ok := m.Next(now)
		assert.Assert(t, ok && !at.After(start.Add(DefaultLevelTimeout)))
		now = at
		if effects := m.Handle(now, Tick{}); len(effects) > 0 {
			assert.DeepEqual(t, formatEffects(effects), []string{"GaveUp{1}"})
			break
		}
	}
	assert.Equal(t, now, start.Add(DefaultLevelTimeout))
	effects := m.Handle(start.Add(time.Minute), TargetsChanged{Targets: targets})
	assert.DeepEqual(t, formatEffects(effects), []string{"Append{1 neighbour true false 0s}", "Append{1 near true false 0s}"})
	assert.Equal(t, m.Pending(), 1)
}

// Guards against a failing target that is retried without backoff, or whose
// backoff grows with each of several appends that fail together.
func TestMachinePausesFailingTarget(t *testing.T) {
	m := New(self)
	m.Handle(start, TargetsChanged{Targets: []Target{vm("b", "r1", "b", true, 0)}})
	m.Handle(start, Submitted{1, Durable})
	m.Handle(start, Submitted{2, Durable})
	m.Handle(start, AppendFailed{1, "b", TargetFailed})
	assert.Equal(t, len(m.Handle(start, AppendFailed{2, "b", TargetFailed})), 0)
	assert.Assert(t, !m.Reachable(start))
	assert.Equal(t, len(m.Handle(start.Add(DefaultInitialBackoff-1), Tick{})), 0)
	assert.Equal(t, len(m.Handle(start.Add(DefaultInitialBackoff), Tick{})), 2)
}

// simulation models what targets hold, independently of the Machine.
type simulation struct {
	t       *testing.T
	random  *rand.Rand
	machine *Machine
	now     time.Time
	seed    uint64
	running []Append
	// memory and disk hold, per batch, the VMs that have it.
	memory  map[uint64]map[shmodel.VM]bool
	disk    map[uint64]map[shmodel.VM]bool
	faulty  bool
	levels  map[uint64]Level
	reached map[uint64]bool
	done    map[uint64]bool
}

func place(name shmodel.VM) shmodel.Place {
	at := slices.IndexFunc(targets, func(t Target) bool { return t.VM == name })
	return targets[at].Place
}

func domains(vms map[shmodel.VM]bool) int {
	places := make(map[shmodel.Place]bool)
	for v := range vms {
		places[place(v)] = true
	}
	return len(places)
}

func (sim *simulation) handle(e Event) {
	for _, effect := range sim.machine.Handle(sim.now, e) {
		switch e := effect.(type) {
		case Append:
			sim.checkAppend(e)
			sim.running = append(sim.running, e)
		case Reached:
			sim.reached[e.Batch] = true
			sim.checkReached(e.Batch)
		case Released:
			assert.Assert(sim.t, domains(sim.disk[e.Batch]) >= 2, "seed %d: batch %d released", sim.seed, e.Batch)
			assert.Assert(sim.t, !sim.done[e.Batch])
			sim.done[e.Batch] = true
		}
	}
}

func (sim *simulation) checkAppend(e Append) {
	inFlight, twice := 0, false
	for _, r := range sim.running {
		if r.Target == e.Target {
			inFlight++
			twice = twice || r.Batch == e.Batch
		}
	}
	if twice || e.Target == "self" || inFlight >= self.InFlight {
		sim.t.Fatalf("seed %d: %+v with %d in progress, twice is %v", sim.seed, e, inFlight, twice)
	}
}

func (sim *simulation) checkReached(id uint64) {
	switch sim.levels[id] {
	case Copied:
		held := slices.ContainsFunc(targets, func(t Target) bool {
			return t.Place != self.Place && (sim.memory[id][t.VM] || sim.disk[id][t.VM])
		})
		assert.Assert(sim.t, held, "seed %d: batch %d", sim.seed, id)
	case Durable:
		assert.Assert(sim.t, domains(sim.disk[id]) >= 2, "seed %d: batch %d", sim.seed, id)
	}
}

// finish ends a random append in progress, with a random fault.
func (sim *simulation) finish() {
	if len(sim.running) == 0 {
		return
	}
	at := sim.random.IntN(len(sim.running))
	a := sim.running[at]
	sim.running = slices.Delete(sim.running, at, at+1)
	kind := 0
	if sim.faulty {
		kind = sim.random.IntN(8)
	}
	if kind == 1 {
		sim.handle(AppendFailed{a.Batch, a.Target, TargetFailed})
		return
	}
	if kind == 2 {
		sim.handle(AppendFailed{a.Batch, a.Target, BatchRefused})
		return
	}
	if a.Held && !sim.memory[a.Batch][a.Target] && !sim.disk[a.Batch][a.Target] {
		sim.handle(AppendFailed{a.Batch, a.Target, BatchLost})
		return
	}
	sim.memory[a.Batch][a.Target] = true
	if a.Sync {
		sim.disk[a.Batch][a.Target] = true
	}
	if kind == 3 {
		sim.handle(AppendFailed{a.Batch, a.Target, TargetFailed})
		return
	}
	sim.handle(Appended{a.Batch, a.Target, a.Sync})
}

// restart restarts a random target, which loses what it holds only in memory.
func (sim *simulation) restart() {
	v := targets[1+sim.random.IntN(len(targets)-1)].VM
	for _, held := range sim.memory {
		delete(held, v)
	}
}

func (sim *simulation) step(next uint64) uint64 {
	sim.now = sim.now.Add(time.Duration(sim.random.IntN(20)) * time.Millisecond)
	switch sim.random.IntN(8) {
	case 0, 1:
		sim.memory[next], sim.disk[next] = make(map[shmodel.VM]bool), make(map[shmodel.VM]bool)
		sim.levels[next] = Level(sim.random.IntN(3))
		sim.handle(Submitted{next, sim.levels[next]})
		return next + 1
	case 2:
		sim.handle(Tick{})
	case 3:
		if sim.random.IntN(8) == 0 {
			sim.restart()
		}
	case 4:
		changed := slices.Clone(targets)
		changed[sim.random.IntN(len(changed))].Healthy = false
		sim.handle(TargetsChanged{changed})
	default:
		sim.finish()
	}
	return next
}

// Guards against a batch that is acknowledged or released too early, sent to the
// VM of the Machine, sent twice at the same time, or never completed after the
// faults end.
func TestMachineSeededHistories(t *testing.T) {
	for seed := range uint64(seeds) {
		sim := &simulation{
			t: t, random: rand.New(rand.NewPCG(seed, 3)), machine: New(self), now: start, seed: seed, faulty: true,
			memory: make(map[uint64]map[shmodel.VM]bool), disk: make(map[uint64]map[shmodel.VM]bool),
			levels: make(map[uint64]Level), reached: make(map[uint64]bool), done: make(map[uint64]bool),
		}
		sim.handle(TargetsChanged{targets})
		next := uint64(1)
		for range 300 {
			next = sim.step(next)
		}
		sim.faulty = false
		sim.handle(TargetsChanged{targets})
		for range 10_000 {
			if sim.machine.Pending() == 0 {
				break
			}
			sim.finish()
			if at, ok := sim.machine.Next(sim.now); ok && len(sim.running) == 0 {
				sim.now = at
				sim.handle(Tick{})
			}
		}
		assert.Equal(t, sim.machine.Pending(), 0, "seed %d", seed)
		assert.Equal(t, len(sim.done), int(next-1), "seed %d", seed)
	}
}
