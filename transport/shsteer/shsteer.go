// Package shsteer runs the processes of a fleet that serves HTTP requests.
//
// An entry VM (Entry) watches the fleet, serves the directory of entry VMs and
// serves callers. A control VM (Control) holds the replicated state and accepts
// announcements of backend servers and commands of operators. The HTTP handlers
// for the formats of a platform come from the caller of RunEntry and RunControl.
//
// # Graceful stop
//
// An entry VM that is asked to stop announces that it is not ready. It still
// serves requests, since callers keep its address for a while, and tells callers
// to close their connections. After serveShare of the time that it has to stop, it
// refuses as not run what it has not sent to a backend server; it exits when the
// requests in progress have ended and the callers have their answers. Those that have
// not ended shortly before the end of that time get an answer of the VM, as they may
// have run. A control VM first transfers the leadership.
package shsteer

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"sequoiahollow/coordination/shmemory"
	"sequoiahollow/state/shsettings"
	"sequoiahollow/transport/internal/shlistener"
	"sequoiahollow/transport/internal/shpipeline"
	"sequoiahollow/transport/shpeer"
)

const (
	// serveShare is the share of the stop time during which new requests are still
	// served.
	serveShare = 0.48
	// exitMargin is the time between the end of the graceful shutdown and the end
	// of the stop time, when the process is killed.
	exitMargin = 400 * time.Millisecond
	// answerMargin is the time before the end of the graceful shutdown at which the
	// requests in progress are ended, so that their callers get an answer.
	answerMargin = 200 * time.Millisecond
	// memoryShare is the share of the VM's memory that is the Go memory limit.
	memoryShare = 0.6
	// reopenPause is the pause before a failed store is opened again, and between
	// checks of the account store.
	reopenPause = 500 * time.Millisecond
	// reportTimeout bounds a crash report to the leader. It is longer than an
	// election.
	reportTimeout = 3 * time.Second
	// pruneInterval is the time between checks for idle connections to close.
	pruneInterval = 2 * time.Second
	// reloadInterval is the time between reads of the settings file, which may
	// change without a signal.
	reloadInterval = 2 * time.Second
	// missedHeartbeatLimit is the number of heartbeat intervals without a heartbeat
	// after which a backend server is removed: one heartbeat may be lost and one may
	// be seconds late.
	missedHeartbeatLimit = 4
	// resignTimeout bounds the transfer of the leadership.
	resignTimeout = 2 * time.Second
)

// HTTP limits that apply regardless of the routing table.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 65 * time.Second
	maxHeaderBytes = 64 << 10
)

// process holds what entry VMs and control VMs have in common.
type process struct {
	Settings shsettings.Fleet
	// Log is also used by the HTTP handlers that the caller provides.
	Log     *slog.Logger
	metrics *metrics.Set
	client  *shpeer.Client
	server  *shpeer.Server
	http    []listener
	failed  chan error
	// requests is the context of all requests, which endRequests ends.
	requests    context.Context
	endRequests context.CancelCauseFunc
	// budget bounds what is held for clients, nil if the settings have no limits.
	budget *shmemory.Budget
}

// listener is an HTTP server and the listener that it serves.
type listener struct {
	*http.Server
	accepts *shlistener.Listener
	// pipeline is nil on listeners that do not serve pipelined requests at the same
	// time.
	pipeline *shpipeline.Listener
}

// shutdown closes the listener and waits for the requests in progress and until the
// clients have their answers.
func (l listener) shutdown(ctx context.Context) error {
	if l.pipeline != nil {
		l.pipeline.Drain()
		if err := l.pipeline.Wait(ctx); err != nil {
			return err
		}
	}
	return l.accepts.Shutdown(ctx, l.Server)
}

func newProcess(s shsettings.Fleet, log *slog.Logger) *process {
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryMB) * (1 << 20)))
	}
	config := shpeer.Config{Self: s.PeerAddress(), Connections: 1, Logger: log, Budget: shmemory.NewPeerBudget(s.MemoryMB, freeFDs(s))}
	p := &process{
		Settings: s, Log: log, metrics: metrics.NewSet(),
		client: shpeer.NewClient(config), server: shpeer.NewServer(config),
		failed: make(chan error, 1),
	}
	p.requests, p.endRequests = context.WithCancelCause(context.Background())
	if s.MemoryMB > 0 || s.MaxFDs > 0 {
		p.budget = shmemory.NewBudget(s.MemoryMB, freeFDs(s))
		shlistener.AddMetrics(p.metrics, "held", p.budget)
		shlistener.AddMetrics(p.metrics, "peers_held", config.Budget)
	}
	return p
}

// listenPeers serves the calls of other VMs at the peer address.
func (p *process) listenPeers() error {
	l, err := net.Listen("tcp", p.Settings.PeerAddress())
	if err != nil {
		return fmt.Errorf("peer address: %w", err)
	}
	go p.serveListener(func() error { return p.server.Serve(l) })
	return nil
}

// listen serves HTTP at an address. It does nothing if the address is empty.
func (p *process) listen(address string, handler http.Handler) error {
	return p.listenOverlapping(address, handler, nil)
}

// listenOverlapping is listen. The requests for which mayOverlap returns true are
// served beside others of their connection; with nil none are.
func (p *process) listenOverlapping(address string, handler http.Handler, mayOverlap func(*http.Request) bool) error {
	if address == "" {
		return nil
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	accepts := &shlistener.Listener{Listener: l, Budget: p.budget}
	s := &http.Server{
		Handler: handler, BaseContext: func(net.Listener) context.Context { return p.requests }, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(p.Log.Handler(), slog.LevelDebug),
	}
	x := listener{Server: s, accepts: accepts}
	var served net.Listener = accepts
	if mayOverlap != nil {
		x.pipeline = &shpipeline.Listener{
			Listener: accepts, MayOverlap: p.overlapRoom(mayOverlap), HeadTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeadBytes: maxHeaderBytes,
		}
		s.ConnState, s.ConnContext, served = x.pipeline.ConnState, x.pipeline.ConnContext, x.pipeline
	}
	accepts.Attach(s)
	p.http = append(p.http, x)
	go p.serveListener(func() error { return s.Serve(served) })
	return nil
}

func (p *process) serveListener(serve func() error) {
	if err := serve(); err != nil && !errors.Is(err, http.ErrServerClosed) {
		select {
		case p.failed <- err:
		default:
		}
	}
}

// listenMetrics serves the metrics of the process and the handlers that extend
// adds.
func (p *process) listenMetrics(address, path string, extend func(*http.ServeMux)) error {
	mux := http.NewServeMux()
	extend(mux)
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) {
		p.metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	return p.listen(address, mux)
}

// reportMemory logs until ctx ends what was refused for lack of memory.
func (p *process) reportMemory(ctx context.Context) {
	if p.budget != nil {
		shlistener.Report(ctx, p.budget, p.Log)
	}
}

// close closes all listeners and connections.
func (p *process) close() error {
	var errs []error
	for _, s := range p.http {
		errs = append(errs, s.Close())
	}
	return errors.Join(append(errs, p.client.Close(), p.server.Close())...)
}

// shutdown closes the HTTP listeners and waits up to limit for the requests in
// progress and until the clients have their answers.
func (p *process) shutdown(limit time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	for _, s := range p.http {
		if err := s.shutdown(ctx); err != nil {
			p.Log.Warn("requests still in progress at the end of the stop", "error", err)
		}
	}
}

// Metrics says where a process serves its metrics. With an empty address it serves
// none.
type Metrics struct {
	Address string
	Path    string
}
