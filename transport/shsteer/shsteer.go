// Package shsteer composes the processes of a fleet that serves HTTP requests.
//
// An entry VM (Entry) watches the fleet, answers the directory and serves
// callers. A control VM (Control) keeps the replicated state and takes
// announcements and orders. What both speak towards the outside is made by
// handlers that the caller provides.
//
// # Stop
//
// An entry VM that is asked to stop is no longer ready and tells the fleet, goes
// on serving while callers still know its address, and tells them to close their
// connections. After half of the time it has, it refuses new requests as not run;
// it exits when those in progress have ended. A control VM hands leadership over
// first.
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

	"sequoiahollow/state/shsettings"
	"sequoiahollow/transport/shpeer"
)

const (
	// serveShare of the stop time passes before new requests are refused.
	serveShare = 0.48
	// exitMargin is kept between the exit and the kill.
	exitMargin = 400 * time.Millisecond
	// memoryShare of the VM's memory is the soft limit of the heap.
	memoryShare = 0.6
	// reopenPause is the pause before a failed store is opened again.
	reopenPause = 500 * time.Millisecond
	// reportTimeout bounds a report to the leader; it survives an election.
	reportTimeout = 3 * time.Second
	// pruneInterval is the time between looks at kept connections.
	pruneInterval = 2 * time.Second
	// reloadInterval is the time between looks at the settings file, which may
	// change without a signal.
	reloadInterval = 2 * time.Second
	// missedHeartbeatLimit is the number of heartbeats after which a backend server that
	// nobody has seen is removed: one may be lost and one seconds late.
	missedHeartbeatLimit = 4
	// resignTimeout bounds the hand-over of leadership.
	resignTimeout = 2 * time.Second
)

// HTTP limits that hold whatever the routing table says.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 65 * time.Second
	maxHeaderBytes = 64 << 10
)

// process is what both kinds of VM consist of.
type process struct {
	Settings shsettings.Fleet
	// Log is where handlers log too.
	Log     *slog.Logger
	metrics *metrics.Set
	client  *shpeer.Client
	server  *shpeer.Server
	http    []*http.Server
	failed  chan error
}

func newProcess(s shsettings.Fleet, log *slog.Logger) *process {
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryMB) * (1 << 20)))
	}
	config := shpeer.Config{Self: s.PeerAddress(), Connections: 1, Logger: log}
	return &process{
		Settings: s, Log: log, metrics: metrics.NewSet(),
		client: shpeer.NewClient(config), server: shpeer.NewServer(config),
		failed: make(chan error, 1),
	}
}

// listenPeers takes calls of other VMs.
func (p *process) listenPeers() error {
	l, err := net.Listen("tcp", p.Settings.PeerAddress())
	if err != nil {
		return fmt.Errorf("peer address: %w", err)
	}
	go p.serveListener(func() error { return p.server.Serve(l) })
	return nil
}

// listen serves HTTP at an address, nothing if it is empty.
func (p *process) listen(address string, handler http.Handler) (*http.Server, error) {
	if address == "" {
		return nil, nil
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(p.Log.Handler(), slog.LevelDebug),
	}
	p.http = append(p.http, s)
	go p.serveListener(func() error { return s.Serve(l) })
	return s, nil
}

func (p *process) serveListener(serve func() error) {
	if err := serve(); err != nil && !errors.Is(err, http.ErrServerClosed) {
		select {
		case p.failed <- err:
		default:
		}
	}
}

// listenMetrics serves the metrics of the process and what extend adds.
func (p *process) listenMetrics(address, path string, extend func(*http.ServeMux)) error {
	mux := http.NewServeMux()
	extend(mux)
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) {
		p.metrics.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
	_, err := p.listen(address, mux)
	return err
}

// close ends all connections.
func (p *process) close() error {
	var errs []error
	for _, s := range p.http {
		errs = append(errs, s.Close())
	}
	return errors.Join(append(errs, p.client.Close(), p.server.Close())...)
}

// shutdown lets the requests in progress end.
func (p *process) shutdown(limit time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	for _, s := range p.http {
		if err := s.Shutdown(ctx); err != nil {
			p.Log.Warn("requests still in progress at the end of the stop", "error", err)
		}
	}
}

// Metrics is where a process serves its metrics. An empty address serves none.
type Metrics struct {
	Address string
	Path    string
}
