package shoperator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sequoiahollow/transport/internal/shlistener"
)

// Limits of the interface.
const (
	// MaxBodyBytes bounds the body of a configuration. The largest configuration
	// that the system is designed for needs less than 1 MiB.
	MaxBodyBytes = 4 << 20
	// MaxTargetBytes bounds the body of a drain.
	MaxTargetBytes = 4 << 10
	// MaxHeaderBytes and MaxHeaderFields bound the header of a request. net/http
	// accepts 4 KiB more than MaxHeaderBytes.
	MaxHeaderBytes  = 16 << 10
	MaxHeaderFields = 64
	// MaxConcurrent bounds the requests in progress, so that operators cannot
	// take the memory that callers need. /metrics and /healthz do not count.
	MaxConcurrent = 32
	// MaxHistory bounds the edits in one answer.
	MaxHistory = 1000
	// DefaultHistory is the number of edits without a limit parameter.
	DefaultHistory = 20

	readHeaderTimeout = 5 * time.Second
	readTimeout       = 15 * time.Second
	idleTimeout       = time.Minute
	// requestTimeout bounds calls of the Deployment. It leaves time for several
	// elections, which take about one second each.
	requestTimeout = 10 * time.Second
	// accountTimeout bounds export and verification, which read every record, and
	// the burn report.
	accountTimeout = 10 * time.Minute
	// writeTimeout bounds writing an answer after the call of the Deployment, and
	// each write of an export.
	writeTimeout = 30 * time.Second
	// shutdownTimeout bounds the wait for requests in progress.
	shutdownTimeout = 5 * time.Second
)

// Server is the operator interface. The fields must not change after the first
// request.
type Server struct {
	Deployment Deployment
	// Token is the bearer token, from shsettings.ReadToken. Without a token
	// every request that needs one is refused.
	Token string
	// Metrics is shown by /metrics in addition to the metrics of the process. It
	// may be nil.
	Metrics *metrics.Set
	// Healthy is called by /healthz; if it is nil, the process is always healthy.
	Healthy func() error
	Logger  *slog.Logger
}

// Serve answers on l until ctx ends, then finishes the requests in progress.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	accepts := &shlistener.Listener{Listener: l}
	server := &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: readHeaderTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      requestTimeout + writeTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    MaxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(s.logger().Handler(), slog.LevelWarn),
	}
	stopped := make(chan error, 1)
	cancel := context.AfterFunc(ctx, func() {
		deadline, done := context.WithTimeout(context.Background(), shutdownTimeout)
		defer done()
		stopped <- accepts.Shutdown(deadline, server)
	})
	err := server.Serve(accepts)
	if cancel() || !errors.Is(err, http.ErrServerClosed) {
		return &Error{Op: "serve operators", Kind: KindInternal, Err: err}
	}
	return <-stopped
}

func (s *Server) logger() *slog.Logger {
	if s.Logger == nil {
		return slog.New(slog.DiscardHandler)
	}
	return s.Logger
}

// route is one method of one path. The problem of a failed change states its
// outcome.
type route struct {
	method, path string
	change       bool
	timeout      time.Duration
	serve        func(w http.ResponseWriter, r *http.Request) error
}

func (s *Server) routes() []route {
	return []route{
		{method: "GET", path: "/v1/config", serve: s.config},
		{method: "POST", path: "/v1/config", serve: s.apply, change: true},
		{method: "POST", path: "/v1/config/check", serve: s.check},
		{method: "POST", path: "/v1/config/diff", serve: s.diff},
		{method: "GET", path: "/v1/config/history", serve: s.history},
		{method: "GET", path: "/v1/status", serve: s.status},
		{method: "POST", path: "/v1/drain", serve: s.drain, change: true},
		{method: "POST", path: "/v1/undrain", serve: s.undrain, change: true},
		{method: "GET", path: "/v1/account/export", serve: s.accountExport, timeout: accountTimeout},
		{method: "GET", path: "/v1/account/verify", serve: s.accountVerify, timeout: accountTimeout},
		{method: "GET", path: "/v1/report/burn", serve: s.burnReport, timeout: accountTimeout},
	}
}

