package shcontrol_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/state/shconfig"
	"sequoiahollow/state/shmodel"
)

// crashingDigest crashes each backend server that runs it.
var crashingDigest = shmodel.Digest{0xff}

// crashSimulation runs requests on backend servers, several at a time unless
// their digests are suspect.
type crashSimulation struct {
	*rand.Rand
	state   shcontrol.State
	at      time.Time
	request shmodel.RequestID
	// crashes counts the crashes of backend servers that ran crashingDigest.
	crashes        int
	pendingRepeats []shcontrol.Command
}

// apply applies a command. It queues a random third of the commands for
// applyRepeats, which applies them again.
func (s *crashSimulation) apply(c shcontrol.Command) []shcontrol.SuspectStatus {
	if s.IntN(3) == 0 {
		s.pendingRepeats = append(s.pendingRepeats, c)
	}
	return s.state.Apply(s.at, c).(shcontrol.SuspectResult).Statuses
}

func (s *crashSimulation) applyRepeats() {
	for len(s.pendingRepeats) > 0 && s.IntN(2) == 0 {
		s.state.Apply(s.at, s.pendingRepeats[0])
		s.pendingRepeats = s.pendingRepeats[1:]
	}
}

func (s *crashSimulation) suspects() map[shmodel.Digest]shcontrol.SuspectStatus {
	statuses := map[shmodel.Digest]shcontrol.SuspectStatus{}
	for _, suspect := range s.state.Suspects() {
		statuses[suspect.Digest] = suspect.Status
	}
	return statuses
}

// runTogether runs those of the digests that are not suspect on one backend
// server.
func (s *crashSimulation) runTogether(digests ...shmodel.Digest) {
	var ran []shmodel.Digest
	crashed := false
	for _, d := range digests {
		if s.suspects()[d] == "" {
			ran = append(ran, d)
			crashed = crashed || d == crashingDigest
		}
	}
	if crashed {
		s.crashes++
		server := shmodel.BackendServer(fmt.Sprint("server", s.IntN(3)))
		s.apply(shcontrol.ReportCrash{BackendServer: server, Digests: ran})
	}
}

// runSolo gives a digest a solo run. The VM of the run may die before it reports
// the crash.
func (s *crashSimulation) runSolo(d shmodel.Digest) {
	s.request++
	s.at = s.at.Add(time.Second)
	until := s.at.Add(time.Second)
	granted := s.apply(shcontrol.OpenSolo{Digest: d, RequestID: s.request, VM: "v", Until: until})
	if granted[0] != shcontrol.SuspectGranted {
		return
	}
	other := s.state.Apply(s.at, shcontrol.OpenSolo{Digest: d, RequestID: s.request + 1000, VM: "w", Until: until})
	if other.(shcontrol.SuspectResult).Statuses[0] != shcontrol.SuspectBusy {
		panic("two solo runs at once")
	}
	if d != crashingDigest {
		s.apply(shcontrol.CloseSolo{Digest: d, RequestID: s.request, Succeeded: true})
		return
	}
	s.crashes++
	if s.IntN(3) > 0 {
		s.apply(shcontrol.ReportCrash{BackendServer: "server0", Digests: []shmodel.Digest{d}, Solo: true, RequestID: s.request})
	}
	s.at = s.at.Add(2 * time.Second)
}

// Guards against a caller that resends a crashing request until every backend
// server is down, and against refusing requests that only shared a backend
// server with the crashing one.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	for seed := range uint64(200) {
		limit := 2 + int(seed%2)
		s := &crashSimulation{Rand: rand.New(rand.NewPCG(seed, 3)), at: start}
		s.state.Apply(s.at, shcontrol.ApplyConfig{EditID: "e", Config: shconfig.Config{Limits: shconfig.Limits{CrashLimit: limit}}})
		innocent := func() shmodel.Digest { return shmodel.Digest{byte(s.IntN(4))} }
		for range 30 {
			s.runTogether(innocent(), crashingDigest, innocent())
			s.runSolo(crashingDigest)
			s.runSolo(innocent())
			s.applyRepeats()
		}
		for d := range s.suspects() {
			if d != crashingDigest {
				s.runSolo(d)
			}
		}
		assert.Equal(t, s.crashes, limit, "seed %d", seed)
		assert.DeepEqual(t, s.suspects(), map[shmodel.Digest]shcontrol.SuspectStatus{crashingDigest: shcontrol.SuspectQuarantined})
	}
}

