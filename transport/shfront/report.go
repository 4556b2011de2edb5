package shfront

import (
	"fmt"
	"log/slog"
	"slices"
	"time"

	"sequoiahollow/coordination/shbalance"
	"sequoiahollow/transport/shorigin"
)

// logAttempt logs and counts an attempt without an answer for the caller.
func (x *exchange) logAttempt(c shbalance.Choice, result string, err error) {
	attrs := []any{
		"request", x.id, "route", x.route.Name, "team", x.teamName(), "service", x.service, "backend", c.Backend.ID,
		"address", c.Backend.Address, "zone", c.Backend.Zone, "attempt", slices.Index(x.tried, c.Backend.ID) + 1, "result", result,
		"load", c.Load, "warm", c.Warm, "estimateMs", c.Estimate.Milliseconds(),
		"elapsedMs", time.Since(x.received).Milliseconds(), "index", x.view.Index,
	}
	if err != nil {
		attrs = append(attrs, "error", err.Error())
	}
	x.handler.Logger.Info("attempt without a final answer", attrs...)
	x.handler.Metrics.GetOrCreateCounter(fmt.Sprintf(`sequoiahollow_attempts_total{result=%q}`, result)).Inc()
}

// finishDelivered counts and records a request whose answer was delivered. It
// logs only late answers, with the load that the backend server reported in them.
func (x *exchange) finishDelivered(c shbalance.Choice, r shorigin.Response, load *shbalance.Load) {
	took := time.Since(x.received)
	if objective := x.route.Objective.Duration(); took > objective && objective > 0 {
		x.handler.Logger.Info("late answer", "request", x.id, "route", x.route.Name, "service", x.service,
			"key", x.key, "backend", c.Backend.ID, "zone", c.Backend.Zone, "status", r.Status, "attempts", len(x.tried),
			"tookMs", took.Milliseconds(), "objectiveMs", objective.Milliseconds(), "estimateMs", c.Estimate.Milliseconds(),
			"load", c.Load, "warm", c.Warm, "reused", r.Reused, "reported", load, "index", x.view.Index)
	}
	x.count(outcomeAnswered, r.Status, took)
	x.writeRecords(outcomeAnswered, r.Status, "", took)
}

// finish logs, counts and records a request without a delivered answer.
func (x *exchange) finish(outcome string, status int, reason string) {
	if outcome != outcomeCanceled {
		x.returnTickets()
	}
	took := time.Since(x.received)
	route, priority := "", 0
	if x.route != nil {
		route, priority = x.route.Name, x.priority()
	}
	attrs := []any{
		"request", x.id, "route", route, "team", x.teamName(), "priority", priority, "service", x.service, "outcome", outcome, "status", status, "reason", reason,
		"attempts", len(x.tried), "mayHaveRun", x.mayHaveRun, "tookMs", took.Milliseconds(),
		"version", x.view.Version, "index", x.view.Index,
	}
	if r := x.refusal; r != nil {
		attrs = append(attrs, "leftMs", time.Until(x.deadline).Milliseconds(), "candidates", r.Candidates,
			"leaving", r.Leaving, "waiting", r.Waiting, "utilization", r.Utilization, "soonest", r.Soonest.Backend, "load", r.Soonest.Load,
			"waitMs", r.Soonest.Wait.Milliseconds(), "warmMs", r.Soonest.Warm.Milliseconds(),
			"roundTripMs", r.Soonest.RoundTrip.Milliseconds())
	}
	x.handler.Logger.Log(x.request.Context(), slog.LevelInfo, "request ended without a backend server's answer", attrs...)
	x.count(outcome, status, took)
	x.writeRecords(outcome, status, reason, took)
}

func (x *exchange) count(outcome string, status int, took time.Duration) {
	route := ""
	if x.route != nil {
		route = x.route.Name
	}
	name := fmt.Sprintf(`sequoiahollow_requests_total{route=%q,outcome=%q,status="%d"}`, route, outcome, status)
	x.handler.Metrics.GetOrCreateCounter(name).Inc()
	x.handler.Metrics.GetOrCreateHistogram(fmt.Sprintf(`sequoiahollow_request_seconds{route=%q}`, route)).Update(took.Seconds())
}
