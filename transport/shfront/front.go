package shfront

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sequoiahollow/coordination/shbalance"
	"sequoiahollow/coordination/shfleet"
	"sequoiahollow/coordination/shlimit"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/transport/shorigin"
)

// Front serves callers. Fill in the exported fields; it is an http.Handler.
type Front struct {
	Dialect  Dialect
	Balancer *shbalance.Balancer
	Origin   *shorigin.Client
	// View returns the fleet as it is known now.
	View func() *shfleet.View
	// Closing reports whether the VM is about to stop, so that callers are told
	// to close their connections.
	Closing func() bool
	// Refusing reports whether the VM is so close to its stop that a new request
	// might not end in time.
	Refusing func() bool
	// Report is called with crashes; it must not block.
	Report func(CrashReport)
	// Account takes the account records of each request; nil keeps none.
	Account Account
	// Retries bounds further attempts.
	Retries RetryLimit
	// Place is where the VM runs, for the account.
	Place   shbalance.Place
	Metrics *metrics.Set
	Logger  *slog.Logger

	mu      sync.Mutex
	budgets map[shmodel.Service]*shlimit.ShareBudget
	turns   map[string][]float64 // by route, for weighted turns
}

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{front: f, writer: w, request: r, received: time.Now(), id: r.Header.Get(f.Dialect.RequestID)}
	if f.Closing() {
		w.Header().Set("Connection", "close")
	}
	x.serve()
}

// hopHeaders concern one connection and are not passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Expect", "Content-Length",
}

// endToEnd returns a copy of a header without what concerns one connection.
func endToEnd(h http.Header) http.Header {
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

// readBody reads the body of a request. It answers the caller itself and reports
// false if that fails.
func (x *exchange) readBody(limit int64) bool {
	r := x.request
	if limit > 0 && r.ContentLength > limit {
		x.reject(http.StatusRequestEntityTooLarge, "body of "+strconv.FormatInt(r.ContentLength, 10)+" bytes")
		return false
	}
	reader := io.Reader(r.Body)
	if limit > 0 {
		reader = http.MaxBytesReader(x.writer, r.Body, limit)
	}
	body, err := io.ReadAll(reader)
	if err == nil {
		x.body = body
		return true
	}
	if _, ok := errors.AsType[*http.MaxBytesError](err); ok {
		x.reject(http.StatusRequestEntityTooLarge, err.Error())
		return false
	}
	// The caller broke off; there is nobody to answer.
	x.finish(outcomeCanceled, 0, "request body: "+err.Error())
	panic(http.ErrAbortHandler)
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

// part returns the service that a request of a route goes to. Requests take the
// parts in smooth weighted turns, so that even few requests meet the weights.
func (f *Front) part(r *shfleet.Route) shmodel.Service {
	if len(r.Parts) == 1 {
		return r.Parts[0].Service
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.turns == nil {
		f.turns = map[string][]float64{}
	}
	turns := f.turns[r.Name]
	if len(turns) != len(r.Parts) {
		turns = make([]float64, len(r.Parts))
		f.turns[r.Name] = turns
	}
	total, best := 0.0, -1
	for i, p := range r.Parts {
		turns[i] += p.Weight
		total += p.Weight
		if p.Weight > 0 && (best < 0 || turns[i] > turns[best]) {
			best = i
		}
	}
	turns[best] -= total
	return r.Parts[best].Service
}

// countRequest and spendRetry keep the budget of further attempts.
func (f *Front) countRequest(s shmodel.Service, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.budget(s).Request(now)
}

func (f *Front) spendRetry(s shmodel.Service, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.budget(s).Spend(now)
}

func (f *Front) budget(s shmodel.Service) *shlimit.ShareBudget {
	if f.budgets == nil {
		f.budgets = map[shmodel.Service]*shlimit.ShareBudget{}
	}
	b := f.budgets[s]
	if b == nil {
		b = &shlimit.ShareBudget{}
		f.budgets[s] = b
	}
	f.Retries.divide(b, len(f.View().Entries))
	return b
}
