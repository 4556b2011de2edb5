package shbalance_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"sequoiahollow/coordination/shbalance"
)

// maxRecovery is how long requests may be refused for what was learned from
// earlier ones, once the backend servers answer in time again.
const maxRecovery = 3 * time.Second

// shortRequest is a request of a route whose timeout is close to its objective.
func shortRequest(sticky bool) shbalance.Request {
	r := request("k")
	r.Route.Sticky, r.Route.Objective, r.Route.Timeout = sticky, 800, 1200
	r.Left = 1180 * time.Millisecond
	return r
}

// serveFor sends a request every 10 ms, each answered after took, and returns the
// share that is refused in the last second.
func serveFor(b *shbalance.Balancer, from time.Time, length, took time.Duration, r shbalance.Request) float64 {
	type sent struct {
		at     time.Time
		choice shbalance.Choice
	}
	var inFlight []sent
	refused, total := 0, 0
	for now := from; now.Before(from.Add(length)); now = now.Add(10 * time.Millisecond) {
		for len(inFlight) > 0 && now.Sub(inFlight[0].at) >= took {
			b.Done(now, inFlight[0].choice, shbalance.Answered{})
			inFlight = inFlight[1:]
		}
		c, refusal := b.Pick(now, r)
		if refusal == nil {
			inFlight = append(inFlight, sent{now, c})
		}
		if from.Add(length).Sub(now) > time.Second {
			continue
		}
		total++
		if refusal != nil {
			refused++
		}
	}
	return float64(refused) / float64(total)
}

// Guards against an entry VM that refuses a route for good after it was paused:
// the answers that came in meanwhile seem to have taken that long.
func TestServesAfterPause(t *testing.T) {
	for name, sticky := range map[string]bool{"sticky": true, "not sticky": false} {
		t.Run(name, func(t *testing.T) {
			b := balancer("e1", "n1", fleet(4))
			r := shortRequest(sticky)
			assert.Equal(t, serveFor(b, start, 2*time.Second, 200*time.Millisecond, r), 0.0)
			now := start.Add(2 * time.Second)
			for range 3 {
				var waiting []shbalance.Choice
				for range 20 {
					c, refusal := b.Pick(now, r)
					if refusal == nil {
						waiting = append(waiting, c)
					}
				}
				now = now.Add(3300 * time.Millisecond)
				for _, c := range waiting {
					b.Done(now, c, shbalance.Answered{Connect: 3300 * time.Millisecond})
				}
				now = now.Add(time.Second)
			}
			assert.Equal(t, serveFor(b, now, maxRecovery+time.Second, 200*time.Millisecond, r), 0.0)
		})
	}
}

// Guards against anything learned from requests that prevents all later ones,
// whatever came before.
func TestServesAfterAnything(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := balancer("e1", "n1", fleet(2))
		r := shortRequest(rapid.Bool().Draw(t, "sticky"))
		now := start
		var inFlight []shbalance.Choice
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "pause ms")) * time.Millisecond)
			if c, refusal := b.Pick(now, r); refusal == nil {
				inFlight = append(inFlight, c)
			}
			if len(inFlight) == 0 || rapid.Bool().Draw(t, "wait") {
				continue
			}
			i := rapid.IntRange(0, len(inFlight)-1).Draw(t, "request")
			c := inFlight[i]
			inFlight = append(inFlight[:i], inFlight[i+1:]...)
			b.Done(now, c, drawObservation(t))
		}
		for _, c := range inFlight {
			b.Done(now, c, drawObservation(t))
		}
		// A suspended backend server gets requests again after at most maxSuspension,
		// which is 5 s.
		if refused := serveFor(b, now, maxRecovery+6*time.Second, 100*time.Millisecond, r); refused > 0 {
			t.Fatalf("%.2f of the requests are refused", refused)
		}
	})
}

func drawObservation(t *rapid.T) shbalance.Observation {
	ms := func(name string) time.Duration {
		return time.Duration(rapid.IntRange(0, 5000).Draw(t, name)) * time.Millisecond
	}
	load := rapid.Custom(func(t *rapid.T) *shbalance.Load {
		n := func(name string) int { return rapid.IntRange(0, 1000).Draw(t, name) }
		return &shbalance.Load{Running: n("running"), Waiting: n("waiting"), Slots: n("slots")}
	})
	var none *shbalance.Load
	loadOrNil := rapid.OneOf(rapid.Just(none), load)
	return rapid.OneOf(
		rapid.Custom(func(t *rapid.T) shbalance.Observation {
			return shbalance.Answered{Failed: rapid.Bool().Draw(t, "failed"), Load: loadOrNil.Draw(t, "load"), Connect: ms("connect"), Transfer: ms("transfer")}
		}),
		rapid.Custom(func(t *rapid.T) shbalance.Observation { return shbalance.Shed{Load: loadOrNil.Draw(t, "load")} }),
		rapid.SampledFrom([]shbalance.Observation{
			shbalance.Broken{}, shbalance.Slow{}, shbalance.Unreachable{}, shbalance.Replaced{}, shbalance.Canceled{},
		}),
	).Draw(t, "observation")
}

// Guards against a backend server that gets no requests for good because it was
// slow or failed once, while the others queue: nothing but an answer would show that
// it is sound again.
func TestDegradedIsUsedAgain(t *testing.T) {
	for name, bad := range map[string]shbalance.Observation{
		"failing": shbalance.Answered{Failed: true}, "broken": shbalance.Broken{}, "slow": shbalance.Answered{},
	} {
		t.Run(name, func(t *testing.T) {
			const perRound = 16 // of 18 slots
			b := balancer("e1", "n1", fleet(2))
			r := request("k")
			r.Route.Sticky, r.Route.Objective = false, 2000
			now := start
			// send returns the share of the requests that the backend server n1-0 gets.
			send := func(rounds int, took time.Duration, seen shbalance.Observation) float64 {
				n := 0
				for range rounds {
					var choices []shbalance.Choice
					for range perRound {
						choices = append(choices, pick(t, b, now, r))
					}
					now = now.Add(200 * time.Millisecond)
					for _, c := range choices {
						if c.Backend.ID != "n1-0" {
							b.Done(now, c, shbalance.Answered{})
							continue
						}
						n++
						b.Done(now.Add(took), c, seen)
					}
				}
				return float64(n) / float64(rounds*perRound)
			}
			sound := send(20, 0, shbalance.Answered{})
			send(40, 3*time.Second, bad)
			degraded := send(5, 0, shbalance.Answered{})
			assert.Assert(t, degraded < sound/2, "share of %.3f, %.3f before", degraded, sound)
			send(300, 0, shbalance.Answered{})
			again := send(20, 0, shbalance.Answered{})
			assert.Assert(t, again > sound*0.8, "share of %.3f a minute later, %.3f before", again, sound)
		})
	}
}
