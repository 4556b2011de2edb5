package shfront_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"sequoiahollow/coordination/shfleet"
	"sequoiahollow/coordination/shquota"
	"sequoiahollow/state/shmodel"
)

// tally is an allowance that counts.
type tally struct {
	mu              sync.Mutex
	left            int
	taken, returned int
}

func (c *tally) Take(context.Context, *shfleet.Team) (shquota.Ticket, bool, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.left == 0 {
		return shquota.Ticket{}, false, 700 * time.Millisecond
	}
	c.left--
	c.taken++
	return shquota.Ticket{}, true, 0
}

func (c *tally) Return(shquota.Ticket) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.returned++
}

// Guards against an allowance that counts a request which did not run, or counts one
// that ran twice only once.
func TestAllowance(t *testing.T) {
	for name, c := range map[string]struct {
		behaviours             []behaviour
		left                   int
		status                 int
		taken, returned, reach int
	}{
		"answered":                 {[]behaviour{answer}, 5, http.StatusOK, 1, 0, 1},
		"used up":                  {[]behaviour{answer}, 0, http.StatusTooManyRequests, 0, 0, 0},
		"not run":                  {[]behaviour{shed, shed}, 5, http.StatusServiceUnavailable, 1, 1, 0},
		"run twice":                {[]behaviour{reset, reset}, 5, http.StatusBadGateway, 2, 0, 2},
		"no second token":          {[]behaviour{reset, reset}, 1, http.StatusBadGateway, 1, 0, 1},
		"maybe run, then not sent": {[]behaviour{reset, shed}, 5, http.StatusBadGateway, 0, 0, 1},
	} {
		t.Run(name, func(t *testing.T) {
			b := newFixture(t, 2, c.behaviours...)
			team := shfleet.Team{Name: "a", Keys: []shfleet.KeyDigest{shfleet.DigestKey("k")}, Rate: 1}
			b.view.Table = shfleet.NewRouteIndex(shfleet.Table{
				Routes: []shfleet.Route{{
					Name: "x", Host: "shop", Prefix: "/", Kind: shmodel.Idempotent, Objective: 200, Timeout: 500, Attempts: 2,
					Parts: []shfleet.Part{{Service: "s", Weight: 1}},
				}},
				Services: []shfleet.Service{{Name: "s"}}, Teams: []shfleet.Team{team},
			})
			b.handler.Dialect.KeyHeader, b.handler.Dialect.Team = "Team-Key", "Team"
			b.handler.Dialect.TeamKey = func(http.Header) string { return "k" }
			allowance := &tally{left: c.left}
			b.handler.Allowance = allowance
			response := b.send(t, http.MethodGet, idempotent, "")
			assert.Equal(t, response.StatusCode, c.status)
			assert.Equal(t, b.runs(), c.reach)
			assert.Equal(t, allowance.taken-allowance.returned, c.reach)
			if c.taken > 0 {
				assert.Equal(t, allowance.taken, c.taken)
				assert.Equal(t, allowance.returned, c.returned)
			}
			if c.status == http.StatusTooManyRequests {
				assert.Assert(t, response.Header.Get("Retry-After") >= "0.70")
			}
		})
	}
}
