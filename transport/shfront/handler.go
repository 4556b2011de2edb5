package shfront

import (
	"errors"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sequoiahollow/coordination/shbalance"
	"sequoiahollow/coordination/shfair"
	"sequoiahollow/coordination/shfleet"
	"sequoiahollow/coordination/shlimit"
	"sequoiahollow/state/shclock"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/transport/internal/shpipeline"
	"sequoiahollow/transport/shorigin"
)

// reasonStops is why a request is refused or ended when the VM stops.
const reasonStops = "the VM stops"

// ErrStopped is the cause with which the context of a request ends shortly before the
// process does. The caller then gets an answer, which a canceled request has not.
var ErrStopped = errors.New(reasonStops)

// Handler is an http.Handler that forwards the requests of callers to backend
// servers. Set the exported fields before use.
type Handler struct {
	Dialect  Dialect
	Balancer *shbalance.Balancer
	Origin   *shorigin.Client
	// View returns the current view of the fleet.
	View func() *shfleet.View
	// Closing reports whether the VM is about to stop, so that callers are told
	// to close their connections.
	Closing func() bool
	// Refusing reports whether the VM stops so soon that a new request might not
	// finish in time. What is not answered by the end ends with ErrStopped.
	Refusing func() bool
	// Report is called for a request that counts as the cause of a crash, and
	// again if such a request later completes. It must not block.
	Report func(CrashReport)
	// KeysUntil returns when the permission to accept the keys of the view ends, by
	// Clock; nil means never. It is called before View.
	KeysUntil func() time.Duration
	// Clock is the clock of KeysUntil, nil for shclock.SinceBoot.
	Clock shclock.Func
	// Allowance bounds the requests of teams; nil means no bound.
	Allowance Allowance
	// Account takes the account records of each request; with nil none are
	// written.
	Account Account
	// Retries bounds the attempts after the first one.
	Retries RetryLimit
	// Hold is called for a request with a body, before any of it is read. It returns the
	// hold that bounds the memory of the body. With nil there is no bound.
	Hold func(*http.Request) BodyHold
	// HoldAnswer returns the hold that bounds the memory of the answers to a request.
	// Its owner releases what is still reserved when the request has ended. With nil
	// the bound of Origin holds.
	HoldAnswer func(*http.Request) shorigin.AnswerHold
	// HoldHead is HoldAnswer for the heads of answers.
	HoldHead func(*http.Request) shorigin.AnswerHold
	// Stall is how long a caller may be silent in a body. Zero means five seconds.
	Stall time.Duration
	// Place is where the VM runs; it goes into the account records.
	Place   shbalance.Place
	Metrics *metrics.Set
	Logger  *slog.Logger

	mu      sync.Mutex
	budgets map[shmodel.Service]*shlimit.ShareBudget
	// currentWeights holds the state of the weighted round-robin by route name.
	currentWeights map[string][]float64
	// crashProbes holds requests that are refused for their crash counts.
	crashProbes shfair.Map[shmodel.Service, shmodel.Digest, crashProbe]
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{handler: h, writer: w, request: r, received: time.Now(), id: r.Header.Get(h.Dialect.RequestID)}
	if h.Closing() && shpipeline.MayClose(r.Context()) {
		w.Header().Set("Connection", "close")
	}
	x.serve()
}

// holdOf returns the hold of a request, nil without a bound.
func holdOf(hold func(*http.Request) shorigin.AnswerHold, r *http.Request) shorigin.AnswerHold {
	if hold == nil {
		return nil
	}
	return hold(r)
}

// MayOverlap reports whether a request without a body may be served beside others of
// its connection: only if it may run twice, since its answer is lost if one ahead of it
// closes the connection.
func (h *Handler) MayOverlap(r *http.Request) bool {
	table := h.View().Table
	if table == nil || (r.Method != http.MethodGet && r.Method != http.MethodHead) {
		return false
	}
	route := table.Route(hostOf(r), pathOf(r.RequestURI))
	return route != nil && route.Kind == shmodel.Idempotent
}

// hopHeaders are the hop-by-hop headers, which are not forwarded.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Expect", "Content-Length",
}

// endToEndHeaders returns a copy of a header without the hop-by-hop fields.
func endToEndHeaders(h http.Header) http.Header {
	c := h.Clone()
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			c.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		c.Del(name)
	}
	return c
}

// hostOf returns the host of a request without port, in lower case.
func hostOf(r *http.Request) string {
	host := r.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}

// pathOf returns the path as the caller sent it.
func pathOf(target string) string {
	path, _, _ := strings.Cut(target, "?")
	if i := strings.Index(path, "://"); i > 0 && !strings.HasPrefix(path, "/") {
		if j := strings.IndexByte(path[i+3:], '/'); j >= 0 {
			return path[i+3+j:]
		}
		return "/"
	}
	return path
}

// chooseService returns the service that a request of a route goes to. It uses
// smooth weighted round-robin, so that even few requests are split by the
// weights.
func (h *Handler) chooseService(r *shfleet.Route) shmodel.Service {
	if len(r.Parts) == 1 {
		return r.Parts[0].Service
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.currentWeights == nil {
		h.currentWeights = map[string][]float64{}
	}
	weights := h.currentWeights[r.Name]
	if len(weights) != len(r.Parts) {
		weights = make([]float64, len(r.Parts))
		h.currentWeights[r.Name] = weights
	}
	total, best := 0.0, -1
	for i, p := range r.Parts {
		weights[i] += p.Weight
		total += p.Weight
		if p.Weight > 0 && (best < 0 || weights[i] > weights[best]) {
			best = i
		}
	}
	weights[best] -= total
	return r.Parts[best].Service
}

// countRequest adds a request to the traffic of a service, of which its retry
// budget is a share.
func (h *Handler) countRequest(s shmodel.Service, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.budget(s).Request(now)
}

// spendRetry takes one attempt from the retry budget of a service. It reports
// whether the budget permits it.
func (h *Handler) spendRetry(s shmodel.Service, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.budget(s).Spend(now)
}

func (h *Handler) budget(s shmodel.Service) *shlimit.ShareBudget {
	if h.budgets == nil {
		h.budgets = map[shmodel.Service]*shlimit.ShareBudget{}
	}
	b := h.budgets[s]
	if b == nil {
		b = &shlimit.ShareBudget{}
		h.budgets[s] = b
	}
	h.Retries.configure(b, len(h.View().Entries))
	return b
}
