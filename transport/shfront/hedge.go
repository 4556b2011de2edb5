package shfront

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"time"

	"sequoiahollow/coordination/shbalance"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/transport/shorigin"
)

const (
	// maxHedgeChecks bounds how often a second send of a request is considered.
	maxHedgeChecks = 3
	// hedgeRecheck is the part of the time since the send after which it is considered
	// once more.
	hedgeRecheck = 0.5
)

// Reasons for which a request isn't sent a second time, beside those of shbalance.
const (
	refusedBudget    shbalance.HedgeRefusal = "budget"
	refusedAllowance shbalance.HedgeRefusal = "allowance"
	refusedLeft      shbalance.HedgeRefusal = "caller left"
)

// sending is a request that is being sent to a backend server. Do runs in a goroutine of
// its own; all else in the one that serves the request.
type sending struct {
	choice  shbalance.Choice
	cancel  context.CancelFunc
	results chan sendResult
}

// sendResult is what Do has returned.
type sendResult struct {
	response shorigin.Response
	err      error
}

// start sends the request to a backend server.
func (x *exchange) start(c shbalance.Choice) *sending {
	ctx, cancel := context.WithCancel(x.request.Context())
	s := &sending{choice: c, cancel: cancel, results: make(chan sendResult, 1)}
	request := x.originRequest(c)
	go func() {
		response, err := x.handler.Origin.Do(ctx, c.Backend.Address, request)
		s.results <- sendResult{response, err}
	}()
	return s
}

// hedgeDelay returns after which time without an answer a second send of the request is
// considered, and zero if none may be made.
func (x *exchange) hedgeDelay(c shbalance.Choice) time.Duration {
	switch {
	case x.handler.Balancer.HedgeShare <= 0, x.hedged, x.route.Kind != shmodel.Idempotent, x.streamFrom() > 0, x.body.buffer != nil:
		return 0
	case x.mayHaveRun+1 >= x.route.Attempts:
		return 0
	case x.view.CrashCounts[x.digest] > 0:
		// The request may break both backend servers.
		return 0
	}
	return x.handler.Balancer.HedgeDelay(time.Now(), c)
}

// hedge is a request that may be sent to a second backend server.
type hedge struct {
	*exchange
	first, second *sending
	// decision is the latest one on a second send, and sentAfter when it was made.
	decision  shbalance.Hedge
	decided   bool
	sentAfter time.Duration
	// outcome says how the second send ended, for log and metrics.
	outcome string
}

// attemptHedged sends the request to one backend server and, if the answer is later than
// delay and another one is likely sooner, to that one as well. The first valid answer is
// delivered. If both sends fail, the result is that of the latter.
func (x *exchange) attemptHedged(c shbalance.Choice, delay time.Duration) attemptResult {
	h := &hedge{exchange: x, first: x.start(c), outcome: "canceled"}
	// The caller may leave, or the handler panic for another reason.
	defer h.finishHedge()
	began := time.Now()
	due := began.Add(delay)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for checks := 1; ; {
		select {
		case <-timer.C:
			h.consider(due, time.Since(began))
			if checks++; h.second == nil && checks <= maxHedgeChecks {
				wait := time.Duration(hedgeRecheck * float64(time.Since(began)))
				due = time.Now().Add(wait)
				timer.Reset(wait)
			}
		case r := <-h.first.resultOrNever():
			if result, done := h.handle(&h.first, h.second, r, "lost"); done {
				return result
			}
		case r := <-h.second.resultOrNever():
			if result, done := h.handle(&h.second, h.first, r, "won"); done {
				return result
			}
		}
	}
}

// resultOrNever returns the channel of the result. That of a nil sending never gets one.
func (s *sending) resultOrNever() <-chan sendResult {
	if s == nil {
		return nil
	}
	return s.results
}

// consider decides on a second send and makes it.
func (h *hedge) consider(due time.Time, after time.Duration) {
	if len(h.first.results) > 0 {
		return
	}
	now := time.Now()
	b := h.handler.Balancer
	h.decided = true
	if h.request.Context().Err() != nil {
		h.decision = shbalance.Hedge{Refused: refusedLeft}
		return
	}
	h.decision = b.Hedge(now, due, h.first.choice, h.balanced(now))
	if h.decision.Refused != "" {
		return
	}
	switch {
	case !h.takeForSecond():
		h.decision.Refused = refusedAllowance
	case !h.handler.spendHedge(h.service, now):
		h.decision.Refused = refusedBudget
	}
	if h.decision.Refused != "" {
		b.WithdrawHedge(h.decision.Choice)
		return
	}
	h.hedged, h.sentAfter = true, after
	h.addAttempt(h.decision.Choice)
	h.second = h.start(h.decision.Choice)
}