// Handler returns the handler of the interface. Serve adds the timeouts of
// connections.
func (s *Server) Handler() http.Handler {
	routes := s.routes()
	private := http.NewServeMux()
	for _, r := range routes {
		private.Handle(r.method+" "+r.path, s.routeHandler(r))
	}
	private.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		s.refuse(w, r, routeError(w, r, routes), false)
	})
	public := http.NewServeMux()
	public.HandleFunc("GET /metrics", s.metrics)
	public.HandleFunc("GET /healthz", s.healthz)
	public.Handle("/", s.requireToken(s.limitConcurrency(private)))
	return s.limitHeaderFields(public)
}

// limitHeaderFields refuses requests with too many header fields.
func (s *Server) limitHeaderFields(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if headerFields(r.Header) > MaxHeaderFields {
			s.refuse(w, r, newError(KindHeaders, fmt.Errorf("more than %d header fields", MaxHeaderFields)), true)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// limitConcurrency bounds the requests in progress. It is called after
// requireToken, so that only operators can use up the limit.
func (s *Server) limitConcurrency(next http.Handler) http.Handler {
	running := make(chan struct{}, MaxConcurrent)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case running <- struct{}{}:
			defer func() { <-running }()
			next.ServeHTTP(w, r)
		default:
			s.refuse(w, r, newError(KindUnavailable, errors.New("too many requests in progress")), true)
		}
	})
}

func headerFields(h http.Header) int {
	count := 0
	for _, values := range h {
		count += len(values)
	}
	return count
}

// requireToken refuses requests without the bearer token. It compares digests, so
// that the response time depends neither on how much of the token is right nor on
// its length.
func (s *Server) requireToken(next http.Handler) http.Handler {
	want := sha256.Sum256([]byte(s.Token))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
		got := sha256.Sum256([]byte(strings.TrimSpace(token)))
		same := subtle.ConstantTimeCompare(got[:], want[:]) == 1
		if s.Token == "" || !same || !strings.EqualFold(scheme, "Bearer") {
			s.refuse(w, r, newError(KindUnauthorized, errors.New("a valid bearer token is needed")), true)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) routeHandler(route route) http.Handler {
	timeout := max(route.timeout, requestTimeout)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), timeout)
		defer cancel()
		// If w does not support deadlines, those of the server remain.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(timeout + writeTimeout))
		if err := route.serve(w, r.WithContext(ctx)); err != nil {
			s.refuse(w, r, err, route.change)
		}
	})
}

// refuse logs and counts an error and answers with its problem.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request, err error, change bool) {
	p := problemOf(err, change)
	s.logger().Warn("operator request failed",
		"method", r.Method, "path", r.URL.Path, "remote", r.RemoteAddr, "status", p.Status, "error", p.Detail)
	if s.Metrics != nil {
		name := fmt.Sprintf(`sequoiahollow_operator_problems_total{reason=%q}`, p.Reason)
		s.Metrics.GetOrCreateCounter(name).Inc()
	}
	writeProblem(w, p)
}

// routeError returns an error of KindMethod if the path has other methods, and of
// KindNotFound if it does not exist.
func routeError(w http.ResponseWriter, r *http.Request, routes []route) error {
	var allowed []string
	for _, route := range routes {
		if route.path == r.URL.Path {
			allowed = append(allowed, route.method)
		}
	}
	if len(allowed) == 0 {
		return newError(KindNotFound, fmt.Errorf("no such path: %s", r.URL.Path))
	}
	slices.Sort(allowed)
	w.Header().Set("Allow", strings.Join(allowed, ", "))
	return newError(KindMethod, fmt.Errorf("%s takes %s", r.URL.Path, strings.Join(allowed, " or ")))
}

func (s *Server) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	if s.Metrics != nil {
		s.Metrics.WritePrometheus(w)
	}
	metrics.WriteProcessMetrics(w)
}

func (s *Server) healthz(w http.ResponseWriter, _ *http.Request) {
	if s.Healthy != nil {
		if err := s.Healthy(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	fmt.Fprintln(w, "ok")
}
