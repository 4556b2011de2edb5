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
	// creditBatch is the number of slots that are asked for at a time.
	creditBatch = 4
	// creditPause bounds how often one owner is asked.
	creditPause = 100 * time.Millisecond
	// creditDrift is taken from the duration of a credit for a slow clock.
	creditDrift = 0.02
)

// Credits holds slots that owners in other regions lend to this VM.
type Credits struct {
	VM shmodel.VM
	// Ask requests credits from the VM at a peer address.
	Ask func(context.Context, string, shwire.CreditRequest) (shwire.CreditResponse, error)

	mu    sync.Mutex
	lent  map[creditKey]*lentSlots
	group sync.WaitGroup
}

type creditKey struct {
	service shmodel.Service
	vm      shmodel.VM
}

type lentSlots struct {
	id      uint64
	left    int
	until   time.Time
	askedAt time.Time
	asking  chan struct{}
}

func (c *Credits) slots(k creditKey) *lentSlots {
	if c.lent == nil {
		c.lent = map[creditKey]*lentSlots{}
	}
	s := c.lent[k]
	if s == nil {
		s = &lentSlots{}
		c.lent[k] = s
	}
	return s
}

// Valid returns the credits that can be used at an owner now.
func (c *Credits) Valid(service shmodel.Service, vm shmodel.VM) (id uint64, left int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.slots(creditKey{service, vm})
	if !time.Now().Before(s.until) {
		return 0, 0
	}
	return s.id, s.left
}

// Use takes one credit. It reports false if none is left.
func (c *Credits) Use(service shmodel.Service, vm shmodel.VM, id uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.slots(creditKey{service, vm})
	if s.id != id || s.left == 0 || !time.Now().Before(s.until) {
		return false
	}
	s.left--
	return true
}

// Request asks an owner for credits unless some are left or it was asked a
// moment ago. The channel is closed when the answer is in.
func (c *Credits) Request(ctx context.Context, service shmodel.Service, owner shdirectory.Heartbeat) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.slots(creditKey{service, owner.VM})
	now := time.Now()
	if s.asking != nil {
		return s.asking
	}
	done := make(chan struct{})
	if (s.left > 0 && now.Before(s.until)) || now.Sub(s.askedAt) < creditPause {
		close(done)
		return done
	}
	s.asking = done
	s.askedAt = now
	c.group.Go(func() { c.ask(ctx, service, owner, s) })
	return done
}

func (c *Credits) ask(ctx context.Context, service shmodel.Service, owner shdirectory.Heartbeat, s *lentSlots) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
	defer cancel()
	asked := time.Now()
	r, err := c.Ask(ctx, owner.PeerAddress, shwire.CreditRequest{VM: c.VM, Service: service, Count: creditBatch})
	c.mu.Lock()
	defer c.mu.Unlock()
	close(s.asking)
	s.asking = nil
	if err != nil || r.Count <= 0 {
		return
	}
	s.id, s.left = r.ID, r.Count
	s.until = asked.Add(time.Duration(float64(r.Duration) * (1 - creditDrift)))
}
