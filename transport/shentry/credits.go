package shentry

import (
	"context"
	"sync"
	"time"

	"sequoiahollow/coordination/shdirectory"
	"sequoiahollow/protocol/shwire"
	"sequoiahollow/state/shmodel"
)

const (
	// creditBatch is the number of slots that a request for credits asks for.
	creditBatch = 4
	// creditRequestInterval is the least time between two requests for credits
	// of one service to one owner.
	creditRequestInterval = 100 * time.Millisecond
	// clockDriftAllowance is the share by which the duration of a credit is
	// reduced, in case the clock of this VM is slower than that of the owner.
	clockDriftAllowance = 0.02
)

// Credits holds the credits of this VM: slots that owners in other regions lend
// to it for a time. It is safe for concurrent use.
type Credits struct {
	VM shmodel.VM
	// Ask sends a request for credits to the VM at a peer address.
	Ask func(context.Context, string, shwire.CreditRequest) (shwire.CreditResponse, error)

	mu    sync.Mutex
	held  map[creditKey]*heldCredits
	group sync.WaitGroup
}

type creditKey struct {
	service shmodel.Service
	vm      shmodel.VM
}

type heldCredits struct {
	id         uint64
	left       int
	validUntil time.Time
	askedAt    time.Time
	pending    chan struct{}
}

func (c *Credits) heldFrom(k creditKey) *heldCredits {
	if c.held == nil {
		c.held = map[creditKey]*heldCredits{}
	}
	s := c.held[k]
	if s == nil {
		s = &heldCredits{}
		c.held[k] = s
	}
	return s
}

// Valid returns the credits of an owner that can be used now.
func (c *Credits) Valid(service shmodel.Service, vm shmodel.VM) (id uint64, left int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.heldFrom(creditKey{service, vm})
	if !time.Now().Before(s.validUntil) {
		return 0, 0
	}
	return s.id, s.left
}

// Use takes one credit. It reports false if none is left.
func (c *Credits) Use(service shmodel.Service, vm shmodel.VM, id uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.heldFrom(creditKey{service, vm})
	if s.id != id || s.left == 0 || !time.Now().Before(s.validUntil) {
		return false
	}
	s.left--
	return true
}

// Request asks an owner for credits, unless some are left or the owner was asked
// less than creditRequestInterval ago. The channel is closed when no answer is
// outstanding.
func (c *Credits) Request(ctx context.Context, service shmodel.Service, owner shdirectory.Heartbeat) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.heldFrom(creditKey{service, owner.VM})
	now := time.Now()
	if s.pending != nil {
		return s.pending
	}
	done := make(chan struct{})
	if (s.left > 0 && now.Before(s.validUntil)) || now.Sub(s.askedAt) < creditRequestInterval {
		close(done)
		return done
	}
	s.pending = done
	s.askedAt = now
	c.group.Go(func() { c.requestFrom(ctx, service, owner, s) })
	return done
}

func (c *Credits) requestFrom(ctx context.Context, service shmodel.Service, owner shdirectory.Heartbeat, s *heldCredits) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	asked := time.Now()
	r, err := c.Ask(ctx, owner.PeerAddress, shwire.CreditRequest{VM: c.VM, Service: service, Count: creditBatch})
	c.mu.Lock()
	defer c.mu.Unlock()
	close(s.pending)
	s.pending = nil
	if err != nil || r.Count <= 0 {
		return
	}
	s.id, s.left = r.ID, r.Count
	s.validUntil = asked.Add(time.Duration(float64(r.Duration) * (1 - clockDriftAllowance)))
}