// handle handles the result of one of the sends, while other may still run. The second
// result is false if other is to be waited for.
func (h *hedge) handle(own **sending, other *sending, r sendResult, outcome string) (attemptResult, bool) {
	s := *own
	*own = nil
	defer s.cancel()
	if other != nil {
		h.beforeDelivery = func() {
			h.outcome = outcome
			h.stop(other)
		}
		defer func() { h.beforeDelivery = nil }()
	}
	result := h.handleResult(s.choice, r.response, r.err)
	if result == attemptDelivered {
		if h.hedged {
			h.outcome = outcome
		}
		return result, true
	}
	if h.hedged && result == attemptWithheld {
		// The other send may have been made. A further attempt meets the same check.
		result = attemptMayRepeat
	}
	h.outcome = "failed"
	return result, h.first == nil && h.second == nil
}

// stop cancels a send and waits for its end, which follows at once: the connection is
// closed. The backend server then stops working on the request.
func (h *hedge) stop(s *sending) {
	if s == h.first {
		h.first = nil
	} else {
		h.second = nil
	}
	s.cancel()
	r := <-s.results
	c := s.choice
	h.observeStatements(c, r.response)
	var seen shbalance.Observation = shbalance.Outrun{}
	switch kind := shorigin.KindOf(r.err); {
	case h.request.Context().Err() != nil, kind == shorigin.KindWithheld, r.err == nil && !h.isWhole(r.response):
		seen = shbalance.Canceled{}
	case kind == shorigin.KindNotSent:
		seen = shbalance.Unreachable{}
	case kind == shorigin.KindGarbled:
		seen = shbalance.Broken{}
	case kind == shorigin.KindBroken:
		// The connection broke before it was closed.
		seen = shbalance.Broken{}
		h.handler.Report(CrashReport{Digest: h.digest, Service: h.service, Instance: &c.Backend.Instance})
	case r.err == nil:
		load := h.handler.Dialect.ParseLoad(r.response.Header.Get(h.handler.Dialect.Load))
		seen = shbalance.Answered{Failed: r.response.Status >= http.StatusInternalServerError, Load: load, Connect: r.response.Connect}
	}
	switch seen.(type) {
	case shbalance.Canceled, shbalance.Unreachable:
	default:
		h.mayHaveRun++
		h.reached++
	}
	h.handler.Balancer.Done(time.Now(), c, seen)
}

// isWhole reports whether an answer that isn't needed any more was made by the backend
// server that ran the request.
func (x *exchange) isWhole(r shorigin.Response) bool {
	d := x.handler.Dialect
	return r.Header.Get(d.NotRun) == "" && r.Header.Get(d.Signature) != ""
}

// finishHedge ends what still runs, and logs and counts the second send.
func (h *hedge) finishHedge() {
	for _, s := range []*sending{h.first, h.second} {
		if s != nil {
			h.stop(s)
		}
	}
	if !h.decided {
		return
	}
	if h.sentAfter == 0 {
		h.countHedge(`sequoiahollow_hedges_refused_total{cause=%q}`, string(h.decision.Refused))
		return
	}
	h.countHedge(`sequoiahollow_hedges_total{result=%q}`, h.outcome)
	i := slices.IndexFunc(h.attempts, func(a attempt) bool { return a.backend.ID == h.decision.Choice.Backend.ID })
	first, second := h.attempts[i-1].backend, h.decision.Choice
	h.handler.Logger.Info("second send", "request", h.id, "route", h.route.Name, "service", h.service, "key", h.key,
		"first", first.ID, "firstZone", first.Zone, "backend", second.Backend.ID, "zone", second.Backend.Zone,
		"afterMs", h.sentAfter.Milliseconds(), "restMs", h.decision.Rest.Milliseconds(),
		"estimateMs", second.Estimate.Milliseconds(), "warm", second.Warm, "load", second.Load,
		"utilization", h.decision.Utilization, "result", h.outcome, "tookMs", time.Since(h.received).Milliseconds())
}

func (x *exchange) countHedge(format, label string) {
	x.handler.Metrics.GetOrCreateCounter(fmt.Sprintf(format, label)).Inc()
}

// spendHedge takes a second send from the retry budget of a service. Half of the stock is
// left to retries after failures, as far as that leaves one.
func (h *Handler) spendHedge(s shmodel.Service, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.budget(s)
	return b.SpendAbove(now, min(b.Max/2, b.Max-1))
}