// Guards each rule of suspect digests: the last command must get the wanted
// status. Commands are one second apart. A solo run that begin opens ends 10 s
// after from, which is in seconds since the first command.
func TestSuspectRules(t *testing.T) {
	d := shmodel.Digest{1}
	crash := func(server shmodel.BackendServer) shcontrol.Command {
		return shcontrol.ReportCrash{BackendServer: server, Digests: []shmodel.Digest{d}}
	}
	soloCrash := func(id shmodel.RequestID) shcontrol.Command {
		return shcontrol.ReportCrash{BackendServer: "b", Digests: []shmodel.Digest{d}, Solo: true, RequestID: id}
	}
	begin := func(id shmodel.RequestID, from int) shcontrol.Command {
		until := start.Add(time.Duration(from+10) * time.Second)
		return shcontrol.OpenSolo{Digest: d, RequestID: id, VM: "v", Until: until}
	}
	end := func(id shmodel.RequestID, succeeded bool) shcontrol.Command {
		return shcontrol.CloseSolo{Digest: d, RequestID: id, Succeeded: succeeded}
	}
	type list = []shcontrol.Command
	for name, c := range map[string]struct {
		commands list
		want     shcontrol.SuspectStatus
	}{
		"not suspect":                     {list{begin(1, 0)}, shcontrol.SuspectNone},
		"strike":                          {list{crash("b")}, shcontrol.SuspectSolo},
		"shared crashes alone":            {list{crash("b"), crash("c"), crash("d")}, shcontrol.SuspectSolo},
		"repeated solo run":               {list{crash("b"), begin(1, 0), begin(1, 0)}, shcontrol.SuspectGranted},
		"second solo run":                 {list{crash("b"), begin(1, 0), begin(2, 0)}, shcontrol.SuspectBusy},
		"success":                         {list{crash("b"), begin(1, 0), end(1, true)}, shcontrol.SuspectNone},
		"success of another request":      {list{crash("b"), begin(1, 0), end(2, true)}, shcontrol.SuspectBusy},
		"ended without crash":             {list{crash("b"), begin(1, 0), end(1, false)}, shcontrol.SuspectSolo},
		"late copy of an ended run":       {list{crash("b"), begin(1, 0), end(1, false), begin(1, 0)}, shcontrol.SuspectSolo},
		"solo crash":                      {list{crash("b"), begin(1, 0), soloCrash(1)}, shcontrol.SuspectQuarantined},
		"report of an earlier run":        {list{crash("b"), begin(1, 0), end(1, false), begin(2, 0), soloCrash(1)}, shcontrol.SuspectBusy},
		"timed out, same backend server":  {list{crash("b"), begin(1, -8), crash("b"), begin(2, 0)}, shcontrol.SuspectQuarantined},
		"late success of a timed-out run": {list{crash("b"), begin(1, -8), crash("b"), begin(2, 0), end(1, true)}, shcontrol.SuspectNone},
		"late end of a timed-out run":     {list{crash("b"), begin(1, -8), crash("b"), begin(2, 0), end(1, false)}, shcontrol.SuspectSolo},
		"crash report after the timeout":  {list{crash("b"), begin(1, -8), crash("b"), begin(2, 0), soloCrash(1), end(1, false)}, shcontrol.SuspectQuarantined},
	} {
		t.Run(name, func(t *testing.T) {
			var s shcontrol.State
			var last shcontrol.SuspectResult
			for i, command := range c.commands {
				last = s.Apply(start.Add(time.Duration(i)*time.Second), command).(shcontrol.SuspectResult)
			}
			assert.DeepEqual(t, last.Statuses, []shcontrol.SuspectStatus{c.want})
		})
	}
}
