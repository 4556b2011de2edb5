// Package shreplica implements the control role of a VM: the state replicated by
// shstore, the directory of entry VMs, and the handlers of the requests of entry
// VMs and other control VMs.
//
// Commands and quorum-confirmed reads work on the leader. Heartbeats are
// answered by every control VM from its own state, with the age of the last
// quorum confirmation, so that an entry VM knows how old the answer may be.
// Control VMs fetch heartbeats from each other, so that one heartbeat of an
// entry VM reaches all of them. The leader expires grants by its own clock.
package shreplica

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"sync"
	"time"

	"sequoiahollow/coordination/shcontrol"
	"sequoiahollow/coordination/shdirectory"
	"sequoiahollow/protocol/shwire"
	"sequoiahollow/state/shmodel"
	"sequoiahollow/transport/shpeer"
	"sequoiahollow/transport/shstore"
)

const (
	directoryPollInterval = 250 * time.Millisecond
	directoryPollTimeout  = 400 * time.Millisecond
	expireInterval        = 100 * time.Millisecond
	// maxOverdueClaims bounds the claims that one heartbeat answer lists.
	maxOverdueClaims = 64
)

// Config configures a Replica.
type Config struct {
	VM          shmodel.VM
	Incarnation uint64
	Store       shstore.Config
	// Peers are the peer addresses of the other control VMs.
	Peers []string
	// Log must be set.
	Log *slog.Logger
}

// Replica runs the control role. Make one with Open.
type Replica struct {
	config  Config
	store   *shstore.Store
	workers sync.WaitGroup
	cancel  context.CancelFunc

	mu        sync.Mutex
	state     shcontrol.State
	directory shdirectory.Directory
}

// Open starts the replica and registers its handlers.
func Open(c Config) (*Replica, error) {
	r := &Replica{config: c}
	r.directory.Source = shdirectory.Source{VM: c.VM, Incarnation: c.Incarnation}
	c.Store.StateMachine = stateMachine{r}
	store, err := shstore.Open(c.Store)
	if err != nil {
		return nil, err
	}
	r.store = store
	r.registerHandlers(c.Store.Server)
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.workers.Go(func() { r.expireGrants(ctx) })
	r.workers.Go(func() { r.expireEntries(ctx) })
	for _, address := range c.Peers {
		r.workers.Go(func() { r.pollDirectory(ctx, address) })
	}
	return r, nil
}

// Done is closed when the store has failed or was closed.
func (r *Replica) Done() <-chan struct{} { return r.store.Done() }

// Err returns why the store stopped.
func (r *Replica) Err() error { return r.store.Err() }

// Status describes the store.
func (r *Replica) Status() shstore.Status { return r.store.Status() }

// Transfer transfers leadership to another voter if this VM is the leader.
func (r *Replica) Transfer(ctx context.Context) error { return r.store.Transfer(ctx) }

// Close stops the replica.
func (r *Replica) Close() error {
	r.cancel()
	r.workers.Wait()
	return r.store.Close()
}

// stateMachine adapts the replicated state to shstore.
type stateMachine struct{ *Replica }

// Apply implements shstore.StateMachine.
func (m stateMachine) Apply(_ uint64, at time.Time, data []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	var result shcontrol.Result
	command, err := shcontrol.DecodeCommand(data)
	if err != nil {
		result = shcontrol.Rejected{Reason: err.Error()}
	} else {
		result = m.state.Apply(at, command)
	}
	encoded, err := shcontrol.EncodeResult(result)
	if err != nil {
		m.config.Log.Error("result of a command could not be encoded", "error", err)
	}
	return encoded
}

// Snapshot implements shstore.StateMachine.
func (m stateMachine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Snapshot()
}

// Restore implements shstore.StateMachine.
func (m stateMachine) Restore(data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Restore(data)
}

func (r *Replica) registerHandlers(s *shpeer.Server) {
	shpeer.Handle(s, shwire.MethodPropose, r.propose)
	shpeer.Handle(s, shwire.MethodRead, r.read)
	shpeer.Handle(s, shwire.MethodSync, r.sync)
	shpeer.Handle(s, shwire.MethodNews, r.news)
}

func (r *Replica) propose(ctx context.Context, q shwire.ProposeRequest) (shwire.ProposeResponse, error) {
	if _, err := shcontrol.DecodeCommand(q.Command); err != nil {
		return shwire.ProposeResponse{}, &shpeer.Error{Op: shwire.MethodPropose, Kind: shpeer.KindInvalid, Err: err}
	}
	result, err := r.store.Propose(ctx, q.Command)
	if err == nil && !json.Valid(result) {
		err = errors.New("the result of the command could not be encoded")
	}
	return shwire.ProposeResponse{Result: result}, err
}

