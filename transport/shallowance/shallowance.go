// Package shallowance keeps the requests of teams at an entry VM within their
// allowances. It gives a shquota.Account its clock, its calls to the leader and the
// goroutines that wait for tokens.
package shallowance

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"sequoiahollow/coordination/shfleet"
	"sequoiahollow/coordination/shquota"
	"sequoiahollow/state/shclock"
	"sequoiahollow/state/shmodel"
)

const (
	// askTimeout bounds one ask with its search for the leader.
	askTimeout = 400 * time.Millisecond
	// failedPause is the pause after an ask without an answer.
	failedPause = 50 * time.Millisecond
)

// Holder decides on the requests of teams at one entry VM. Open returns one. Its
// methods are safe for concurrent use.
type Holder struct {
	options Options
	// wake has a value when an ask may be due.
	wake chan struct{}

	mu      sync.Mutex
	account shquota.Account
	// answered is closed and replaced after each ask.
	answered chan struct{}
	// index is the table of the last update, with the allowances in it.
	index  *shfleet.RouteIndex
	limits map[string]shquota.Limit
}

// Options configures a Holder.
type Options struct {
	Rules shquota.Rules
	VM    shmodel.VM
	// Process tells successive processes of the VM apart.
	Process uint64
	// Ask asks the leader for tokens.
	Ask    func(context.Context, shquota.Ask) (shquota.Answer, error)
	Logger *slog.Logger
}

// Open returns a Holder without allowances. Call Update with each view and Run.
func Open(o Options) *Holder {
	return &Holder{
		options: o, wake: make(chan struct{}, 1), answered: make(chan struct{}),
		account: shquota.Account{Rules: o.Rules, VM: o.VM, Process: o.Process},
	}
}

// Update follows the table and the entry VMs of a view.
func (h *Holder) Update(v shfleet.View) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if v.Table != h.index {
		h.index, h.limits = v.Table, map[string]shquota.Limit{}
		for name, t := range v.Table.Limited() {
			h.limits[name] = shquota.Limit{Rate: t.Rate, Burst: t.Burst}
		}
	}
	vms := make([]shmodel.VM, len(v.Entries))
	for i, e := range v.Entries {
		vms[i] = e.VM
	}
	h.account.Update(shclock.Time(), h.limits, vms)
}

// Take implements shfront.Allowance.
func (h *Holder) Take(ctx context.Context, team *shfleet.Team) (t shquota.Ticket, ok bool, retryAfter time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	defer h.signal()
	r := shquota.Request{Team: team.Name, At: shclock.Time()}
	for {
		now := shclock.Time()
		switch d := h.account.Take(now, &r).(type) {
		case shquota.Passed:
			return d.Ticket, true, 0
		case shquota.Refused:
			return shquota.Ticket{}, false, d.After
		case shquota.Waiting:
			if !h.wait(ctx, d.Until.Sub(now)) {
				h.account.Leave(&r)
				return shquota.Ticket{}, false, 0
			}
		}
	}
}

// wait waits until an ask has been answered or the time has passed. It returns false if
// the caller has left. It releases the mutex meanwhile.
func (h *Holder) wait(ctx context.Context, d time.Duration) bool {
	answered := h.answered
	h.signal()
	h.mu.Unlock()
	defer h.mu.Lock()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-answered:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// Return implements shfront.Allowance.
func (h *Holder) Return(t shquota.Ticket) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.account.Return(shclock.Time(), t)
}

// Stats returns the counts so far and the time since the last answer of the leader,
// false before the first.
func (h *Holder) Stats() (s shquota.Stats, age time.Duration, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s = h.account.Stats()
	if s.AnsweredAt.IsZero() {
		return s, 0, false
	}
	return s, shclock.Time().Sub(s.AnsweredAt), true
}

func (h *Holder) signal() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// Run asks the leader for tokens until the context ends.
func (h *Holder) Run(ctx context.Context) {
	for ctx.Err() == nil {
		h.mu.Lock()
		ask, wait, due := h.account.NextAsk(shclock.Time())
		h.mu.Unlock()
		if due {
			h.ask(ctx, ask)
			continue
		}
		var timer <-chan time.Time
		if wait > 0 {
			timer = time.After(wait)
		}
		select {
		case <-h.wake:
		case <-timer:
		case <-ctx.Done():
		}
	}
}

func (h *Holder) ask(ctx context.Context, ask shquota.Ask) {
	callCtx, cancel := context.WithTimeout(ctx, askTimeout)
	answer, err := h.options.Ask(callCtx, ask)
	cancel()
	h.mu.Lock()
	lost := h.account.Cut()
	if err == nil {
		h.account.Answered(shclock.Time(), answer)
	} else {
		h.account.Failed()
	}
	close(h.answered)
	h.answered = make(chan struct{})
	h.mu.Unlock()
	switch {
	case err == nil && lost:
		h.options.Logger.Info("leader answers asks for tokens again", "teams", len(ask.Wants))
	case err == nil:
	case !lost && ctx.Err() == nil:
		h.options.Logger.Warn("no tokens from the leader; the spare is used", "teams", len(ask.Wants), "error", err)
	}
	if err != nil {
		pause := time.NewTimer(failedPause)
		defer pause.Stop()
		select {
		case <-pause.C:
		case <-ctx.Done():
		}
	}
}