func (r *Replica) read(ctx context.Context, q shwire.ReadRequest) (shwire.ReadResponse, error) {
	var a shwire.ReadResponse
	var failure error
	err := r.store.Read(ctx, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		a.Revision, a.Config = r.state.Config()
		if q.History > 0 {
			a.History, failure = r.state.Edits(q.History)
		}
		if q.Ranges {
			a.Ranges = r.state.Ranges()
		}
		if q.Entries {
			now := time.Now()
			r.directory.Expire(now)
			a.Entries = r.directory.Entries(now)
			a.Missing = r.directory.Missing(now)
			a.Leader = r.config.VM
		}
	})
	if err != nil {
		// The function did not run, so the response is empty.
		return shwire.ReadResponse{}, err
	}
	return a, failure
}

func (r *Replica) sync(_ context.Context, q shwire.SyncRequest) (shwire.SyncResponse, error) {
	now := time.Now()
	a := shwire.SyncResponse{ConfirmedAge: r.confirmedAge(now)}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.directory.Receive(now, q.Heartbeat)
	a.Directory = r.directory.Changes(now, q.Source, q.Version)
	if c, ok := r.state.Changes(q.Since); ok {
		a.Change = &c
	}
	a.Suspects = r.state.Suspects()
	a.Drains = r.state.Drains()
	for key, claim := range r.state.Overdue(now, maxOverdueClaims) {
		a.Overdue = append(a.Overdue, shwire.OverdueClaim{Key: key, Claim: claim})
	}
	return a, nil
}

// confirmedAge returns the time since the last quorum confirmation that this
// replica knows of, or -1 if there was none.
func (r *Replica) confirmedAge(now time.Time) time.Duration {
	confirmed := r.store.Status().Confirmed
	if confirmed.IsZero() {
		return -1
	}
	return max(now.Sub(confirmed), 0)
}

func (r *Replica) news(_ context.Context, q shwire.NewsRequest) (shdirectory.Delta, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.directory.News(time.Now(), q.Source, q.Version), nil
}

// pollDirectory fetches new heartbeats from another control VM and merges them
// into the directory.
func (r *Replica) pollDirectory(ctx context.Context, address string) {
	var known shwire.NewsRequest
	every(ctx, directoryPollInterval, func() {
		callCtx, cancel := context.WithTimeout(ctx, directoryPollTimeout)
		defer cancel()
		news, err := shpeer.Call[shdirectory.Delta](callCtx, r.config.Store.Client, address, shwire.MethodNews, known)
		if err != nil {
			return
		}
		known = shwire.NewsRequest{Source: news.Source, Version: news.Version}
		r.mu.Lock()
		defer r.mu.Unlock()
		r.directory.Merge(time.Now(), news)
	})
}

// expireEntries removes VMs without recent heartbeats from the directory. It reads
// the whole directory, so it does not run at each heartbeat.
func (r *Replica) expireEntries(ctx context.Context) {
	every(ctx, expireInterval, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.directory.Expire(time.Now())
	})
}

// expireGrants proposes the expiry of grants while this VM is the leader.
func (r *Replica) expireGrants(ctx context.Context) {
	var expirer shcontrol.GrantExpirer
	every(ctx, expireInterval, func() {
		status := r.store.Status()
		if !status.Ready {
			return
		}
		r.mu.Lock()
		active := r.state.Grants()
		r.mu.Unlock()
		for _, e := range expirer.Due(time.Now(), status.Term, active) {
			r.proposeExpiry(ctx, e)
		}
	})
}

func (r *Replica) proposeExpiry(ctx context.Context, e shcontrol.ExpireGrant) {
	data, err := shcontrol.EncodeCommand(e)
	if err != nil {
		r.config.Log.Error("grant expiry could not be encoded", "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	_, err = r.store.Propose(ctx, data)
	if shstore.KindOf(err) == shstore.KindNotLeader {
		// The new leader expires the grant.
		return
	}
	if err != nil {
		r.config.Log.Warn("grant expiry was not committed; it will be proposed again", "grant", e.ID, "error", err)
	}
}

func every(ctx context.Context, interval time.Duration, f func()) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			f()
		case <-ctx.Done():
			return
		}
	}
}
